import {SeededRandom} from '../bench/_seeded_random.ts';
import {unreachable} from '../src/errors/mod.ts';
import {freePorts} from '../src/testing/free_ports.ts';
import {
  entrySettings,
  platformConfiguration,
} from '../src/testing/platform_deployment.ts';
import {PlatformEndpointStandIn} from '../src/testing/platform_endpoint_stand_in.ts';
import {
  PlatformStoreStandIn,
  type StoreBackup,
} from '../src/testing/platform_store_stand_in.ts';
import {
  type BuiltPrograms,
  ProgramProcess,
} from '../src/testing/program_process.ts';
import {BOUNDS, checkPromises, type Violation} from './check_promises.ts';
import {drawFaults, type PlannedFault} from './fault_plan.ts';
import {type CallableHost, SoakCaller} from './soak_caller.ts';
import type {Disruption, SentRequest} from './soak_records.ts';

/** Options of {@link SoakRun}. */
export interface SoakOptions {
  /** Any 32-bit number. */
  seed: number;
  /** Time with callers and faults. */
  seconds: number;
  hosts: number;
  programs: BuiltPrograms;
}

/** What a soak has shown. */
export interface SoakResult {
  readonly violations: readonly Violation[];
  readonly requests: number;
  readonly served: number;
  readonly refused: number;
  readonly unanswered: number;
  /** Streams that callers took up again, and those of them that went on. */
  readonly takenUp: number;
  readonly wentOn: number;
  readonly orders: number;
  readonly faults: number;
  /** Processes that ended by themselves, with their exit code or signal. */
  readonly ownEnds: readonly string[];
  /** Logs of all processes by host. */
  readonly logs: ReadonlyMap<string, string>;
}

interface SoakHost extends CallableHost {
  readonly settings: object;
  process: ProgramProcess | undefined;
  /** Output of earlier processes. */
  log: string;
}

interface SoakEndpoint {
  readonly id: string;
  readonly service: string;
  current: PlatformEndpointStandIn;
  /** Number of the next process. */
  starts: number;
}

const ENGINES = 2;
const PLAIN_ENDPOINTS = 2;
const SOFTWARE_VERSIONS = 2;
const CALLERS_PER_HOST = 3;
const MODELS = ['model-a', 'model-b', 'model-c'] as const;
const KEYS = {kept: 'key-kept', changed: 'key-changed'} as const;

/** Interval between two copies of the store. */
const BACKUP_MILLISECONDS = 250;

/** Copies that are kept. */
const BACKUPS = 40;

/** Interval between two looks at the delay of this process's own event loop. */
const WATCH_MILLISECONDS = 50;

const READY_TIMEOUT_MILLISECONDS = 60_000;

/** Time after a stop signal at which a process is killed. */
const GRACE_MILLISECONDS = 8000;

/** Real processes under faults from outside, drawn from a seed. */
export class SoakRun {
  private readonly random: SeededRandom;
  private readonly hosts: SoakHost[] = [];
  private readonly endpoints: SoakEndpoint[] = [];
  /** All processes of endpoints that were started, and their names. */
  private readonly names = new Map<PlatformEndpointStandIn, string>();
  private readonly requests: SentRequest[] = [];
  private readonly disruptions: Disruption[] = [];
  private readonly withdrawals = new Map<string, number>();
  private readonly backups: {at: number; backup: StoreBackup}[] = [];
  private readonly faults: Promise<void>[] = [];
  private store!: PlatformStoreStandIn;
  private keys: string[] = [KEYS.kept, `${KEYS.changed}-0`];
  private version = 1;
  private readonly ownEnds = new Set<ProgramProcess>();
  private isEnding = false;

  constructor(private readonly options: SoakOptions) {
    this.random = new SeededRandom(options.seed);
  }

  /** Runs the soak; all its processes have ended afterwards. */
  async run(): Promise<SoakResult> {
    try {
      await this.start();
      await this.disturb();
      return this.result();
    } finally {
      await this.end();
    }
  }

