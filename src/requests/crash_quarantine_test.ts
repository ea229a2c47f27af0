import {afterEach, describe, expect, it} from 'vitest';
import type {EngineStandIn} from '../testing/mod.ts';
import {
  chat,
  collect,
  createDeployment,
  errorOf,
  loadModel,
  startEngine,
  stopServers,
  TestHost,
  TestPeers,
} from '../testing/request_host.ts';

afterEach(stopServers);

const CRASHING_INPUT = 'poison';

/** Crashes break the connection, so a long time-out avoids false time-outs on a busy machine. */
const LONG_PROGRESS_TIMEOUT = {engineProgressMilliseconds: 10_000};

/** Starts engines that crash on a marked input, then restart and reload their model. */
async function startCrashingEngines(count: number): Promise<EngineStandIn[]> {
  const engines: EngineStandIn[] = [];
  for (let number = 0; number < count; number++) {
    const engine: EngineStandIn = await startEngine({
      crashOn: CRASHING_INPUT,
      onCrash: () => {
        void engine.restart().then(() => loadModel(engine));
      },
    });
    engines.push(engine);
  }
  return engines;
}

/** Creates two hosts that share the authority, the table and the engines. */
function createPair(engines: EngineStandIn[]) {
  const peerLinks = new TestPeers();
  const {host, authorization} = createDeployment(engines, [], {
    peerLinks,
    ...LONG_PROGRESS_TIMEOUT,
  });
  const second = new TestHost({
    ...LONG_PROGRESS_TIMEOUT,
    hostId: 'host-2',
    engines: new Map(
      engines.map((engine, index) => [`engine-${index + 1}`, engine]),
    ),
    shared: host.authority,
    memoryTable: host.table,
    peerLinks,
  });
  return {hosts: [host, second], authorization};
}

function crashesOf(engines: readonly EngineStandIn[]): number {
  return engines.reduce((sum, engine) => sum + engine.crashes, 0);
}

describe('a request that crashes engines', () => {
  it('crashes two engines at most when it is resent, and other requests are served', async () => {
    const engines = await startCrashingEngines(3);
    const {hosts, authorization} = createPair(engines);
    const otherRequests = Array.from({length: 40}, (_unused, index) =>
      collect(
        hosts[index % 2]!.path.runModel(
          chat(authorization, {input: `quote ${index}`}),
        ),
      ),
    );
    const codes: (string | undefined)[] = [];
    for (let copy = 0; copy < 20; copy++) {
      const events = await collect(
        hosts[copy % 2]!.path.runModel(
          chat(authorization, {input: CRASHING_INPUT}),
        ),
      );
      codes.push(errorOf(events)?.code);
    }
    expect(crashesOf(engines)).toBe(2);
    expect(new Set(codes)).toEqual(new Set(['request_quarantined']));
    const quarantined = [
      ...hosts[0]!.authority.current.quarantine.values(),
    ].filter(entry => entry.state === 'quarantined');
    expect(quarantined).toHaveLength(1);

    const answers = await Promise.all(otherRequests);
    const failed = answers.filter(events => errorOf(events) !== undefined);
    // Only requests whose tokens had reached the caller may have failed.
    for (const events of failed) {
      expect(events.some(event => event.kind === 'token')).toBe(true);
    }
    for (let index = 0; index < 40; index++) {
      const events = await collect(
        hosts[index % 2]!.path.runModel(
          chat(authorization, {input: `quote ${index}`}),
        ),
      );
      expect(errorOf(events)).toBeUndefined();
    }
  });

  it('is sent to one engine at a time when many copies arrive as suspects', async () => {
    const engines = await startCrashingEngines(3);
    const {hosts, authorization} = createPair(engines);
    const send = () =>
      collect(
        hosts[0]!.path.runModel(
          chat(authorization, {
            input: CRASHING_INPUT,
            idempotencyKey: undefined,
          }),
        ),
      );
    await send();
    await Promise.all(Array.from({length: 20}, send));
    expect(crashesOf(engines)).toBe(2);
  });

  it('is refused by a host that only knows the authority', async () => {
    const engines = await startCrashingEngines(2);
    const {hosts, authorization} = createPair(engines);
    await collect(
      hosts[0]!.path.runModel(chat(authorization, {input: CRASHING_INPUT})),
    );
    const newHost = new TestHost({
      hostId: 'host-3',
      shared: hosts[0]!.authority,
    });
    const events = await collect(
      newHost.path.runModel(chat(authorization, {input: CRASHING_INPUT})),
    );
    const code = 'request_quarantined';
    expect(errorOf(events)).toMatchObject({code, run: 'not_run'});
  });

  it('may run again once an operator has released it', async () => {
    const engines = await startCrashingEngines(2);
    const {hosts, authorization} = createPair(engines);
    const [host] = hosts;
    await collect(
      host!.path.runModel(chat(authorization, {input: CRASHING_INPUT})),
    );
    for (const {path} of hosts) path.checkOpenRequests();
    const [fingerprint] = host!.authority.current.quarantine.keys();
    host!.authority.apply({
      kind: 'release_quarantine',
      fingerprint: fingerprint!,
    });
    for (const {path} of hosts) path.checkOpenRequests();
    for (const engine of engines) {
      while (!engine.loadedNames.includes('model-1')) {
        await new Promise(resolve => setTimeout(resolve, 1));
      }
    }
    await collect(
      host!.path.runModel(chat(authorization, {input: CRASHING_INPUT})),
    );
    expect(crashesOf(engines)).toBe(4);
  });

  it('is quarantined even while the table is down', async () => {
    const engines = await startCrashingEngines(3);
    const {hosts, authorization} = createPair(engines);
    const unavailable = {
      kind: 'unavailable',
      error: {
        kind: 'unavailable',
        step: 'commit',
        peer: 'table',
        reason: 'down',
      },
    } as const;
    hosts[0]!.authority.submit = async () => unavailable;
    for (let copy = 0; copy < 6; copy++) {
      await collect(
        hosts[copy % 2]!.path.runModel(
          chat(authorization, {input: CRASHING_INPUT}),
        ),
      );
    }
    expect(crashesOf(engines)).toBe(2);
  });
});
