import type {Authority, Endpoint} from '../contracts/mod.ts';

/** Options of {@link ServiceBalancer}. */
export interface ServiceBalancerOptions {
  authority: () => Authority;
  /** Whether an endpoint may receive new calls. */
  isUsable: (endpoint: Endpoint) => boolean;
  /** Returns a number in [0, 1). */
  random: () => number;
}

/** An endpoint acquired for one call. */
export interface AcquiredEndpoint {
  readonly endpoint: Endpoint;
  /** Releases the endpoint. Only the first call takes effect. */
  release(): void;
}

/** Constraints on the endpoint of a call. */
export interface EndpointConstraints {
  readonly pool: string;
  /** Names of endpoints that must not be chosen. */
  readonly excluded: ReadonlySet<string>;
  /** Whether no other call of this host may use the endpoint meanwhile. */
  readonly alone: boolean;
}

/** Least-connections load balancer for plain services. */
export class ServiceBalancer {
  private readonly openCalls = new Map<string, number>();
  private readonly reserved = new Set<string>();

  constructor(private readonly options: ServiceBalancerOptions) {}

  /** Acquires an endpoint; undefined if none is available now. */
  acquire(constraints: EndpointConstraints): AcquiredEndpoint | undefined {
    const candidates = this.candidates(constraints);
    const fewest = Math.min(...candidates.map(({name}) => this.count(name)));
    if (constraints.alone && fewest > 0) return undefined;
    const best = candidates.filter(({name}) => this.count(name) === fewest);
    const index = Math.floor(this.options.random() * best.length);
    const endpoint = best[index];
    if (endpoint === undefined) return undefined;
    return this.createAcquired(endpoint, constraints.alone);
  }

  /** Whether any endpoint of the pool is usable, even if it is reserved or in use now. */
  hasEndpoint(constraints: EndpointConstraints): boolean {
    return this.usable(constraints).length > 0;
  }

  private candidates(constraints: EndpointConstraints): Endpoint[] {
    return this.usable(constraints).filter(
      ({name}) => !this.reserved.has(name),
    );
  }

  private usable(constraints: EndpointConstraints): Endpoint[] {
    return [...this.options.authority().endpoints.values()].filter(
      endpoint =>
        endpoint.pool === constraints.pool &&
        !endpoint.leaving &&
        !constraints.excluded.has(endpoint.name) &&
        this.options.isUsable(endpoint),
    );
  }

  private createAcquired(endpoint: Endpoint, alone: boolean): AcquiredEndpoint {
    const {name} = endpoint;
    this.openCalls.set(name, this.count(name) + 1);
    if (alone) this.reserved.add(name);
    let released = false;
    return {
      endpoint,
      release: () => {
        if (released) return;
        released = true;
        const left = this.count(name) - 1;
        if (left > 0) this.openCalls.set(name, left);
        else this.openCalls.delete(name);
        if (alone) this.reserved.delete(name);
      },
    };
  }

  private count(name: string): number {
    return this.openCalls.get(name) ?? 0;
  }
}