  /** Ends all processes, also if the soak has not ended yet. */
  async end(): Promise<void> {
    this.isEnding = true;
    for (const {process} of this.hosts) process?.signal('SIGCONT');
    for (const {process} of this.hosts) await process?.kill();
    for (const endpoint of this.names.keys()) await endpoint.stop();
    await this.store.stop();
  }

  private async start(): Promise<void> {
    this.store = await PlatformStoreStandIn.start();
    this.putConfiguration();
    for (let index = 0; index < ENGINES; index++)
      await this.addEndpoint(`endpoint-engine-${index}`, 'engines');
    for (let index = 0; index < PLAIN_ENDPOINTS; index++)
      await this.addEndpoint(`endpoint-plain-${index}`, 'plain');
    for (let index = 0; index < this.options.hosts; index++)
      await this.addHost(`host-${index}`);
    for (const host of this.hosts) this.startProcess(host);
    for (const host of this.hosts) await this.waitUntilReady(host);
  }

  private async addEndpoint(id: string, service: string): Promise<void> {
    const endpoint = {id, service, starts: 0};
    this.endpoints.push({
      ...endpoint,
      current: await this.startEndpoint(endpoint),
    });
  }

  private async startEndpoint({
    id,
    service,
    starts,
  }: Omit<SoakEndpoint, 'current'>): Promise<PlatformEndpointStandIn> {
    const models = service === 'engines' ? {models: [MODELS[0]]} : {};
    // One engine after the other changes its version, and some change it back.
    const softwareVersion = `v${1 + (starts % SOFTWARE_VERSIONS)}`;
    const endpoint = await PlatformEndpointStandIn.start(
      {
        ...{id, service, softwareVersion, eventsNameVersion: true},
        loadMilliseconds: 100,
        ...models,
      },
      this.store,
    );
    endpoint.runMilliseconds = 20;
    this.names.set(endpoint, `${id}/${starts}`);
    return endpoint;
  }

  private async addHost(name: string): Promise<void> {
    const [callers, readiness, directory, peers] = await freePorts(4);
    const ports = {
      callers: callers!,
      readiness: readiness!,
      directory: directory!,
      peers: peers!,
    };
    const settings = {
      ...entrySettings(name, this.store.address, ports),
      orderTurnMilliseconds: BOUNDS.lease,
      configurationMilliseconds: BOUNDS.configuration,
      graceSeconds: GRACE_MILLISECONDS / 1000,
      isFirstStart: false,
    };
    const callerPort = ports.callers;
    this.hosts.push({name, callerPort, settings, process: undefined, log: ''});
  }

  private startProcess(host: SoakHost): void {
    const {programs} = this.options;
    host.process = new ProgramProcess(programs, 'entry', host.settings);
  }

  private async waitUntilReady(host: SoakHost): Promise<void> {
    const until = performance.now() + READY_TIMEOUT_MILLISECONDS;
    while (host.process?.hasLogged('configurationApplied') !== true) {
      if (performance.now() > until || host.process?.ended !== undefined)
        throw new Error(`${host.name} is not ready:\n${host.process?.output}`);
      await sleep(20);
    }
  }

  /** Lets callers send requests while the faults happen. */
  private async disturb(): Promise<void> {
    const milliseconds = this.options.seconds * 1000;
    const plan = drawFaults({
      random: this.random,
      milliseconds,
      hosts: this.hosts.length,
      endpoints: this.endpoints.map(({service}) =>
        service === 'engines' ? 'engine' : 'plain',
      ),
    });
    const callers = Array.from(
      {length: this.hosts.length * CALLERS_PER_HOST},
      (_, index) =>
        new SoakCaller({
          index,
          random: new SeededRandom(this.options.seed + index + 1),
          hosts: this.hosts,
          key: () => this.random.pick(this.keysInUse()),
          models: MODELS,
          onEnded: request => this.requests.push(request),
        }),
    );
    const running = callers.map(caller => caller.run());
    const startedAt = performance.now();
    const backingUp = setInterval(() => this.backUp(), BACKUP_MILLISECONDS);
    const watching = this.watchOwnDelays();
    for (const fault of plan) {
      await sleep(startedAt + fault.at - performance.now());
      this.faults.push(this.apply(fault));
    }
    await sleep(startedAt + milliseconds - performance.now());
    clearInterval(backingUp);
    clearInterval(watching);
    await Promise.all(this.faults);
    for (const caller of callers) caller.stop();
    await Promise.all(running);
  }

