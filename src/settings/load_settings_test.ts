import {mkdtempSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {describe, expect, test} from 'vitest';
import {describeSettingsError, loadSettings} from './mod.ts';

const directory = mkdtempSync(join(tmpdir(), 'limpetdale-settings-'));

const VALID = {
  hostId: 'host-1',
  deployment: 'test',
  dataCentre: 'istanbul-1',
  callers: {listen: {address: '127.0.0.1', port: 0}},
  operators: {
    listen: {address: '127.0.0.1', port: 0},
    tokenDigests: ['a'.repeat(64)],
  },
  peers: {listen: {address: '127.0.0.1', port: 0}},
  platform: {
    table: 'http://127.0.0.1:7001',
    objectStore: 'http://127.0.0.1:7002',
    weightStore: 'http://127.0.0.1:7003',
    hostList: 'http://127.0.0.1:7004',
  },
};

function load(content: string) {
  const file = join(directory, 'settings.json');
  writeFileSync(file, content);
  return loadSettings(file);
}

test('a file with only the required settings is accepted and defaults are added', () => {
  const settings = load(JSON.stringify(VALID));
  expect(settings).toMatchObject({
    ok: true,
    value: {viewTimeoutMilliseconds: 3000, log: {level: 'info'}},
  });
});

describe('invalid settings are reported with path and value', () => {
  const cases = [
    {name: 'not JSON', content: '{"hostId": ', expected: ['(file): ']},
    {
      name: 'several invalid settings',
      content: JSON.stringify({
        ...VALID,
        hostId: 'host 1',
        viewTimeoutMilliseconds: -1,
        callers: {listen: {address: 'localhost', port: 70_000}},
      }),
      expected: [
        'hostId: ',
        'received "host 1"',
        'viewTimeoutMilliseconds: ',
        'received -1',
        'callers.listen.address: ',
        'callers.listen.port: ',
        'received 70000',
      ],
    },
    {
      name: 'an unknown setting',
      content: JSON.stringify({...VALID, ports: 7}),
      expected: ['(file): Unrecognized key: "ports"'],
    },
    {
      name: 'a missing setting',
      content: JSON.stringify({...VALID, platform: {}}),
      expected: ['platform.table: ', 'platform.hostList: '],
    },
  ];
  test.each(cases)('$name', ({content, expected}) => {
    const settings = load(content);
    expect(settings.ok).toBe(false);
    if (settings.ok) return;
    const text = describeSettingsError(settings.error);
    for (const part of expected) expect(text).toContain(part);
  });
});
