import {type ChildProcess, execFileSync, spawn} from 'node:child_process';
import {
  mkdirSync,
  mkdtempSync,
  readFileSync,
  rmSync,
  writeFileSync,
} from 'node:fs';
import {join} from 'node:path';

const REPOSITORY = new URL('../../', import.meta.url).pathname;

/** Interval between two looks at a process. */
const LOOK_MILLISECONDS = 1;

/** Programs of the project. */
export type ProgramName = 'entry' | 'daemon';

/** Bundles of the programs, in a folder of their own. */
export class BuiltPrograms {
  private constructor(readonly folder: string) {}

  /** Builds both programs with the command of the package. */
  static build(): BuiltPrograms {
    mkdirSync(join(REPOSITORY, 'target'), {recursive: true});
    const folder = mkdtempSync(join(REPOSITORY, 'target', 'test-'));
    const {scripts} = JSON.parse(
      readFileSync(join(REPOSITORY, 'package.json'), 'utf8'),
    ) as {scripts: Record<string, string>};
    const command = scripts['build:entry'] ?? '';
    for (const name of ['entry', 'daemon']) {
      const build = command
        .replace('src/entry/main.ts', `src/${name}/main.ts`)
        .replace('--outdir=target', `--outdir=${join(folder, name)}`);
      execFileSync('sh', ['-c', build], {
        cwd: REPOSITORY,
        env: {
          ...process.env,
          PATH: `${join(REPOSITORY, 'node_modules/.bin')}:${process.env['PATH']}`,
        },
      });
    }
    return new BuiltPrograms(folder);
  }

  /** Removes the bundles. */
  remove(): void {
    rmSync(this.folder, {recursive: true, force: true});
  }
}

/** A program of the project as a process of its own. */
export class ProgramProcess {
  /** Exit code or signal with which it ended; undefined while it runs. */
  ended: number | string | undefined;
  /** What it has written to both outputs. */
  output = '';
  private readonly child: ChildProcess;

  /** Starts the program with the options that the platform gives it. */
  constructor(programs: BuiltPrograms, name: ProgramName, settings: unknown) {
    const file = join(programs.folder, `settings-${Math.random()}.json`);
    writeFileSync(file, JSON.stringify(settings));
    this.child = spawn(
      process.execPath,
      [
        '--max-old-space-size=180',
        join(programs.folder, name, 'limpetdale.mjs'),
        '--settings',
        file,
      ],
      {stdio: ['ignore', 'pipe', 'pipe']},
    );
    for (const stream of [this.child.stdout, this.child.stderr])
      stream?.on('data', bytes => (this.output += String(bytes)));
    this.child.once('exit', (code, signal) => {
      this.ended = signal ?? code ?? undefined;
    });
  }

  /** Whether it has written a log event. */
  hasLogged(event: string): boolean {
    return this.output.includes(`"${event}"`);
  }

  /** Whether it listens to SIGHUP (Linux only). */
  get listensToSignals(): boolean {
    const [, caught = '0'] = /^SigCgt:\s*(\w+)$/mu.exec(this.status()) ?? [];
    return (BigInt(`0x${caught}`) & 1n) === 1n;
  }

  /** Memory in use, in MB (Linux only). */
  get residentMegabytes(): number {
    const [, kilobytes = '0'] =
      /^RssAnon:\s*(\d+) kB$/mu.exec(this.status()) ?? [];
    return Number(kilobytes) / 1024;
  }

  /** Sends a signal. */
  signal(name: NodeJS.Signals): void {
    this.child.kill(name);
  }

  /** Waits until a condition holds or the process has ended. */
  async until(isMet: () => boolean): Promise<void> {
    while (!isMet() && this.ended === undefined)
      await new Promise(resolve => setTimeout(resolve, LOOK_MILLISECONDS));
  }

  /** Kills the process and waits for its end. */
  async kill(): Promise<void> {
    this.child.kill('SIGKILL');
    await this.until(() => false);
  }

  private status(): string {
    try {
      return readFileSync(`/proc/${this.child.pid}/status`, 'utf8');
    } catch {
      return '';
    }
  }
}
