/**
 * The leader of a pool is stopped as planned and another host leads it. Then that host
 * loses power while the store comes back from a copy that is some seconds old. A third
 * host runs all the while.
 */
import {join} from 'node:path';
import {RovingDemand} from '../support-2/caller.js';
import {KEY, modelConfiguration} from '../support-2/configuration.js';
import {now, runCase, SITES, sleep, until} from '../support-2/deployment.js';
import {ModelEngine} from '../support-2/model_engine.js';
import {isCalm, Store} from '../support-2/store.js';

const MODELS = ['m1', 'm2', 'm3', 'm4', 'm5'];
/** Time for which a host without power stays down. */
const DARK_MILLISECONDS = 3000;

await runCase(
  join(import.meta.dirname, 'record.txt'),
  SITES.kaplama,
  async (deployment, record) => {
    const store = new Store();
    await store.listen('127.0.77.200');
    const configuration = modelConfiguration({models: MODELS});
    store.put('op', 'config', configuration);
    const engine = new ModelEngine({
      id: 'i-7f3a91c2',
      service: 'dil-model',
      models: ['m1'],
      onDisk: MODELS,
      loadMilliseconds: 600,
      store,
      record,
    });
    await engine.listen('127.0.77.100');
    const hosts = [
      await deployment.addHost('frontend-ist-a-1', 1),
      await deployment.addHost('frontend-ist-a-2', 2),
      await deployment.addHost('frontend-ist-a-3', 3),
    ];
    for (const host of hosts) deployment.startHost(host, store);
    for (const host of hosts) await deployment.ready(host);

    const demand = new RovingDemand({hosts, models: MODELS, key: KEY});
    void demand.run();

    const leaderName = () => store.get('leases', 'pool/dil-model')?.holder;
    const ordersOf = host =>
      engine.orders.filter(({holder}) => holder === host.name);
    const hostOf = name => hosts.find(host => host.name === name);
    const first = hostOf(await until(leaderName, 10_000, 'leader'));
    await until(() => ordersOf(first).length >= 3, 15_000, 'orders');

    const copy = store.copy();
    const copiedAt = now();
    record.add(`the store is copied; ${first.name} leads the pool`);
    deployment.signal(first, 'SIGTERM');
    const next = () =>
      engine.orders.find(({holder}) => holder !== first.name)?.holder;
    const second = hostOf(await until(next, 15_000, 'new orders'));
    await until(
      () => first.process === undefined,
      10_000,
      'end of the process',
    );
    if (!isCalm) {
      deployment.signal(second, 'SIGKILL');
      store.goAway();
      record.add('the store is away');
      await sleep(500);
      store.restore(copy);
      const age = Math.round(now() - copiedAt);
      record.add(`the store is back from a copy that is ${age} ms old`);
      store.put('op', 'config', configuration);
      engine.beat();
    }
    deployment.startHost(first, store);
    if (!isCalm) {
      await sleep(DARK_MILLISECONDS);
      deployment.startHost(second, store);
    }
    const known = engine.orders.length;
    await until(
      () => engine.orders.length >= known + 5,
      20_000,
      'orders after the restart',
    );
    demand.stop();
    engine.stop();
    store.stop();

    const holders = new Map();
    for (const {fencing_token: token, holder} of engine.orders) {
      const names = holders.get(token) ?? new Set();
      holders.set(token, names.add(holder));
    }
    for (const [token, names] of holders)
      record.add(`fencing_token ${token}: ${[...names].join(', ')}`);
    const reused = [...holders].find(([, names]) => names.size > 1);
    return reused === undefined
      ? undefined
      : `orders of ${[...reused[1]].join(' and ')} reached ${engine.id} with one fencing token, ${reused[0]}`;
  },
);
