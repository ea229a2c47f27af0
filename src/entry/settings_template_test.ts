import {readFileSync} from 'node:fs';
import {expect, test} from 'vitest';
import {entrySettingsSchema} from './mod.ts';

/** Example of the platform's settings, from its deployment page. */
const FIELDS = {
  node_name: 'frontend-a-1',
  ip_address: '10.1.0.25',
  zone: 'zone-a',
  listen_addresses: {
    frontend: '10.1.0.25:8221',
    ready: '10.1.0.25:8224',
    directory_service: '10.1.0.25:8220',
  },
  internal_port_range: [7600, 7615],
  initial_bootstrap: true,
  platform: {address: '10.200.1.7:8225'},
  limits: {cpu_share: 0.675, cpu_cores: 1, link_mbps: 140},
  bounds: {
    drain_ms: 2000,
    config_apply_ms: 2000,
    grace_period_s: 8,
    lease_ms: 3000,
    retry_budget_ratio: 0.2,
    retry_budget_slack: 56,
    budget_window_s: 0.5,
  },
};

// Guards against a template that renders an invalid settings file.
test('the template renders valid settings', () => {
  const template = readFileSync(
    new URL('../../deploy/settings.json.template', import.meta.url),
    'utf8',
  );
  const text = template.replace(
    /\{\{([\w.]+)\|json\}\}/g,
    (_match, path: string) => JSON.stringify(valueAt(path)),
  );
  const parsed = entrySettingsSchema.safeParse(JSON.parse(text));
  expect(parsed.success).toBe(true);
  expect(parsed.data).toMatchObject({
    hostId: 'frontend-a-1',
    peerPort: 7600,
    isFirstStart: true,
  });
});

function valueAt(path: string): unknown {
  let value: unknown = FIELDS;
  for (const key of path.split('.')) {
    value = (value as Record<string, unknown>)[key];
  }
  return value;
}
