import {RUN_STATES, type RequestError} from '../errors/mod.ts';
import {
  type ModelEvent,
  RequestFailure,
  type RequestPathOptions,
} from '../requests/mod.ts';
import {ManualClock} from './manual_clock.ts';
import {MemoryTable} from './memory_table.ts';
import {
  chat,
  serviceCall,
  TestAuthority,
  TestHost,
  TestPeers,
} from './request_host.ts';
import {
  type ConnectionFault,
  SimulatedEngine,
  SimulatedService,
} from './simulated_endpoints.ts';

/** One step of a simulation. */
export type SimulationStep =
  | {
      readonly kind: 'request';
      readonly target: 'model' | 'get' | 'post';
      readonly host: number;
      readonly key: string | undefined;
      readonly body: number;
      /** Faults of the next connections. */
      readonly faults: readonly ConnectionFault[];
    }
  | {readonly kind: 'wait'; readonly milliseconds: number}
  | {readonly kind: 'table'; readonly state: 'up' | 'down' | 'losing'}
  | {readonly kind: 'leave'; readonly request: number}
  | {readonly kind: 'restart'; readonly host: number}
  | {readonly kind: 'withdraw'};

/** Faulty replacements of parts, with which the rules must be seen to fail. */
export type SimulationMutation = (
  options: RequestPathOptions,
) => Partial<RequestPathOptions>;

interface Issued {
  readonly requestId: string;
  readonly target: 'model' | 'get' | 'post';
  readonly key: string | undefined;
  readonly host: TestHost;
  readonly caller: AbortController;
  endings: number;
  error: RequestError | undefined;
  /** Parts of the answer that were delivered. */
  readonly parts: string[];
}

const HOST_COUNT = 2;
const SETTLE_MILLISECONDS = 30_000;

/**
 * Hosts, endpoints and a table in memory under a manual clock, and an oracle
 * that knows each run. The same steps give the same outcome.
 */
export class RequestSimulation {
  private readonly clock = new ManualClock();
  private readonly table = new MemoryTable();
  private readonly authority = new TestAuthority();
  private readonly peerLinks = new TestPeers();
  private readonly faults: ConnectionFault[] = [];
  private readonly engines = new Map<string, SimulatedEngine>();
  private readonly services = new Map<string, SimulatedService>();
  private readonly hosts: TestHost[] = [];
  private readonly dead = new Set<TestHost>();
  private readonly issued: Issued[] = [];
  private authorization = '';
  private commits = 0;
  private incarnations = 0;

  constructor(private readonly mutation: SimulationMutation = () => ({})) {
    const {authority, clock} = this;
    const network = {
      clock,
      nextFault: () => this.faults.shift() ?? {kind: 'none' as const},
    };
    authority.addPool('models', 'engine');
    authority.addPool('orders', 'service');
    authority.addModel('model-1', 'models');
    authority.addRoute('orders', 'orders', 5000);
    for (const number of [1, 2]) {
      const engine = `engine-${number}`;
      const service = `service-${number}`;
      authority.addEndpoint(engine, 'models', 'http://127.0.0.1:1');
      authority.addEndpoint(service, 'orders', 'http://127.0.0.1:1');
      this.engines.set(engine, new SimulatedEngine(engine, network));
      this.services.set(service, new SimulatedService(service, network));
    }
    this.authorization = authority.addTeam('workshop', ['model-1'], ['orders']);
    for (let host = 0; host < HOST_COUNT; host++) {
      this.hosts.push(this.createHost(host));
    }
  }

  /** Runs the steps, lets everything end, and repeats each keyed request. */
  async run(steps: readonly SimulationStep[]): Promise<void> {
    for (const step of steps) {
      this.take(step);
      const {milliseconds} = step.kind === 'wait' ? step : {milliseconds: 1};
      await this.clock.advanceAsync(milliseconds);
    }
    await this.settle();
    for (const step of steps) {
      if (step.kind !== 'request' || step.key === undefined) continue;
      for (let host = 0; host < HOST_COUNT; host++) {
        this.issue({...step, host, faults: []});
      }
    }
    await this.settle();
  }

