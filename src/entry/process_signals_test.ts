import {afterAll, afterEach, beforeAll, expect, test} from 'vitest';
import {freePorts} from '../testing/free_ports.ts';
import {LocalDeployment} from '../testing/local_deployment.ts';
import {
  entrySettings,
  platformConfiguration,
} from '../testing/platform_deployment.ts';
import {PlatformStoreStandIn} from '../testing/platform_store_stand_in.ts';
import {
  BuiltPrograms,
  type ProgramName,
  ProgramProcess,
} from '../testing/program_process.ts';

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

async function start(name: ProgramName): Promise<void> {
  const [callers, readiness, directory, peers] = await freePorts(4);
  const settings =
    name === 'entry'
      ? entrySettings('host-1', store.address, {
          callers: callers!,
          readiness: readiness!,
          directory: directory!,
          peers: peers!,
        })
      : deployment.settings('host-1', 0, []);
  program = new ProgramProcess(programs, name, settings);
}

const PROGRAMS = ['entry', 'daemon'] as const;

/** Events that programs log once they serve. */
const READY_EVENTS = {
  entry: 'configurationApplied',
  daemon: 'hostReady',
} as const;

// Guards against a process that is ended by a signal that arrives while it loads its
// program: it listened to signals only once it had started (Fault).
test.each(PROGRAMS)(
  '%s goes on after a SIGHUP before it has started',
  async name => {
    await start(name);
    await program.until(() => program.listensToSignals);
    expect(program.output).toBe('');
    program.signal('SIGHUP');
    await program.until(() => program.hasLogged('settingsReloaded'));
    await program.until(() => program.hasLogged(READY_EVENTS[name]));
    expect(program.ended).toBeUndefined();
  },
);

test.each(PROGRAMS)(
  '%s ends with 0 after a SIGTERM before it has started',
  async name => {
    await start(name);
    await program.until(() => program.listensToSignals);
    expect(program.output).toBe('');
    program.signal('SIGTERM');
    await program.until(() => false);
    expect(program.ended).toBe(0);
  },
);
