/**
 * Starts hosts with the command, the template and the environment of the deploy file,
 * and writes the record of a case.
 */
import {spawn} from 'node:child_process';
import {
  appendFileSync,
  closeSync,
  mkdtempSync,
  openSync,
  readFileSync,
  rmSync,
  writeFileSync,
} from 'node:fs';
import {get} from 'node:http';
import {createServer} from 'node:net';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {performance} from 'node:perf_hooks';
import process from 'node:process';
import {setTimeout} from 'node:timers';
import {fileURLToPath} from 'node:url';

const ROOT = fileURLToPath(new globalThis.URL('../..', import.meta.url));

/** What the sheets and site files say of the settings of two deployments. */
export const SITES = {
  kaplama: {
    contracts:
      'base,drain,config,cost,retry,recover,fleet,stream,engine,tenants,quota,platform',
    limits: {cpu_share: 0.675, cpu_cores: 1, memory_mb: 350, link_mbps: 1000},
    bounds: {
      drain_ms: 2000,
      grace_period_s: 8,
      config_apply_ms: 2000,
      retry_budget_ratio: 0.2,
      budget_window_s: 10,
      retry_budget_slack: 56,
      lease_ms: 3000,
    },
  },
  harborline: {
    contracts:
      'base,drain,config,cost,retry,recover,health,pool,fleet,stream,engine,tenants,quota,platform',
    limits: {cpu_share: 0.783, cpu_cores: 1, memory_mb: 477, link_mbps: 140},
    bounds: {
      drain_ms: 3000,
      grace_period_s: 8,
      config_apply_ms: 3000,
      retry_budget_ratio: 0.2,
      budget_window_s: 10,
      retry_budget_slack: 190,
      lease_ms: 3000,
    },
  },
};

export const sleep = milliseconds =>
  new Promise(resolve => setTimeout(resolve, milliseconds));

/** Milliseconds since the start of the script. */
export const now = () => Math.round(performance.now() * 10) / 10;

/** Waits until a condition holds. */
export async function until(condition, timeoutMilliseconds, what) {
  const deadline = performance.now() + timeoutMilliseconds;
  for (;;) {
    const value = await condition();
    if (value) return value;
    if (performance.now() >= deadline) throw new Error(`no ${what} in time`);
    await sleep(20);
  }
}

/** Returns a free port of a loopback address. */
export function freePort(host) {
  return new Promise(resolve => {
    const server = createServer().listen(0, host, () => {
      const {port} = server.address();
      server.close(() => resolve(port));
    });
  });
}

/** Lines of `record.txt`, with the time in milliseconds since the start. */
export class Record {
  constructor(file) {
    this.file = file;
    writeFileSync(file, '');
  }

  add(line) {
    appendFileSync(this.file, `${now().toFixed(1).padStart(9)}  ${line}\n`);
  }
}

export class Deployment {
  constructor(record, site) {
    this.record = record;
    this.site = site;
    this.folder = mkdtempSync(join(tmpdir(), 'limpetdale-review-'));
    this.children = new Set();
    this.hosts = new Map();
  }

  /** Chooses the addresses of a host; the last number of its IP address is `number`. */
  async addHost(name, number, options = {}) {
    const ip = `127.0.77.${number}`;
    const host = {
      name,
      ip,
      zone: options.zone ?? 'ist-a',
      callers: `${ip}:${await freePort(ip)}`,
      ready: `${ip}:${await freePort(ip)}`,
      directory: `${ip}:${await freePort(ip)}`,
      peerPort: await freePort(ip),
      settings: join(this.folder, `${name}.json`),
      log: join(this.folder, `${name}.log`),
      isFirstStart: true,
      process: undefined,
    };
    this.hosts.set(name, host);
    return host;
  }

  /** Starts the process of a host. */
  startHost(host, store) {
    const template = readFileSync(
      join(ROOT, 'deploy/settings.json.template'),
      'utf8',
    );
    const fields = {
      node_name: host.name,
      zone: host.zone,
      ip_address: host.ip,
      listen_addresses: {
        frontend: host.callers,
        ready: host.ready,
        directory_service: host.directory,
      },
      internal_port_range: [host.peerPort, host.peerPort],
      initial_bootstrap: host.isFirstStart,
      platform: {address: store.address},
      bounds: this.site.bounds,
      limits: this.site.limits,
    };
    const settings = template.replace(
      /\{\{([a-z_.0-9]+)\|json\}\}/g,
      (_all, path) =>
        JSON.stringify(
          path.split('.').reduce((value, key) => value[key], fields),
        ),
    );
    writeFileSync(host.settings, settings);
    const log = openSync(host.log, 'a');
    const child = spawn(
      'node',
      ['--max-old-space-size=180', 'target/limpetdale.mjs'],
      {
        cwd: ROOT,
        stdio: ['ignore', log, log],
        env: {
          PATH: process.env.PATH,
          HOME: process.env.HOME,
          LIMPETDALE_BOOT: host.settings,
          LIMPETDALE_MEMORY_MB: String(this.site.limits.memory_mb),
          LIMPETDALE_AGREEMENTS: this.site.contracts,
          LIMPETDALE_COLD_OVERRUN: '',
          LIMPETDALE_COLD_SLACK: '',
        },
      },
    );
    closeSync(log);
    host.process = child;
    host.isFirstStart = false;
    this.children.add(child);
    this.record.add(`${host.name}: process ${child.pid} started`);
    child.once('exit', (code, signal) => {
      this.children.delete(child);
      if (host.process === child) host.process = undefined;
      this.record.add(`${host.name}: process ended (${signal ?? code})`);
    });
  }

  /** Waits until a host answers its readiness check with 200. */
  async ready(host) {
    await until(() => isReady(host.ready), 45_000, `readiness of ${host.name}`);
    this.record.add(`${host.name}: ready`);
  }

  signal(host, name) {
    this.record.add(`${host.name}: ${name} sent`);
    host.process?.kill(name);
  }

  /** Ends all processes and removes the temporary folder. */
  async end() {
    for (const child of this.children) child.kill('SIGKILL');
    await until(() => this.children.size === 0, 5000, 'end of the processes');
    if (process.env.KEEP_LOGS !== '1')
      rmSync(this.folder, {recursive: true, force: true});
  }
}

function isReady(address) {
  return new Promise(resolve => {
    const request = get(
      `http://${address}/limpetdale/readiness`,
      {agent: false, timeout: 500},
      response => {
        response.resume();
        resolve(response.statusCode === 200);
      },
    );
    request.on('timeout', () => request.destroy());
    request.on('error', () => resolve(false));
  });
}

/**
 * Runs a case and ends with its result: 1 if the rule was broken, 0 if it held, 2 if
 * the case could not run.
 *
 * @param file Path of the record.
 * @param site One of {@link SITES}.
 * @param run Returns the sentence that says how the rule was broken, if it was.
 */
export async function runCase(file, site, run) {
  const record = new Record(file);
  const deployment = new Deployment(record, site);
  let code;
  try {
    const broken = await run(deployment, record);
    record.add(broken === undefined ? 'the rule held' : `BROKEN: ${broken}`);
    process.stdout.write(`${broken ?? 'the rule held'}\n`);
    code = broken === undefined ? 0 : 1;
  } catch (error) {
    record.add(`could not run: ${error.stack}`);
    process.stderr.write(`${error.stack}\n`);
    code = 2;
  }
  await deployment.end();
  process.exit(code);
}
