import {type ChildProcess, spawn} from 'node:child_process';
import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {request} from 'node:http';
import {createServer} from 'node:net';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import process from 'node:process';

/** Bounds of the deployments of 8 hosts, from the platform's settings. */
export const BOUNDS = {
  contactTimeoutMilliseconds: 3000,
  graceSeconds: 8,
  orderTurnMilliseconds: 3000,
  drainMilliseconds: 2000,
  configurationMilliseconds: 2000,
} as const;

/** Delay after which the platform starts a process that has ended once more. */
const RESTART_MILLISECONDS = 500;

/** Loopback addresses of this process, so that several cases can run side by side. */
const NETWORK = `127.${20 + (process.pid % 200)}.${Math.floor(process.pid / 200) % 250}`;

/** Ports of a host on its own loopback address. */
interface Ports {
  readonly callers: number;
  readonly readiness: number;
  readonly directory: number;
  readonly peers: number;
  readonly metrics: number;
}

/** Options of {@link Hosts.start}. */
export interface HostsOptions {
  readonly count: number;
  /** Address of the store. */
  readonly store: string;
  /** Names in the list `contracts` of the platform's settings. */
  readonly contracts: string;
  /** Address of the store for one host, if it differs. */
  readonly storeOf?: (index: number) => string;
}

/** Processes that run; none outlives the case, however it ends. */
const running = new Set<ChildProcess>();

process.on('exit', () => {
  for (const child of running) child.kill('SIGKILL');
});

/** One process of the project, restarted by the platform when it ends. */
export class Host {
  /** Times of the starts, as `Date.now()`. */
  readonly starts: number[] = [];
  /** Time of the last SIGTERM, SIGSTOP or SIGCONT. */
  disturbedAt = 0;
  /** Log lines of the process. */
  readonly lines: string[] = [];
  private child: ChildProcess | undefined;
  private isRestarted = true;
  private isStarted = false;

  constructor(
    readonly name: string,
    readonly address: string,
    readonly ports: Ports,
    private readonly writeSettings: (isFirstStart: boolean) => void,
    private readonly environment: NodeJS.ProcessEnv,
  ) {}

  /** Address on which callers connect. */
  get callers(): string {
    return `${this.address}:${this.ports.callers}`;
  }

  /** Starts the process as the deploy file says. */
  start(): void {
    this.writeSettings(this.starts.length === 0);
    this.starts.push(Date.now());
    const child = spawn(
      'node',
      ['--max-old-space-size=180', 'target/limpetdale.mjs'],
      {env: this.environment, stdio: ['ignore', 'pipe', 'pipe']},
    );
    this.isStarted = true;
    this.child = child;
    running.add(child);
    let rest = '';
    child.stdout.on('data', (bytes: Buffer) => {
      const lines = (rest + bytes.toString()).split('\n');
      rest = lines.pop() ?? '';
      this.lines.push(...lines);
    });
    child.stderr.on('data', (bytes: Buffer) => {
      this.lines.push(bytes.toString());
    });
    child.once('exit', () => {
      this.child = undefined;
      running.delete(child);
      if (!this.isRestarted) return;
      setTimeout(() => {
        if (this.isRestarted) this.start();
      }, RESTART_MILLISECONDS);
    });
  }

  /** Sends a signal to the process. */
  signal(name: NodeJS.Signals): void {
    this.disturbedAt = Date.now();
    this.child?.kill(name);
  }

  /** Ends the process by SIGTERM; it is not started again. */
  remove(): void {
    this.isRestarted = false;
    this.signal('SIGTERM');
  }

  /** Whether it has run undisturbed for the contact timeout up to a time. */
  isInTouch(at: number): boolean {
    const startedAt = this.starts.findLast(start => start <= at) ?? Infinity;
    const calmSince = Math.max(
      startedAt,
      this.disturbedAt <= at ? this.disturbedAt : 0,
    );
    return at - calmSince >= BOUNDS.contactTimeoutMilliseconds;
  }

  /** Answer of the readiness check. */
  isReady(): Promise<boolean> {
    return new Promise(resolve => {
      const sent = request(
        {
          host: this.address,
          port: this.ports.readiness,
          path: '/limpetdale/readiness',
          timeout: 500,
          agent: false,
        },
        response => {
          response.resume();
          resolve(response.statusCode === 200);
        },
      );
      sent.on('timeout', () => sent.destroy());
      sent.on('error', () => resolve(false));
      sent.end();
    });
  }

