import {expect, test, vi} from 'vitest';
import {createManagedPool} from '../testing/managed_pool.ts';

// Guards against orders of two managers to one engine within the handover delay: an
// order of the former manager arrived after the first report and before the first order.
test('an engine that has got a late order of a former manager is left alone', async () => {
  let ordersAccepted = 0;
  const pool = createManagedPool({
    engines: [{}],
    ordersAccepted: () => ordersAccepted,
  });
  // The delay of the whole pool goes on.
  const {clock, lease, manager} = pool;
  vi.spyOn(lease, 'mayIssueOrders').mockReturnValue(false);
  vi.spyOn(lease, 'mayOrder').mockImplementation(at => at !== undefined);
  vi.spyOn(lease, 'orderDelay').mockImplementation(at =>
    at === undefined ? 1000 : 0,
  );
  void lease.run();
  await clock.advanceAsync(100);
  void manager.run();
  await clock.advanceAsync(1000);
  expect(pool.orders()).toHaveLength(1);
  ordersAccepted = 1;
  pool.orders()[0]?.answer('conflict');
  await clock.advanceAsync(3000);
  expect(pool.orders()).toHaveLength(1);
  manager.stop();
  await lease.release();
});

// Guards against more loads from the weight store than its rate permits, since a new
// manager does not know how many its predecessor has started in the same 5 s.
test.each([
  {from: 'disk', onDisk: ['model-a'], isAtOnce: true},
  {from: 'the weight store', onDisk: [], isAtOnce: false},
])(
  'loads from $from before the delay of the pool: $isAtOnce',
  async ({onDisk, isAtOnce}) => {
    const pool = createManagedPool({engines: [{onDisk}]});
    const {clock, lease, manager} = pool;
    const until = clock.monotonicMilliseconds() + 4000;
    const delay = () => until - clock.monotonicMilliseconds();
    vi.spyOn(lease, 'mayIssueOrders').mockImplementation(() => delay() <= 0);
    vi.spyOn(lease, 'mayOrder').mockImplementation(
      at => at !== undefined || delay() <= 0,
    );
    vi.spyOn(lease, 'orderDelay').mockImplementation(at =>
      at === undefined ? delay() : 0,
    );
    void lease.run();
    await clock.advanceAsync(100);
    void manager.run();
    await clock.advanceAsync(3800);
    expect(pool.orders()).toHaveLength(isAtOnce ? 1 : 0);
    await clock.advanceAsync(1000);
    expect(pool.orders()).toHaveLength(1);
    manager.stop();
    await lease.release();
  },
);
