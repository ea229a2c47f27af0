import {describe, expect, test} from 'vitest';
import {ManualClock} from '../testing/manual_clock.ts';
import {CrashTracker} from './mod.ts';

function createFleet(hosts: number) {
  const clock = new ManualClock();
  const trackers: CrashTracker[] = [];
  for (let host = 0; host < hosts; host++) {
    trackers.push(
      new CrashTracker({
        clock,
        broadcast: (fingerprint, incarnation) => {
          trackers.forEach((record, other) => {
            if (other !== host) record.receive(fingerprint, incarnation);
          });
        },
      }),
    );
  }
  return {clock, records: trackers};
}

describe('CrashTracker', () => {
  interface Case {
    name: string;
    broken: {host: number; incarnation: string}[];
    isAllowed: boolean;
  }
  const cases: Case[] = [
    {name: 'no endpoint', broken: [], isAllowed: true},
    {
      name: 'one endpoint',
      broken: [{host: 0, incarnation: 'e1/1'}],
      isAllowed: true,
    },
    {
      name: 'one endpoint twice',
      broken: [
        {host: 0, incarnation: 'e1/1'},
        {host: 1, incarnation: 'e1/1'},
      ],
      isAllowed: true,
    },
    {
      name: 'two endpoints through two hosts',
      broken: [
        {host: 0, incarnation: 'e1/1'},
        {host: 1, incarnation: 'e2/1'},
      ],
      isAllowed: false,
    },
    {
      name: 'the same endpoint again after its restart',
      broken: [
        {host: 0, incarnation: 'e1/1'},
        {host: 0, incarnation: 'e1/2'},
      ],
      isAllowed: false,
    },
  ];
  // Guards against BUDGET violations: a request that crashes every endpoint is
  // retried through any host.
  test.each(cases)(
    'a request that crashed $name: allowed $isAllowed',
    ({broken, isAllowed}) => {
      const {records} = createFleet(2);
      for (const {host, incarnation} of broken) {
        records[host]?.recordCrash('request', incarnation);
      }
      for (const record of records) {
        expect(record.allows('request')).toBe(isAllowed);
        expect(record.allows('another')).toBe(true);
      }
    },
  );

  test('a request is allowed again after a minute', () => {
    const {clock, records} = createFleet(1);
    records[0]?.recordCrash('request', 'e1/1');
    records[0]?.recordCrash('request', 'e2/1');
    clock.advance(61_000);
    expect(records[0]?.allows('request')).toBe(true);
  });
});