  /** All rules that were broken, in words. */
  violations(): string[] {
    return [
      ...this.issued.flatMap(issued => this.violationsOf(issued)),
      ...this.keyViolations(),
      ...this.hosts
        .filter(host => host.path.activeRequests() > 0)
        .map(host => `${host.path.activeRequests()} requests are left open`),
    ];
  }

  /** Requests issued, and those that got a whole answer. */
  tally(): {issued: number; answered: number} {
    const answered = this.issued.filter(
      ({endings, error}) => endings === 1 && error === undefined,
    );
    return {issued: this.issued.length, answered: answered.length};
  }

  private async settle(): Promise<void> {
    this.table.down = false;
    this.table.losesAnswer = () => false;
    this.faults.length = 0;
    await this.clock.advanceAsync(SETTLE_MILLISECONDS);
  }

  private take(step: SimulationStep): void {
    switch (step.kind) {
      case 'request':
        this.issue(step);
        break;
      case 'wait':
        break;
      case 'table':
        this.table.down = step.state === 'down';
        this.table.losesAnswer = () =>
          step.state === 'losing' && this.commits++ % 2 === 0;
        break;
      case 'leave':
        this.issued[
          step.request % Math.max(1, this.issued.length)
        ]?.caller.abort();
        break;
      case 'restart':
        this.restart(step.host);
        break;
      case 'withdraw':
        this.withdrawKeys();
        break;
    }
  }

  private withdrawKeys(): void {
    for (const {keyId, withdrawn} of this.authority.current.keys.values()) {
      if (!withdrawn) this.authority.apply({kind: 'withdraw_key', keyId});
    }
    for (const host of this.hosts) host.path.checkOpenRequests();
    this.authorization = this.authority.addKey('workshop');
  }

  /** A host's process ends: nothing that it does has an effect any more. */
  private restart(index: number): void {
    const old = this.hosts[index]!;
    this.dead.add(old);
    this.hosts[index] = this.createHost(index);
  }

  private createHost(index: number): TestHost {
    const isDead = () => this.dead.has(host);
    const never = new Promise<never>(() => {});
    const host: TestHost = new TestHost({
      hostId: `host-${index}`,
      incarnation: String(this.incarnations++),
      shared: this.authority,
      memoryTable: this.table,
      peerLinks: this.peerLinks,
      engines: this.engines,
      clock: this.clock,
      random: () => 0,
      mutate: options => {
        const {writer} = options;
        const mutated = {
          writer,
          clients: {
            engine: endpoint => this.engines.get(endpoint.name)!.client,
            service: endpoint => this.services.get(endpoint.name)!.client,
          } satisfies RequestPathOptions['clients'],
        };
        Object.assign(mutated, this.mutation({...options, ...mutated}));
        return {
          ...mutated,
          writer: {
            write: (id, transaction) =>
              isDead() ? never : mutated.writer.write(id, transaction),
          },
          clients: {
            engine: endpoint => {
              const client = mutated.clients.engine(endpoint);
              return isDead() ? {...client, run: () => silence(never)} : client;
            },
            service: endpoint => {
              const client = mutated.clients.service(endpoint);
              return isDead() ? {...client, call: () => never} : client;
            },
          },
        };
      },
    });
    return host;
  }

  private issue(step: Extract<SimulationStep, {kind: 'request'}>): void {
    this.faults.push(...step.faults);
    const issued: Issued = {
      requestId: `r${this.issued.length}`,
      target: step.target,
      key: step.key && `${step.target}/${step.key}`,
      host: this.hosts[step.host]!,
      caller: new AbortController(),
      endings: 0,
      error: undefined,
      parts: [],
    };
    this.issued.push(issued);
    if (step.target === 'model') void this.runModel(issued);
    else void this.callService(issued, step.body);
  }

