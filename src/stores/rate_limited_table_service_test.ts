import {describe, expect, test} from 'vitest';
import {Metrics} from '../observability/mod.ts';
import {ManualClock, MemoryTable} from '../testing/mod.ts';
import {RateLimitedTableService} from './mod.ts';

function createService() {
  const table = new MemoryTable();
  const clock = new ManualClock();
  const metrics = new Metrics();
  const service = new RateLimitedTableService({
    table,
    clock,
    metrics,
    purpose: 'test',
    readsPerSecond: 4,
    writesPerSecond: 2,
    burstSeconds: 2,
  });
  return {table, clock, metrics, service};
}

const keys = (count: number) => Array.from({length: count}, (_, i) => `k${i}`);

describe('RateLimitedTableService', () => {
  // Guards against operations that are not counted or not limited.
  const cases = [
    {name: 'a read of one key', operation: 'read', size: 1, allowed: 8},
    {name: 'a read of two keys', operation: 'read', size: 2, allowed: 4},
    {name: 'a commit of one row', operation: 'commit', size: 1, allowed: 4},
    {name: 'a commit of three rows', operation: 'commit', size: 3, allowed: 1},
    {name: 'a commit without rows', operation: 'commit', size: 0, allowed: 4},
    {name: 'a scan', operation: 'scan', size: 0, allowed: 8},
  ] as const;
  test.each(cases)(
    '$name is allowed $allowed times in one burst',
    async ({operation, size, allowed}) => {
      const {service, table, metrics} = createService();
      const run = async (): Promise<boolean> => {
        switch (operation) {
          case 'read':
            return (await service.read(keys(size))).ok;
          case 'scan':
            return (await service.scan('k')).ok;
          case 'commit': {
            const writes = keys(size).map(key => ({
              kind: 'put' as const,
              key,
              value: 1,
            }));
            const result = await service.commit({conditions: [], writes});
            return result.kind === 'committed';
          }
        }
      };
      let done = 0;
      while (done < 100 && (await run())) done++;
      expect(done).toBe(allowed);
      expect(
        table.counts.reads + table.counts.scans + table.counts.commits,
      ).toBe(allowed);
      const text = await metrics.render();
      expect(text).toContain(
        `limpetdale_table_operations_total{purpose="test",step="${operation}"} ${allowed * Math.max(1, size)}`,
      );
      expect(text).toContain(
        `limpetdale_table_over_budget_total{purpose="test",step="${operation}"} 1`,
      );
    },
  );

  test('a refusal states when the operation will be allowed', async () => {
    const {service, clock} = createService();
    await service.read(keys(8));
    const refused = await service.read(['k']);
    expect(refused).toMatchObject({
      ok: false,
      error: {kind: 'over_budget', step: 'read', retryAfterMilliseconds: 250},
    });
    clock.advance(249);
    expect((await service.read(['k'])).ok).toBe(false);
    clock.advance(1);
    expect((await service.read(['k'])).ok).toBe(true);
  });

  // Guards against refusing an operation larger than the burst forever.
  test('a read larger than the burst runs and delays later reads', async () => {
    const {service, clock} = createService();
    expect((await service.read(keys(20))).ok).toBe(true);
    clock.advance(3000);
    expect((await service.read(['k'])).ok).toBe(false);
    clock.advance(250);
    expect((await service.read(['k'])).ok).toBe(true);
  });

  test('a scan costs one read per hundred rows', async () => {
    const {service, table} = createService();
    for (const key of keys(450)) table.put(key, 1);
    let scans = 0;
    while ((await service.scan('k')).ok) scans++;
    expect(scans).toBe(2);
  });
});
