import {mkdirSync, writeFileSync} from 'node:fs';
import {dirname} from 'node:path';
import {PlatformStoreStandIn} from '../../src/testing/platform_store_stand_in.ts';
import {EntryProcess, freePortsOf, hostAddress} from './entry_process.ts';

/** Outcomes of a script, as exit codes. */
export const RESULTS = {held: 0, broken: 1, notRun: 2} as const;

/** Log of a run, written to `record.txt`. */
export class Recorder {
  private readonly startedAt = performance.now();
  private readonly lines: string[] = [];

  constructor(private readonly file: string) {}

  /** Adds a line with the time since the start. */
  add(line: string): void {
    const seconds = (performance.now() - this.startedAt) / 1000;
    this.lines.push(`${seconds.toFixed(3).padStart(8)} s  ${line}`);
  }

  /** Writes the file. */
  write(): void {
    mkdirSync(dirname(this.file), {recursive: true});
    writeFileSync(this.file, `${this.lines.join('\n')}\n`);
  }
}

/** What a case needs: a store and entry hosts as processes. */
export interface CaseDeployment {
  readonly store: PlatformStoreStandIn;
  readonly hosts: readonly EntryProcess[];
  readonly recorder: Recorder;
  /** Whether the disruption happens; not with TROUBLE=0. */
  readonly hasTrouble: boolean;
  /** Registers what has to be ended after the run. */
  readonly atEnd: (end: () => unknown) => void;
}

/** Options of {@link runCase}. */
export interface CaseOptions {
  readonly folder: string;
  readonly hostCount: number;
  readonly configuration: unknown;
  /** Registers the endpoints before the hosts start. */
  readonly prepare: (deployment: CaseDeployment) => Promise<void>;
  /** Plays the case; returns whether the rule was broken. */
  readonly play: (deployment: CaseDeployment) => Promise<boolean>;
}

/** Time-out of a whole run, below the 120 seconds that a script may take. */
const RUN_TIMEOUT_MILLISECONDS = 110_000;

/** Time for the hosts to become ready. */
const START_TIMEOUT_MILLISECONDS = 30_000;

/** Runs a case and exits with its result. */
export async function runCase(options: CaseOptions): Promise<never> {
  const recorder = new Recorder(`${options.folder}/record.txt`);
  const ends: (() => unknown)[] = [];
  const hosts: EntryProcess[] = [];
  let result: number = RESULTS.notRun;
  const timer = setTimeout(() => {
    recorder.add('The run has taken too long');
    void finish();
  }, RUN_TIMEOUT_MILLISECONDS);
  const finish = async (): Promise<never> => {
    clearTimeout(timer);
    await Promise.all(hosts.map(host => host.end()));
    for (const end of ends) await Promise.resolve(end()).catch(() => undefined);
    recorder.add(`exit ${result}`);
    recorder.write();
    process.exit(result);
  };
  try {
    const store = await PlatformStoreStandIn.start();
    ends.push(() => store.stop());
    store.put('op', 'config', options.configuration);
    for (let index = 0; index < options.hostCount; index++) {
      const ip = hostAddress(index);
      const [callers = 0, readiness = 0, directory = 0, peers = 0] =
        await freePortsOf(ip, 4);
      const settings = {
        nodeName: `frontend-ist-a-${index + 1}`,
        zone: 'ist-a',
        ip,
        ports: {callers, readiness, directory, peers},
        storeAddress: store.address,
        isFirstStart: true,
      };
      hosts.push(new EntryProcess(settings, line => recorder.add(line)));
    }
    const deployment: CaseDeployment = {
      store,
      hosts,
      recorder,
      hasTrouble: process.env['TROUBLE'] !== '0',
      atEnd: end => ends.push(end),
    };
    await options.prepare(deployment);
    for (const host of hosts) host.start(true);
    const deadline = performance.now() + START_TIMEOUT_MILLISECONDS;
    for (const host of hosts) {
      while (!(await host.isReady())) {
        if (performance.now() > deadline) throw new Error('Hosts not ready');
        await pause(50);
      }
    }
    recorder.add('All hosts are ready');
    const isBroken = await options.play(deployment);
    result = isBroken ? RESULTS.broken : RESULTS.held;
  } catch (error) {
    recorder.add(`The case could not run: ${String(error)}`);
  }
  return finish();
}

/** Resolves after some milliseconds. */
export function pause(milliseconds: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, milliseconds));
}
