import {type ChildProcess, spawn} from 'node:child_process';
import {mkdtempSync, readFileSync, rmSync, writeFileSync} from 'node:fs';
import {request} from 'node:http';
import {createServer} from 'node:net';
import {tmpdir} from 'node:os';
import {join} from 'node:path';

/** Program and arguments of the role `entry`, as in `deploy/system.toml`. */
function entryCommand(): string[] {
  const text = readFileSync('deploy/system.toml', 'utf8');
  const run = /^run = "(.*)"$/m.exec(text)?.[1];
  if (run === undefined) throw new Error('deploy/system.toml has no command');
  return run.split(' ');
}

/** Fields of the platform's settings that the template of the project uses. */
export interface PlatformSettings {
  readonly nodeName: string;
  readonly zone: string;
  readonly ip: string;
  readonly ports: {
    readonly callers: number;
    readonly readiness: number;
    readonly directory: number;
    readonly peers: number;
  };
  readonly storeAddress: string;
  readonly isFirstStart: boolean;
}

/** Bounds of the site kaplama-ist that the template uses. */
const BOUNDS = {
  grace_period_s: 8,
  lease_ms: 3000,
  drain_ms: 2000,
  config_apply_ms: 2000,
  retry_budget_ratio: 0.2,
  retry_budget_slack: 56,
  budget_window_s: 10,
};

/** Fills in the project's template as the platform does. */
function renderSettings(settings: PlatformSettings): string {
  const {ip, ports} = settings;
  const fields: Record<string, unknown> = {
    node_name: settings.nodeName,
    zone: settings.zone,
    ip_address: ip,
    'listen_addresses.frontend': `${ip}:${ports.callers}`,
    'listen_addresses.ready': `${ip}:${ports.readiness}`,
    'listen_addresses.directory_service': `${ip}:${ports.directory}`,
    'internal_port_range.0': ports.peers,
    initial_bootstrap: settings.isFirstStart,
    'platform.address': settings.storeAddress,
    'limits.cpu_share': 0.675,
    'limits.cpu_cores': 1,
    'limits.link_mbps': 1000,
    ...Object.fromEntries(
      Object.entries(BOUNDS).map(([name, value]) => [`bounds.${name}`, value]),
    ),
  };
  const template = readFileSync('deploy/settings.json.template', 'utf8');
  return template.replaceAll(
    /\{\{([\w.]+)\|json\}\}/g,
    (_whole, name: string) => {
      if (!(name in fields)) throw new Error(`The template uses ${name}`);
      return JSON.stringify(fields[name]);
    },
  );
}

/** `memory_mb` of a machine of the site kaplama-ist. */
const MEMORY_MEGABYTES = 350;

/** An entry host as a separate process. */
export class EntryProcess {
  /** Exit code or signal of the process; undefined while it runs. */
  ended: string | undefined;
  readonly lines: string[] = [];
  hasExceededMemory = false;
  private child: ChildProcess | undefined;
  private readonly folder = mkdtempSync(join(tmpdir(), 'limpetdale-review-'));

  constructor(
    readonly settings: PlatformSettings,
    private readonly record: (line: string) => void,
  ) {}

  /** Id of the process. */
  get pid(): number {
    return this.child?.pid ?? 0;
  }

  /** Starts the process; the platform renders its settings at every start. */
  start(isFirstStart: boolean): void {
    const file = join(this.folder, 'boot.json');
    writeFileSync(file, renderSettings({...this.settings, isFirstStart}));
    const [program = '', ...words] = entryCommand();
    const child = spawn(program, words, {
      env: {PATH: process.env['PATH'] ?? '', LIMPETDALE_BOOT: file},
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    this.child = child;
    this.ended = undefined;
    let rest = '';
    child.stdout.on('data', (bytes: Buffer) => {
      const parts = (rest + bytes.toString()).split('\n');
      rest = parts.pop() ?? '';
      this.lines.push(...parts);
    });
    child.stderr.on('data', (bytes: Buffer) => {
      const [line = ''] = bytes.toString().trim().split('\n');
      if (line !== '') this.record(`${this.settings.nodeName} writes: ${line}`);
    });
    child.once('exit', (code, signal) => {
      this.ended = signal ?? String(code);
      this.record(`${this.settings.nodeName} has ended: ${this.ended}`);
    });
    this.record(`${this.settings.nodeName} is started, pid ${this.pid}`);
  }

  /** Sends a signal. */
  signal(name: NodeJS.Signals): void {
    this.record(`${this.settings.nodeName} gets ${name}`);
    this.child?.kill(name);
  }

  /** Ends the process and removes its settings. */
  async end(): Promise<void> {
    const {child} = this;
    if (child !== undefined && this.ended === undefined) {
      const hasEnded = new Promise(resolve => child.once('exit', resolve));
      child.kill('SIGKILL');
      await hasEnded;
    }
    rmSync(this.folder, {recursive: true, force: true});
  }

  /**
   * Kills the process if it uses more memory than the platform allows, as the platform
   * does. Only its own (anonymous) memory is counted.
   */
  enforceMemoryLimit(): void {
    let status: string;
    try {
      status = readFileSync(`/proc/${this.pid}/status`, 'utf8');
    } catch {
      return;
    }
    const [, kilobytes = '0'] = /^RssAnon:\s*(\d+) kB/m.exec(status) ?? [];
    const megabytes = Math.round(Number(kilobytes) / 1024);
    const {nodeName} = this.settings;
    this.record(`${nodeName} uses ${megabytes} MB`);
    if (megabytes <= MEMORY_MEGABYTES || this.ended !== undefined) return;
    this.hasExceededMemory = true;
    this.record(`${nodeName} exceeds memory_mb, the platform kills it`);
    this.child?.kill('SIGKILL');
  }

  /** Whether the readiness check answers 200. */
  isReady(): Promise<boolean> {
    const {ip, ports} = this.settings;
    return new Promise(resolve => {
      const call = request(
        {
          host: ip,
          port: ports.readiness,
          path: '/limpetdale/readiness',
          agent: false,
          timeout: 500,
        },
        response => {
          response.resume();
          resolve(response.statusCode === 200);
        },
      );
      call.once('error', () => resolve(false));
      call.once('timeout', () => call.destroy());
      call.end();
    });
  }
}

/** Ports that are free on a loopback address. */
export async function freePortsOf(
  ip: string,
  count: number,
): Promise<number[]> {
  const servers = await Promise.all(
    Array.from(
      {length: count},
      () =>
        new Promise<ReturnType<typeof createServer>>((resolve, reject) => {
          const server = createServer();
          server.once('error', reject);
          server.listen(0, ip, () => resolve(server));
        }),
    ),
  );
  const ports = servers.map(server => {
    const address = server.address();
    return typeof address === 'object' && address !== null ? address.port : 0;
  });
  await Promise.all(
    servers.map(server => new Promise(resolve => server.close(resolve))),
  );
  return ports;
}

/**
 * A loopback address of its own for each host, as the metrics port is the same on
 * all hosts.
 */
export function hostAddress(index: number): string {
  return `127.${100 + (process.pid % 100)}.${Math.floor(process.pid / 100) % 250}.${10 + index}`;
}
