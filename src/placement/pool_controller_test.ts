import {expect, test} from 'vitest';
import {PlacementFleet} from '../testing/placement_fleet.ts';

const ENGINES = [{name: 'engine-1'}, {name: 'engine-2'}];

// Guards against a load per host or per request.
test('orders one load for a burst of first requests on 8 hosts', async () => {
  const fleet = new PlacementFleet({
    hosts: 8,
    engines: ENGINES,
    models: [{name: 'model-1', maximumReplicas: 1}],
  });
  await fleet.start();
  const results = [...fleet.hosts.keys()].flatMap(host => [
    fleet.acquire(host, 'model-1', 10_000),
    fleet.acquire(host, 'model-1', 10_000),
  ]);
  await fleet.clock.advanceAsync(10_000);
  const acquired = await Promise.all(results);
  expect(acquired.every(result => result.ok)).toBe(true);
  expect(fleet.loadsOf('model-1')).toBe(1);
});

// Guards against adapter requests that never cause a load of the base model.
test('loads the base model and the adapter for an adapter request', async () => {
  const fleet = new PlacementFleet({
    hosts: 2,
    engines: ENGINES,
    models: [{name: 'model-1'}],
    adapters: [{name: 'adapter-1', baseModel: 'model-1'}],
  });
  await fleet.start();
  const result = fleet.acquire('host-2', 'adapter-1', 10_000);
  await fleet.clock.advanceAsync(10_000);
  const acquired = await result;
  expect(acquired.ok && acquired.value.model).toBe('model-1');
  expect(fleet.enginesOf('adapter-1')).toEqual(fleet.enginesOf('model-1'));
});
