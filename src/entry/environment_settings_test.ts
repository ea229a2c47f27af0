import {expect, test} from 'vitest';
import {environmentSettings} from './environment_settings.ts';

const SETTINGS = {coldEngines: {overrun: 1, slack: 0}};

// Guards against features that are not switched on, or against a start that fails where
// the platform's settings have no value.
test.each([
  {environment: {}, expected: {}},
  {
    environment: {
      LIMPETDALE_MEMORY_MB: '350',
      LIMPETDALE_AGREEMENTS: '',
      LIMPETDALE_COLD_OVERRUN: '',
      LIMPETDALE_COLD_SLACK: '',
    },
    expected: {memoryMegabytes: 350},
  },
  {
    environment: {
      LIMPETDALE_AGREEMENTS: 'base,pool',
      LIMPETDALE_COLD_OVERRUN: '1.5',
      LIMPETDALE_COLD_SLACK: '5',
    },
    expected: {
      agreements: ['base', 'pool'],
      coldEngines: {overrun: 1.5, slack: 5},
    },
  },
  {
    environment: {LIMPETDALE_COLD_OVERRUN: '1.5'},
    expected: {coldEngines: {overrun: 1.5, slack: 0}},
  },
])('the environment $environment gives $expected', entry => {
  const outcome = environmentSettings(entry.environment, SETTINGS);
  expect(outcome).toEqual({ok: true, value: entry.expected});
});

// Guards against a host that starts with a limit that nobody has named.
test.each([
  {LIMPETDALE_MEMORY_MB: 'much'},
  {LIMPETDALE_COLD_OVERRUN: '-1'},
  {LIMPETDALE_COLD_SLACK: 'Infinity'},
])('the environment %o is refused', environment => {
  const outcome = environmentSettings(environment, SETTINGS);
  expect(outcome.ok).toBe(false);
});
