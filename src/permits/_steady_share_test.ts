import {expect, test} from 'vitest';
import {SteadyShare} from './_steady_share.ts';

/** Name, observations as "MILLISECONDS:SHARE", and lowest share. */
const CASES: [string, string, number][] = [
  ['a first share is held', '0:0.5', 0.5],
  ['a successor waits', '0:0 100:1 900:1 1599:1', 0],
  ['a successor then grants', '0:0 100:1 900:1 1600:1', 1],
  ['a share that falls counts at once', '0:1 100:0.5', 0.5],
  ['a host that was stopped waits', '0:1 1001:1 2000:1 2500:1', 0],
  ['a busy host does not', '0:1 1000:1', 1],
];

// A host that grants what another one has granted in the same second exceeds the limit.
test.each(CASES)('%s: %s', (_name, observed, lowest) => {
  const share = new SteadyShare();
  for (const text of observed.split(' ')) {
    const [now, value] = text.split(':').map(Number);
    share.observe(now ?? 0, value ?? 0);
  }
  expect(share.lowest).toBe(lowest);
});
