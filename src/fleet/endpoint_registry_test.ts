import {describe, expect, test} from 'vitest';
import type {EndpointRecord} from '../deployment/mod.ts';
import {SILENT_LOGGER} from '../observability/mod.ts';
import {ManualClock} from '../testing/manual_clock.ts';
import {EndpointRegistry, LAPSE_GRACE_MILLISECONDS} from './mod.ts';

function record(more: Partial<EndpointRecord> = {}): EndpointRecord {
  return {
    id: 'e1',
    rowVersion: 1,
    softwareVersion: 'v1',
    service: 'plain',
    address: '127.0.0.1:1',
    dataCentre: 'zone-a',
    slots: 1,
    state: 'ready',
    startedAt: 1,
    leavesInMilliseconds: undefined,
    coldMilliseconds: 0,
    models: [],
    inMemory: [],
    onDisk: [],
    ...more,
  };
}

function create(regainedAt = Number.NEGATIVE_INFINITY) {
  const clock = new ManualClock();
  const registry = new EndpointRegistry({
    clock,
    logger: SILENT_LOGGER,
    maximumConnections: () => 1,
    storeRegainedAt: () => regainedAt,
  });
  registry.applySnapshot(new Map([['e1', record()]]));
  return {clock, registry};
}

describe('EndpointRegistry', () => {
  interface Case {
    name: string;
    change: EndpointRecord | undefined;
    usable: number;
  }
  const cases: Case[] = [
    {name: 'removed', change: undefined, usable: 0},
    {
      name: 'leaving',
      change: record({rowVersion: 2, state: 'leaving'}),
      usable: 0,
    },
    {
      name: 'restarted',
      change: record({rowVersion: 2, startedAt: 2}),
      usable: 1,
    },
    {name: 'unchanged', change: record({rowVersion: 2}), usable: 1},
  ];
  test.each(cases)('an endpoint that is $name', ({change, usable}) => {
    const {registry} = create();
    registry.applyChanges(new Map([['e1', change]]));
    expect(registry.usable('plain').length).toBe(usable);
  });

  // Guards against requests to a draining endpoint (the property DRAIN): a row
  // written before its notice must not undo the notice.
  test('a leaving endpoint never becomes usable again as the same process', () => {
    const {registry} = create();
    registry.applyChanges(
      new Map([['e1', record({rowVersion: 2, state: 'leaving'})]]),
    );
    registry.applyChanges(new Map([['e1', record({rowVersion: 3})]]));
    expect(registry.usable('plain').length).toBe(0);
  });

  // Guards against removing all endpoints whose rows expired during a store
  // outage.
  test.each([
    {name: 'renews its row within the grace period', returns: true, usable: 1},
    {name: 'does not renew its row', returns: false, usable: 0},
  ])('an endpoint with an expired row that $name', ({returns, usable}) => {
    const {registry, clock} = create(0);
    clock.advance(100);
    registry.applySnapshot(new Map());
    expect(registry.usable('plain').length).toBe(1);
    clock.advance(1000);
    if (returns) {
      registry.applyChanges(new Map([['e1', record({rowVersion: 5})]]));
    }
    clock.advance(LAPSE_GRACE_MILLISECONDS);
    expect(registry.usable('plain').length).toBe(usable);
  });

  interface Restored {
    name: string;
    /** Rows of the store after its return, in the order in which they are read. */
    pages: [ReadonlyMap<string, EndpointRecord>, 'snapshot' | 'changes'][];
  }
  const leaving = new Map([['e1', record({rowVersion: 5, state: 'leaving'})]]);
  const restored: Restored[] = [
    {name: 'in the copy', pages: [[leaving, 'snapshot']]},
    {
      name: 'after the copy',
      pages: [
        [new Map([['e1', record({rowVersion: 3})]]), 'snapshot'],
        [leaving, 'changes'],
      ],
    },
    {
      name: 'while its row was missing',
      pages: [
        [new Map(), 'snapshot'],
        [leaving, 'changes'],
      ],
    },
  ];
  // Guards against rows from before the store came back from an older copy that hide
  // newer ones with lower versions.
  test.each(restored)('an endpoint that has left $name', ({pages}) => {
    const {registry} = create(0);
    registry.applyChanges(new Map([['e1', record({rowVersion: 196})]]), 0);
    for (const [rows, kind] of pages) {
      if (kind === 'snapshot') registry.applySnapshot(rows, 1);
      else registry.applyChanges(rows, 1);
    }
    expect(registry.usable('plain').length).toBe(0);
  });
});
