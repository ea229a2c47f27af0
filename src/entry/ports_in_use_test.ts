import {createServer} from 'node:net';
import {afterAll, afterEach, beforeAll, expect, test} from 'vitest';
import {freePorts} from '../testing/free_ports.ts';
import {LocalDeployment} from '../testing/local_deployment.ts';
import {
  entrySettings,
  platformConfiguration,
} from '../testing/platform_deployment.ts';
import {PlatformStoreStandIn} from '../testing/platform_store_stand_in.ts';
import {BuiltPrograms, ProgramProcess} from '../testing/program_process.ts';

let programs: BuiltPrograms;
let store: PlatformStoreStandIn;
let deployment: LocalDeployment;
let program: ProgramProcess;

beforeAll(async () => {
  programs = BuiltPrograms.build();
  store = await PlatformStoreStandIn.start();
  store.put('op', 'config', platformConfiguration());
  deployment = await LocalDeployment.start({engines: 0, services: 0});
});

afterEach(() => program.kill());

afterAll(async () => {
  programs.remove();
  await store.stop();
  await deployment.stop();
});

/** Starts a program one of whose ports is in use. @returns Frees the port. */
async function startWithPortInUse(
  name: 'entry' | 'daemon',
  taken: string,
): Promise<() => Promise<unknown>> {
  const numbers = await freePorts(5);
  const port = numbers[4]!;
  const server = createServer();
  await new Promise<void>(resolve => server.listen(port, '127.0.0.1', resolve));
  const [callers, readiness, directory, peers] = numbers;
  const ports = {
    callers: callers!,
    readiness: readiness!,
    directory: directory!,
    peers: peers!,
    [taken]: port,
  };
  const daemon = deployment.settings('host-1', 0, []);
  const settings =
    name === 'entry'
      ? {
          ...entrySettings('host-1', store.address, ports),
          ...(taken === 'metrics' ? {metricsPort: port} : {}),
        }
      : {
          ...daemon,
          [taken]: {
            ...daemon[taken as 'callers'],
            listen: {address: '127.0.0.1', port},
          },
        };
  program = new ProgramProcess(programs, name, settings);
  return () => new Promise(resolve => server.close(resolve));
}

const ENTRY_PORTS = ['callers', 'readiness', 'directory', 'peers'];
const CASES = [
  ...ENTRY_PORTS.map(taken => ({name: 'entry' as const, taken})),
  ...['callers', 'operators', 'peers'].map(taken => ({
    name: 'daemon' as const,
    taken,
  })),
];

// Guards against a process that ends at once because a port is still in use by the one
// that it replaces (Fault).
test.each(CASES)(
  '$name starts once its port of $taken is free',
  async ({name, taken}) => {
    const free = await startWithPortInUse(name, taken);
    await program.until(() => program.hasLogged('addressInUse'));
    expect(program.hasLogged('hostStarted')).toBe(false);
    await free();
    await program.until(() => program.hasLogged('hostStarted'));
    expect(program.ended).toBeUndefined();
  },
);

test('entry starts while its port of metrics is in use', async () => {
  const free = await startWithPortInUse('entry', 'metrics');
  await program.until(() => program.hasLogged('hostStarted'));
  expect(program.ended).toBeUndefined();
  await free();
});

test.each(CASES)(
  '$name that waits for its port of $taken ends with 0 after a SIGTERM',
  async ({name, taken}) => {
    const free = await startWithPortInUse(name, taken);
    await program.until(() => program.hasLogged('addressInUse'));
    program.signal('SIGTERM');
    await program.until(() => false);
    expect(program.ended).toBe(0);
    await free();
  },
);
