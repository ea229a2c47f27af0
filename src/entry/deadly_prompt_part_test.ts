import {afterEach, beforeEach, describe, expect, test} from 'vitest';
import {createEventLogger} from '../observability/mod.ts';
import {createPlatform} from '../platform/mod.ts';
import {freePorts} from '../testing/free_ports.ts';
import {
  entrySettings,
  platformConfiguration,
} from '../testing/platform_deployment.ts';
import {PlatformEndpointStandIn} from '../testing/platform_endpoint_stand_in.ts';
import {send} from '../testing/platform_caller.ts';
import {PlatformStoreStandIn} from '../testing/platform_store_stand_in.ts';
import {SystemClock} from '../time/mod.ts';
import {EntryHost} from './mod.ts';

const ENGINE_COUNT = 6;
const DEADLY_PART = 'dead01';

let store: PlatformStoreStandIn;
let engines: PlatformEndpointStandIn[];
let hosts: EntryHost[];
let callerPorts: number[];
let lines: string[];

beforeEach(async () => {
  store = await PlatformStoreStandIn.start();
  store.put('op', 'config', platformConfiguration());
  engines = await Promise.all(
    Array.from({length: ENGINE_COUNT}, (_, index) =>
      PlatformEndpointStandIn.start(
        {id: `engine-${index}`, service: 'engines', models: ['model-a']},
        store,
      ),
    ),
  );
  for (const engine of engines) engine.deadlyPart = DEADLY_PART;
  hosts = [];
  callerPorts = [];
  lines = [];
  for (const hostId of ['host-1', 'host-2']) await startHost(hostId);
  await expect
    .poll(() => lines.filter(line => line.includes('"peerConnected"')).length)
    .toBeGreaterThanOrEqual(2);
});

afterEach(async () => {
  await Promise.all(hosts.map(host => host.drain()));
  await Promise.all(engines.map(engine => engine.stop()));
  await store.stop();
});

describe('EntryHost', () => {
  // Guards against BUDGET violations: requests that have nothing in common but one
  // part of their prompts crash engine after engine, through any host.
  test.each(['chat', 'draft'])(
    '%s requests with a prompt part that crashes engines do not end engine after engine',
    async kind => {
      const statuses = {sound: new Set<number>(), deadly: [] as number[]};
      for (let count = 0; count < 10; count++) {
        statuses.sound.add(await sendPrompt(kind, count, `sound${count % 2}`));
        statuses.deadly.push(await sendPrompt(kind, count, DEADLY_PART));
      }
      const ended = engines.filter(engine => engine.hasEnded);
      expect(ended.length).toBeLessThanOrEqual(2);
      expect(statuses.sound).toEqual(new Set([200]));
      expect(statuses.deadly.slice(-7)).toEqual(Array<number>(7).fill(503));
    },
  );
});

async function sendPrompt(
  kind: string,
  count: number,
  part: string,
): Promise<number> {
  const answer = await send(callerPorts[count % 2]!, {
    path: `/${kind}/${part}/${count}`,
    method: 'POST',
    body: `opaque ${part} ${count}`,
    headers: {
      Model: 'model-a',
      'Prompt-Prefix': `ab01:100,${part}:20,${part}${count}:5`,
    },
  }).catch(() => undefined);
  return answer?.status ?? 0;
}

async function startHost(hostId: string): Promise<void> {
  const [callers, readiness, directory, peers] = await freePorts(4);
  // Hosts of an earlier test may still write lines.
  const hostLines = lines;
  const host = await EntryHost.start({
    settings: entrySettings(hostId, store.address, {
      callers: callers!,
      readiness: readiness!,
      directory: directory!,
      peers: peers!,
    }),
    clock: new SystemClock(),
    logger: createEventLogger({write: line => hostLines.push(line)}),
    platform: createPlatform({
      address: store.address,
      timeoutMilliseconds: 500,
    }),
  });
  hosts.push(host);
  callerPorts.push(callers!);
  await expect
    .poll(() => lines.filter(line => line.includes('"endpointFound"')).length)
    .toBeGreaterThanOrEqual(ENGINE_COUNT * hosts.length);
}
