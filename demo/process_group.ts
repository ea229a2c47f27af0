import {type ChildProcess, spawn} from 'node:child_process';
import {createWriteStream} from 'node:fs';
import {join} from 'node:path';
import {createInterface} from 'node:readline';

/** A process of the demo that has printed its addresses. */
export interface StartedProcess {
  readonly name: string;
  readonly process: ChildProcess;
  /** The JSON object that it printed on its first line. */
  readonly announcement: Readonly<Record<string, string>>;
}

const START_TIMEOUT_MILLISECONDS = 20_000;
const STOP_TIMEOUT_MILLISECONDS = 25_000;

/** Starts processes of the demo, keeps their logs, and stops them. */
export class ProcessGroup {
  private readonly processes: StartedProcess[] = [];

  constructor(private readonly logDirectory: string) {}

  /** Starts a TypeScript program and waits for its first line of output. */
  async start(
    name: string,
    program: string,
    parameters: readonly string[],
  ): Promise<StartedProcess> {
    const child = spawn(
      process.execPath,
      ['--import', 'tsx', program, ...parameters],
      {
        stdio: ['ignore', 'pipe', 'pipe'],
      },
    );
    const log = createWriteStream(join(this.logDirectory, `${name}.log`));
    child.stderr.pipe(log);
    const announcement = await readFirstLine(name, child);
    const started: StartedProcess = {
      name,
      process: child,
      announcement: JSON.parse(announcement) as Record<string, string>,
    };
    this.processes.push(started);
    return started;
  }

  /**
   * Ends one process with SIGTERM, or with SIGKILL after 25 s, and returns its
   * exit code.
   */
  async stop(started: StartedProcess): Promise<number | null> {
    const {process: child} = started;
    if (child.exitCode !== null) return child.exitCode;
    const exited = new Promise<number | null>(resolve => {
      child.once('exit', code => resolve(code));
    });
    child.kill('SIGTERM');
    const killTimer = setTimeout(
      () => child.kill('SIGKILL'),
      STOP_TIMEOUT_MILLISECONDS,
    );
    const code = await exited;
    clearTimeout(killTimer);
    return code;
  }

  /** Kills all processes, in reverse order of their start. */
  async stopAll(): Promise<void> {
    for (const started of [...this.processes].reverse()) {
      started.process.kill('SIGKILL');
    }
  }
}

function readFirstLine(name: string, child: ChildProcess): Promise<string> {
  return new Promise((resolve, reject) => {
    const timer = setTimeout(() => {
      reject(new Error(`Process "${name}" printed nothing in time`));
    }, START_TIMEOUT_MILLISECONDS);
    child.once('exit', code => {
      clearTimeout(timer);
      reject(new Error(`Process "${name}" ended early with code ${code}`));
    });
    createInterface({input: child.stdout!}).once('line', line => {
      clearTimeout(timer);
      resolve(line);
    });
  });
}