  private async runModel(issued: Issued): Promise<void> {
    const {requestId, key, caller} = issued;
    const request = chat(this.authorization, {
      requestId,
      // The engine's account of runs is kept by input.
      input: key ?? requestId,
      idempotencyKey: key,
      timeoutMilliseconds: 5000,
      signal: caller.signal,
    });
    for await (const event of issued.host.path.runModel(request)) {
      noteEvent(issued, event);
    }
  }

  private async callService(issued: Issued, body: number): Promise<void> {
    const {requestId, target, key, caller} = issued;
    const response = await issued.host.path.callService(
      serviceCall(this.authorization, {
        requestId,
        method: target.toUpperCase(),
        body: Buffer.from(String(body)),
        idempotencyKey: key,
        signal: caller.signal,
      }),
    );
    if (!response.ok) {
      issued.endings++;
      issued.error = response.error;
      return;
    }
    try {
      for await (const chunk of response.value.body) {
        issued.parts.push(Buffer.from(chunk).toString());
      }
    } catch (error) {
      if (!(error instanceof RequestFailure)) throw error;
      issued.error = error.error;
    }
    issued.endings++;
  }

  private violationsOf(issued: Issued): string[] {
    const {requestId, target, key, endings, error, parts} = issued;
    const name = `${target} ${requestId}`;
    const found: string[] = [];
    const isDead = this.dead.has(issued.host);
    if (isDead ? endings > 1 : endings !== 1) {
      found.push(`${name} has ${endings} endings`);
    }
    const runs = this.runsOf(
      key !== undefined && target === 'model' ? key : requestId,
    );
    if (target === 'post' && runs > 1) found.push(`${name} ran ${runs} times`);
    // Another request may have run under the same key of a model.
    const runsAreOwn = key === undefined || target !== 'model';
    if (runsAreOwn && error?.run === RUN_STATES.notRun && runs > 0) {
      found.push(`${name} says not_run and ran ${runs} times`);
    }
    const isWhole = endings === 1 && error === undefined;
    if (!isAnswer(target, parts, isWhole)) {
      found.push(`${name} was answered with ${JSON.stringify(parts)}`);
    }
    return found;
  }

  private keyViolations(): string[] {
    const found: string[] = [];
    const keyed = new Map<string, Issued[]>();
    for (const issued of this.issued) {
      if (issued.key === undefined || issued.target === 'get') continue;
      keyed.set(issued.key, [...(keyed.get(issued.key) ?? []), issued]);
    }
    for (const [key, requests] of keyed) {
      const ids = key.startsWith('model/')
        ? [key]
        : requests.map(({requestId}) => requestId);
      const runs = ids.reduce((sum, id) => sum + this.runsOf(id), 0);
      if (runs > 1) found.push(`The key ${key} ran ${runs} times`);
      const answers = requests
        .filter(({endings, error}) => endings === 1 && error === undefined)
        .map(({parts}) => parts.join(''));
      if (new Set(answers).size > 1) {
        found.push(`The key ${key} has answers ${answers.join(' and ')}`);
      }
    }
    return found;
  }

  private runsOf(id: string): number {
    return [...this.engines.values(), ...this.services.values()]
      .flatMap(({executed}) => executed)
      .filter(executed => executed === id).length;
  }
}

async function* silence(never: Promise<never>): AsyncGenerator<never> {
  yield await never;
}

function noteEvent(issued: Issued, event: ModelEvent): void {
  switch (event.kind) {
    case 'accepted':
      break;
    case 'token':
      issued.parts.push(event.text);
      break;
    case 'end':
      issued.endings++;
      break;
    case 'failed':
      issued.endings++;
      issued.error = event.error;
      break;
  }
}

/** Whether parts are the answer of one run, or its beginning. */
function isAnswer(
  target: Issued['target'],
  parts: readonly string[],
  isWhole: boolean,
): boolean {
  if (parts.length === 0) return !isWhole;
  const text = parts.join('');
  const expected =
    target === 'model'
      ? SimulatedEngine.tokensOf(text.split('/')[0]!).join('')
      : SimulatedService.partsOf(text.split(';')[0]!).join('');
  return isWhole ? text === expected : expected.startsWith(text);
}
