import {readFileSync} from 'node:fs';
import {describe, expect, test} from 'vitest';
import {entrySettings} from '../testing/platform_deployment.ts';
import {entrySettingsSchema} from './mod.ts';
import {renderEntrySettings} from './render_entry_settings.ts';

// Guards against settings that are missing from the operators' reference.
test('docs/entry_settings.md matches the schema', () => {
  const page = new URL('../../docs/entry_settings.md', import.meta.url);
  expect(readFileSync(page, 'utf8'), 'Run "npm run docs"').toBe(
    renderEntrySettings(),
  );
});

describe('entrySettingsSchema', () => {
  const valid = entrySettings('host-1', '127.0.0.1:1', {
    callers: 1,
    readiness: 2,
    directory: 3,
    peers: 4,
  });
  const cases = [
    {name: 'complete settings', change: {}, isValid: true},
    {
      name: 'an unknown setting, such as one of a newer platform',
      change: {more: 1},
      isValid: true,
    },
    {
      name: 'an address without a port',
      change: {callers: '10.0.0.1'},
      isValid: false,
    },
    {
      name: 'a missing store address',
      change: {store: undefined},
      isValid: false,
    },
    {
      name: 'a negative grace period',
      change: {graceSeconds: -1},
      isValid: false,
    },
  ];
  test.each(cases)('$name: valid $isValid', ({change, isValid}) => {
    const parsed = entrySettingsSchema.safeParse({...valid, ...change});
    expect(parsed.success).toBe(isValid);
  });
});
