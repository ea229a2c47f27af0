import {expect, test} from 'vitest';
import {ColdFleet} from '../testing/cold_fleet.ts';

const PHASE_MILLISECONDS = 12_000;

function startFleet(): ColdFleet {
  const fleet = new ColdFleet(1, 0);
  fleet.startWithOtherEngine();
  return fleet;
}

// A host that was frozen sent at once what it should have sent within the last second.
test('permits that were not used in time are void', async () => {
  const fleet = startFleet();
  fleet.write(1, PHASE_MILLISECONDS);
  for (let index = 0; index < 12; index++) void fleet.request(0, false);
  await fleet.clock.advanceAsync(100);
  fleet.freeze(0);
  await fleet.clock.advanceAsync(900);
  fleet.thaw(0);
  await fleet.clock.advanceAsync(50);
  const atThaw = fleet.sentAt.filter(at => at >= 1000);
  expect(atThaw.length).toBeLessThanOrEqual(3);
});

// Permits of a named limit were used although the endpoint had become cold meanwhile.
test('a request that waits for an endpoint that turns cold asks again', async () => {
  const fleet = startFleet();
  fleet.objectiveMilliseconds = 5000;
  fleet.write(1, 0);
  fleet.limitsOf(0)?.receive(fleet.incarnation, 1);
  void fleet.request(0, false);
  void fleet.request(0, false);
  await fleet.clock.advanceAsync(500);
  fleet.write(1, PHASE_MILLISECONDS);
  await fleet.clock.advanceAsync(2000);
  expect(fleet.sentAt.length).toBe(2);
  expect(fleet.sentAt[1]).toBeGreaterThanOrEqual(1500);
});

// Requests waited for a cold engine while a warm one was free.
test('a request does not wait for a cold endpoint if there is another', async () => {
  const fleet = startFleet();
  fleet.write(1, PHASE_MILLISECONDS);
  for (let index = 0; index < 5; index++) void fleet.request(0, true);
  await fleet.clock.advanceAsync(1000);
  expect(fleet.sentAt).toEqual([0]);
});

// Guards against BUDGET violations: requests that waited for their permits were sent to
// an endpoint that had asked for no requests meanwhile.
test('a request that waits for a permit is not sent to an endpoint that asks for none', async () => {
  const fleet = startFleet();
  fleet.objectiveMilliseconds = 5000;
  fleet.write(1, 0);
  fleet.limitsOf(0)?.receive(fleet.incarnation, 1);
  const requests = Array.from({length: 4}, () => fleet.request(0, false));
  await fleet.clock.advanceAsync(500);
  fleet.close(0, 4000);
  await fleet.clock.advanceAsync(10);
  await Promise.all(requests);
  expect(fleet.sentAt).toEqual([0]);
});
