import {expect, test} from 'vitest';
import {admissionLevel, type AdmissionTerms, reachesLevelAt} from './mod.ts';

const INTERACTIVE: AdmissionTerms = {
  arrivedAt: 0,
  objectiveMilliseconds: 500,
  answerMilliseconds: 0,
  lastStartAt: 4500,
  priority: 1,
  expectedMilliseconds: 2000,
};

const DEFERRED: AdmissionTerms = {
  ...INTERACTIVE,
  objectiveMilliseconds: 3000,
  lastStartAt: 15_000,
  priority: 5,
};

// Guards against an order in which requests with slack take the slots of those without,
// late ones those of on-time ones, and in which a request never gets its turn.
test.each([
  {
    name: 'interactive before deferred, both on arrival',
    first: admissionLevel(INTERACTIVE, 0),
    second: admissionLevel(DEFERRED, 0),
  },
  {
    name: 'deferred with little slack before deferred with much',
    first: admissionLevel(DEFERRED, 2800),
    second: admissionLevel(DEFERRED, 500),
  },
  {
    name: 'a higher priority before a lower one',
    first: admissionLevel({...DEFERRED, priority: 0}, 0),
    second: admissionLevel(DEFERRED, 0),
  },
  {
    name: 'on time with the lowest priority before late',
    first: admissionLevel({...DEFERRED, priority: 9}, 0),
    second: admissionLevel({...DEFERRED, priority: 0}, 4000),
  },
  {
    name: 'a large request before a small one with the same slack',
    first: admissionLevel({...DEFERRED, expectedMilliseconds: 6000}, 0),
    second: admissionLevel(DEFERRED, 0),
  },
  {
    name: 'late at its last start before interactive on arrival',
    first: admissionLevel(DEFERRED, 15_000),
    second: admissionLevel(INTERACTIVE, 0),
  },
])('level: $name', ({first, second}) => {
  expect(first).toBeGreaterThan(second);
});

// Guards against queues at engines in which on-time requests become late: the queue
// takes (level - 1) runs.
test('an interactive request may wait at the engine for half of its slack', () => {
  const queued = (admissionLevel(INTERACTIVE, 499) - 1) * 2000;
  expect(queued).toBeGreaterThan(200);
  expect(queued).toBeLessThanOrEqual(250);
  expect(admissionLevel(DEFERRED, 2999)).toBeLessThanOrEqual(1);
});

// Guards against a timer that wakes a waiting request too late or never.
test.each([INTERACTIVE, DEFERRED, {...DEFERRED, lastStartAt: 2500}])(
  'the time at which a level is reached: %o',
  terms => {
    for (let occupancy = 0.7; occupancy < 1.2; occupancy += 0.01) {
      for (let now = 0; now < terms.lastStartAt; now += 97) {
        const at = reachesLevelAt(terms, occupancy, now);
        let expected = now;
        while (
          expected <= terms.lastStartAt &&
          admissionLevel(terms, expected) <= occupancy
        )
          expected++;
        if (expected > terms.lastStartAt) continue;
        expect(Math.abs((at ?? Infinity) - expected)).toBeLessThanOrEqual(2);
      }
    }
  },
);