  /** Records when the stand-ins of this process read late what has arrived. */
  private watchOwnDelays(): NodeJS.Timeout {
    let last = performance.now();
    return setInterval(() => {
      const now = performance.now();
      const from = last;
      last = now;
      if (now - from > 2 * WATCH_MILLISECONDS)
        this.disruptions.push({
          kind: 'late_reading',
          target: 'soak',
          from,
          to: now + WATCH_MILLISECONDS,
        });
    }, WATCH_MILLISECONDS);
  }

  /** Current keys, and the last one that was withdrawn. */
  private keysInUse(): readonly string[] {
    const withdrawn = [...this.withdrawals.keys()].at(-1);
    return withdrawn === undefined ? this.keys : [...this.keys, withdrawn];
  }

  private backUp(): void {
    const at = performance.now();
    this.backups.push({at, backup: this.store.backUp()});
    if (this.backups.length > BACKUPS) this.backups.shift();
  }

  private async apply(fault: PlannedFault): Promise<void> {
    switch (fault.subject) {
      case 'host':
        return this.disturbHost(fault);
      case 'store':
        return this.disturbStore(fault);
      case 'endpoint':
        return this.disturbEndpoint(fault);
      case 'keys':
        return this.replaceKey();
      case 'fleet':
        await Promise.all(
          this.hosts.map((_host, index) =>
            this.disturbHost({...fault, subject: 'host', kind: 'kill', index}),
          ),
        );
        return;
      default:
        return unreachable(fault);
    }
  }

  private begin(kind: string, target: string | undefined): Disruption {
    const from = performance.now();
    const disruption = {kind, target, from, to: Number.POSITIVE_INFINITY};
    this.disruptions.push(disruption);
    return disruption;
  }

  private async disturbHost({
    kind,
    index,
    forMilliseconds,
  }: Extract<PlannedFault, {subject: 'host'}>): Promise<void> {
    const host = this.hosts[index];
    const process = host?.process;
    if (host === undefined || process === undefined) return;
    if (process.ended !== undefined) this.ownEnds.add(process);
    const disruption = this.begin(kind, host.name);
    switch (kind) {
      case 'pause':
        process.signal('SIGSTOP');
        await sleep(forMilliseconds);
        process.signal('SIGCONT');
        break;
      case 'reload':
        // A signal ends a process in which Node.js runs no code yet (docs/platform.md).
        await process.until(() => process.listensToSignals);
        process.signal('SIGHUP');
        break;
      case 'kill':
        host.process = undefined;
        await process.kill();
        await this.restart(host, process, forMilliseconds);
        break;
      case 'stop':
        host.process = undefined;
        await this.stopAsPlanned(host, process);
        await this.restart(host, process, forMilliseconds);
        break;
      default:
        return unreachable(kind);
    }
    disruption.to = performance.now();
  }

  private async stopAsPlanned(
    host: SoakHost,
    process: ProgramProcess,
  ): Promise<void> {
    process.signal('SIGTERM');
    const hasEnded = process.until(() => false);
    const isLate = await Promise.race([
      hasEnded.then(() => false),
      sleep(GRACE_MILLISECONDS).then(() => true),
    ]);
    if (!isLate) return;
    const disruption = this.begin('kill', host.name);
    await process.kill();
    disruption.to = performance.now();
  }

  private async restart(
    host: SoakHost,
    former: ProgramProcess,
    afterMilliseconds: number,
  ): Promise<void> {
    host.log += former.output;
    await sleep(afterMilliseconds);
    if (this.isEnding) return;
    this.startProcess(host);
    const process = host.process;
    await process?.until(() => process.hasLogged('configurationApplied'));
  }