  /** Ends the process for good. */
  async end(): Promise<void> {
    this.isRestarted = false;
    const {child} = this;
    if (!this.isStarted || child === undefined) return;
    await new Promise(resolve => {
      child.once('exit', resolve);
      child.kill('SIGKILL');
    });
  }
}

/** The entry hosts of one small deployment, each on a loopback address of its own. */
export class Hosts {
  private constructor(
    readonly all: readonly Host[],
    private readonly folder: string,
  ) {}

  /** Starts the hosts and waits until all are ready. */
  static async start(options: HostsOptions): Promise<Hosts> {
    const folder = mkdtempSync(join(tmpdir(), 'limpetdale-review-'));
    const all: Host[] = [];
    for (let index = 0; index < options.count; index++) {
      const address = `${NETWORK}.${11 + index}`;
      const [
        callers = 0,
        readiness = 0,
        directory = 0,
        peers = 0,
        metrics = 0,
      ] = await freePorts(address, 5);
      const ports = {callers, readiness, directory, peers, metrics};
      const file = join(folder, `host-${index + 1}.json`);
      const name = `host-${index + 1}`;
      const store = options.storeOf?.(index) ?? options.store;
      const writeSettings = (isFirstStart: boolean) =>
        writeFileSync(
          file,
          settingsOf({name, address, ports, store, isFirstStart}),
        );
      const environment = {
        PATH: process.env['PATH'],
        HOME: process.env['HOME'],
        LIMPETDALE_BOOT: file,
        LIMPETDALE_MEMORY_MB: '350',
        LIMPETDALE_AGREEMENTS: options.contracts,
        LIMPETDALE_COLD_OVERRUN: '',
        LIMPETDALE_COLD_SLACK: '',
      };
      all.push(new Host(name, address, ports, writeSettings, environment));
    }
    for (const host of all) host.start();
    const hosts = new Hosts(all, folder);
    const until = Date.now() + 15_000;
    for (const host of all) {
      while (!(await host.isReady())) {
        if (Date.now() > until) {
          await hosts.end();
          throw new Error(`${host.name} is not ready`);
        }
        await pause(50);
      }
    }
    return hosts;
  }

  /** Ends all processes. */
  async end(): Promise<void> {
    await Promise.all(this.all.map(host => host.end()));
    rmSync(this.folder, {recursive: true, force: true});
  }
}

/** The settings as `deploy/settings.json.template` renders them. */
function settingsOf(host: {
  readonly name: string;
  readonly address: string;
  readonly ports: Ports;
  readonly store: string;
  readonly isFirstStart: boolean;
}): string {
  const {address, ports, store, isFirstStart} = host;
  return JSON.stringify({
    hostId: host.name,
    dataCentre: 'zone-a',
    address,
    callers: `${address}:${ports.callers}`,
    readiness: `${address}:${ports.readiness}`,
    directory: `${address}:${ports.directory}`,
    peerPort: ports.peers,
    metricsPort: ports.metrics,
    isFirstStart,
    store,
    graceSeconds: BOUNDS.graceSeconds,
    orderTurnMilliseconds: BOUNDS.orderTurnMilliseconds,
    drainMilliseconds: BOUNDS.drainMilliseconds,
    configurationMilliseconds: BOUNDS.configurationMilliseconds,
    processor: {share: 0.675, speed: 1},
    linkMegabits: 1000,
    retries: {ratio: 0.2, slack: 56, windowSeconds: 10},
  });
}

/** Finds free ports of a loopback address. */
async function freePorts(address: string, count: number): Promise<number[]> {
  const servers = await Promise.all(
    Array.from({length: count}, async () => {
      const server = createServer();
      await new Promise<void>((resolve, reject) => {
        server.once('error', reject);
        server.listen(0, address, resolve);
      });
      return server;
    }),
  );
  const ports = servers.map(server => {
    const bound = server.address();
    return typeof bound === 'object' && bound !== null ? bound.port : 0;
  });
  await Promise.all(
    servers.map(server => new Promise(resolve => server.close(resolve))),
  );
  return ports;
}

/** Waits. */
export function pause(milliseconds: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, milliseconds));
}
