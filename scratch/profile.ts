import {createEventLogger} from '../src/observability/mod.ts';
import {createPlatform} from '../src/platform/mod.ts';
import {EntryHost} from '../src/entry/mod.ts';
import {SystemClock, sleep} from '../src/time/mod.ts';
import {PlatformStoreStandIn} from '../src/testing/platform_store_stand_in.ts';
import {PlatformEndpointStandIn} from '../src/testing/platform_endpoint_stand_in.ts';
import {platformConfiguration, entrySettings, PLATFORM_KEY} from '../src/testing/platform_deployment.ts';
const clock = new SystemClock();
const store = await PlatformStoreStandIn.start();
const models = Array.from({length: 50}, (_, i) => 'model' + i);
store.put('op', 'config', platformConfiguration({models}));
const engines = [];
for (let i = 0; i < 6; i++) engines.push(await PlatformEndpointStandIn.start({id: 'e' + i, service: 'engines', models: models.slice(i * 2, i * 2 + 2)}, store));
const hosts = [];
for (let i = 0; i < 8; i++) {
  const b = 20000 + i * 10;
  hosts.push(await EntryHost.start({settings: {...entrySettings('h' + i, store.address, {callers: b, readiness: b + 1, directory: b + 2, peers: b + 3}), metricsPort: b + 4}, clock, logger: createEventLogger({write: () => undefined}), platform: createPlatform({address: store.address, timeoutMilliseconds: 900})}));
}
setInterval(() => { for (const e of engines) e.register(); }, 1200);
const started = process.cpuUsage();
const t0 = performance.now();
let n = 0, ok = 0;
const pump = setInterval(() => {
  const i = n++;
  void fetch(`http://127.0.0.1:${20000 + (i % 8) * 10}/chat/x`, {method: 'POST', headers: {Host: 'api.example', 'Request-Id': 'r' + i, Model: models[i % 50]!, 'Token-Usage': '10,10', 'Deadline-Ms': '3000', 'X-Api-Key': PLATFORM_KEY}, body: 'x'.repeat(500)}).then(async r => { if (r.status === 200) ok++; await r.arrayBuffer(); }).catch(() => undefined);
}, 20);
await sleep(clock, 15000);
clearInterval(pump);
const used = process.cpuUsage(started);
console.log('cpu ms per s per host', (used.user + used.system) / 1000 / ((performance.now() - t0) / 1000) / 8, 'requests', n, 'ok', ok);
process.exit(0);
