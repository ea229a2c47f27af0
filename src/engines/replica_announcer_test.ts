import {describe, expect, test} from 'vitest';
import {ManualClock} from '../testing/manual_clock.ts';
import {
  type ReplicaAnnouncement,
  ReplicaAnnouncer,
  type ReplicaState,
} from './mod.ts';

const ENGINES = 100;

function state(changedEngine: number, awaited: string): ReplicaState {
  return {
    service: 'chat',
    epoch: 1,
    engines: Array.from({length: ENGINES}, (_unused, index) => ({
      endpoint: `engine-${index}`,
      startedAt: 1,
      targets: index === changedEngine ? ['new', 'old'] : ['old'],
    })),
    expected: [{target: awaited, readyInMilliseconds: 500}],
    remoteOnly: {models: ['rare-1', 'rare-2'], readyInMilliseconds: 7000},
  };
}

describe('ReplicaAnnouncer', () => {
  // The whole table of 82 engines, sent to 195 hosts on each change, took most of
  // the links of the deployment.
  test('lists only engines that have changed', () => {
    const clock = new ManualClock();
    const sent: ReplicaAnnouncement[] = [];
    const announcer = new ReplicaAnnouncer({
      clock,
      incarnation: 'process-1',
      announce: announcement => sent.push(announcement),
    });
    announcer.announce(state(-1, 'rare-1'));
    announcer.announce(state(7, 'rare-1'));
    expect(sent.map(({engines}) => engines.length)).toEqual([ENGINES, 1]);
    expect(sent[1]).toMatchObject({
      expected: [],
      remoteOnly: {added: [], removed: []},
    });
  });

  test.each([
    {name: 'nothing', awaited: () => 'rare-1', expected: 3},
    {name: 'only expectations', awaited: String, expected: 5},
  ])('announces $expected times a second if $name changes', entry => {
    const clock = new ManualClock();
    let count = 0;
    const announcer = new ReplicaAnnouncer({
      clock,
      incarnation: 'process-1',
      announce: () => count++,
    });
    for (let now = 0; now <= 1000; now += 50) {
      announcer.announce(state(-1, entry.awaited(now)));
      clock.advance(50);
    }
    expect(count).toBe(entry.expected);
  });

  test('is complete again after a reset', () => {
    const clock = new ManualClock();
    const sent: ReplicaAnnouncement[] = [];
    const announcer = new ReplicaAnnouncer({
      clock,
      incarnation: 'process-1',
      announce: announcement => sent.push(announcement),
    });
    announcer.announce(state(-1, 'rare-1'));
    announcer.reset();
    announcer.announce(state(-1, 'rare-1'));
    expect(sent[1]?.engines.length).toBe(ENGINES);
    expect(sent[1]?.remoteOnly.added.length).toBe(2);
    expect(sent[1]?.afterSequence).toBeUndefined();
  });

  // Guards against links full of announcements, and against requests that wait for an
  // announcement although few are sent.
  test.each([
    {name: 'every 250 ms', interval: 250, changes: 8, least: 8, most: 8},
    {name: 'five at once', interval: 1, changes: 5, least: 5, most: 5},
    {name: 'every 10 ms', interval: 10, changes: 400, least: 40, most: 50},
  ])('paces changes $name', ({interval, changes, least, most}) => {
    const clock = new ManualClock();
    let latest = state(-1, 'rare-1');
    let sent: ReplicaAnnouncement[] = [];
    const announcer = new ReplicaAnnouncer({
      clock,
      incarnation: 'process-1',
      announce: announcement => sent.push(announcement),
      onDue: () => announcer.announce(latest),
    });
    announcer.announce(latest);
    clock.advance(5000);
    sent = [];
    for (let change = 0; change < changes; change++) {
      latest = state(change % ENGINES, 'rare-1');
      announcer.announce(latest);
      clock.advance(interval);
    }
    clock.advance(100);
    expect(sent.length).toBeGreaterThanOrEqual(least);
    expect(sent.length).toBeLessThanOrEqual(most);
    const {engines} = announcer.completeAnnouncement(latest)!;
    expect(engines).toEqual(latest.engines);
  });
});
