import {describe, expect, test} from 'vitest';
import type {EndpointRecord} from '../deployment/mod.ts';
import {SILENT_LOGGER} from '../observability/mod.ts';
import {ManualClock} from '../testing/manual_clock.ts';
import {EndpointRegistry, LAPSE_GRACE_MILLISECONDS} from './mod.ts';

function record(more: Partial<EndpointRecord> = {}): EndpointRecord {
  return {
    id: 'e1',
    rowVersion: 1,
    service: 'plain',
    address: '127.0.0.1:1',
    dataCentre: 'zone-a',
    slots: 1,
    state: 'ready',
    startedAt: 1,
    leavesInMilliseconds: undefined,
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

  // Guards against DRAIN: a row written before the notice must not undo it.
  test('an endpoint that leaves never comes back as the same process', () => {
    const {registry} = create();
    registry.applyChanges(
      new Map([['e1', record({rowVersion: 2, state: 'leaving'})]]),
    );
    registry.applyChanges(new Map([['e1', record({rowVersion: 3})]]));
    expect(registry.usable('plain').length).toBe(0);
  });

  // Guards against losing all endpoints whose rows lapsed during an outage.
  test.each([
    {name: 'returns within the grace', returns: true, usable: 1},
    {name: 'does not return', returns: false, usable: 0},
  ])('a lapsed endpoint that $name', ({returns, usable}) => {
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
});