  private async disturbStore({
    kind,
    forMilliseconds,
    ageMilliseconds,
  }: Extract<PlannedFault, {subject: 'store'}>): Promise<void> {
    const disruption = this.begin(kind, undefined);
    switch (kind) {
      case 'history_lost':
        this.store.dropHistory();
        break;
      case 'restored':
        await this.restoreStore(forMilliseconds, ageMilliseconds);
        break;
      default:
        this.store.trouble = kind;
        await sleep(forMilliseconds);
        this.store.trouble = 'none';
    }
    disruption.to = performance.now();
  }

  private async restoreStore(
    awayMilliseconds: number,
    ageMilliseconds: number,
  ): Promise<void> {
    const now = performance.now();
    const copy = this.backups.findLast(({at}) => now - at >= ageMilliseconds);
    if (copy === undefined) return;
    this.store.trouble = 'reset';
    await sleep(awayMilliseconds);
    this.store.trouble = 'none';
    this.store.restore(copy.backup);
    // The operator and the endpoints write their rows again.
    this.putConfiguration();
    for (const {current} of this.endpoints) current.register();
  }

  private async disturbEndpoint({
    kind,
    index,
    forMilliseconds,
  }: Extract<PlannedFault, {subject: 'endpoint'}>): Promise<void> {
    const endpoint = this.endpoints[index];
    // Another fault may have ended the process; it is started again then.
    if (endpoint === undefined || endpoint.current.hasEnded) return;
    const disruption = this.begin(kind, endpoint.id);
    if (kind === 'restart') {
      const former = endpoint.current;
      await former.stop();
      await sleep(forMilliseconds);
      endpoint.starts++;
      endpoint.current = await this.startEndpoint(endpoint);
    } else {
      const {current} = endpoint;
      current.trouble = kind;
      await sleep(forMilliseconds);
      current.trouble = 'none';
    }
    disruption.to = performance.now();
  }

  private replaceKey(): Promise<void> {
    const withdrawn = this.keys.pop();
    this.version++;
    this.keys.push(`${KEYS.changed}-${this.version}`);
    this.putConfiguration();
    if (withdrawn !== undefined)
      this.withdrawals.set(withdrawn, performance.now());
    return Promise.resolve();
  }

  private putConfiguration(): void {
    const {version, keys} = this;
    const models = [...MODELS];
    const content = platformConfiguration({version, keys, models});
    this.store.put('op', 'config', content);
  }

  private result(): SoakResult {
    const endpoints = [...this.names.keys()];
    const runs = new Map<string, number>();
    for (const {headers} of endpoints.flatMap(({ran}) => ran)) {
      const id = String(headers['request-id']);
      runs.set(id, (runs.get(id) ?? 0) + 1);
    }
    const orders = endpoints.flatMap(endpoint =>
      endpoint.orderArrivals.map(order => ({
        ...order,
        engine: this.names.get(endpoint) ?? '',
      })),
    );
    const {requests, disruptions, withdrawals} = this;
    for (const {process} of this.hosts)
      if (process?.ended !== undefined) this.ownEnds.add(process);
    const count = (isMet: (request: SentRequest) => boolean) =>
      requests.filter(isMet).length;
    return {
      violations: checkPromises({
        ...{requests, runs, orders, disruptions, withdrawals},
      }),
      requests: requests.length,
      served: count(({status}) => status !== undefined && status < 300),
      refused: count(({status}) => status !== undefined && status >= 400),
      unanswered: count(({status}) => status === undefined),
      takenUp: count(({resumes}) => resumes !== undefined),
      wentOn: count(
        ({resumes, body}) => resumes !== undefined && body.includes('id: '),
      ),
      orders: orders.length,
      faults: disruptions.length,
      ownEnds: [...this.ownEnds].map(({ended}) => String(ended)),
      logs: new Map(
        this.hosts.map(({name, log, process}) => [
          name,
          log + (process?.output ?? ''),
        ]),
      ),
    };
  }
}

function sleep(milliseconds: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, Math.max(0, milliseconds)));
}
