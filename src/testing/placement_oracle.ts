import type {AcquiredReplica} from '../routing/mod.ts';
import {replicaLimit} from '../placement/mod.ts';
import type {PlacementFleet} from './placement_fleet.ts';

/** Time for which an order may wait in a socket's buffer. */
const BUFFER_MILLISECONDS = 1900;

const STEP_MILLISECONDS = 20;

interface Waiting {
  readonly target: string;
  readonly deadlineAt: number;
}

interface Held {
  readonly hostId: string;
  readonly target: string;
  readonly endpoint: string;
  readonly hold: AcquiredReplica;
}

/**
 * Drives a {@link PlacementFleet} and checks its rules after each step:
 * replicas on engines do not exceed the decided number, memory is not
 * overcommitted, waiting requests end by their deadlines, no ledger counts an
 * order twice and no unload cuts a request.
 */
export class PlacementOracle {
  /** Requests that were served and refused. */
  readonly counts = {served: 0, refused: 0};
  private readonly waiting = new Set<Waiting>();
  private held: Held[] = [];
  private readonly violations: string[] = [];

  constructor(private readonly fleet: PlacementFleet) {
    for (const engine of fleet.engines.values()) {
      engine.onUnload = name => this.checkUnload(engine.name, name);
    }
  }

  /** Sends a request to a host; a served one is held until released. */
  request(hostId: string, target: string, milliseconds: number): void {
    if (!this.fleet.hosts.has(hostId)) return;
    const deadlineAt = this.fleet.clock.monotonicMilliseconds() + milliseconds;
    const waiting = {target, deadlineAt};
    this.waiting.add(waiting);
    void this.fleet.acquire(hostId, target, milliseconds).then(result => {
      this.waiting.delete(waiting);
      if (!result.ok) {
        this.counts.refused++;
        if (result.error.run !== 'not_run') {
          this.violations.push(`Refusal of "${target}" is not not_run`);
        }
        return;
      }
      this.counts.served++;
      const hold = result.value;
      const endpoint = hold.endpoint.name;
      this.held.push({hostId, target, endpoint, hold});
    });
  }

  /** Ends the use of the replicas that were acquired first. */
  release(count: number): void {
    for (const {hold} of this.held.splice(0, count)) hold.release();
  }

  /** Forgets the requests of a host that died. */
  hostDied(hostId: string): void {
    this.held = this.held.filter(held => held.hostId !== hostId);
    this.waiting.clear();
  }

  /** Forgets the requests that an engine's death cut. */
  engineDied(endpoint: string): void {
    for (const {hold} of this.held.filter(held => held.endpoint === endpoint)) {
      hold.release();
    }
    this.held = this.held.filter(held => held.endpoint !== endpoint);
  }

  /** Advances time and checks all rules on the way. */
  async advance(milliseconds: number): Promise<void> {
    for (let spent = 0; spent < milliseconds; spent += STEP_MILLISECONDS) {
      await this.fleet.clock.advanceAsync(STEP_MILLISECONDS);
      for (const engine of this.fleet.engines.values()) {
        // Engines without fencing rely on this bound.
        engine.deliverHeld(BUFFER_MILLISECONDS);
      }
      this.check();
    }
  }

  /**
   * Checks all rules now.
   *
   * @throws {Error} When a rule is broken.
   */
  check(): void {
    this.checkReplicas();
    this.checkMemory();
    this.checkDeadlines();
    this.checkLedgers();
    const [first] = this.violations;
    if (first !== undefined) throw new Error(first);
  }

  private checkReplicas(): void {
    const {authority, clock} = this.fleet;
    const targets = [...authority.models.keys(), ...authority.adapters.keys()];
    for (const target of targets) {
      const engines = this.fleet.enginesOf(target);
      const decided = replicaLimit(authority, target, clock.now());
      if (engines.length <= decided) continue;
      const where = engines.join(', ');
      this.violations.push(`"${target}" is on ${where}, decided: ${decided}`);
    }
  }

  private checkMemory(): void {
    for (const engine of this.fleet.engines.values()) {
      const {name, usedMegabytes, capacityMegabytes} = engine;
      if (usedMegabytes <= capacityMegabytes) continue;
      const numbers = `${usedMegabytes} of ${capacityMegabytes} MB`;
      this.violations.push(`"${name}" is overcommitted: ${numbers}`);
    }
  }

  private checkDeadlines(): void {
    const now = this.fleet.clock.monotonicMilliseconds();
    for (const {target, deadlineAt} of this.waiting) {
      // Deadlines within a pause of the host's process are met after it.
      if (now <= deadlineAt + STEP_MILLISECONDS || this.anyPaused()) continue;
      this.violations.push(`A request for "${target}" passed its deadline`);
    }
  }

  private checkLedgers(): void {
    for (const {holders, leases} of this.fleet.hosts.values()) {
      if (leases.acting === undefined) continue;
      for (const endpoint of this.fleet.engines.keys()) {
        const view = holders.explainEndpoint(endpoint);
        const replicas = (view?.['replicas'] ?? []) as {orderId: string}[];
        const ids = new Set(replicas.map(replica => replica.orderId));
        if (ids.size === replicas.length) continue;
        this.violations.push(`The ledger of "${endpoint}" counts twice`);
      }
    }
  }

  private checkUnload(endpoint: string, target: string): void {
    const cut = this.held.some(held => {
      return held.endpoint === endpoint && held.target === target;
    });
    if (!cut) return;
    this.violations.push(`An unload of "${target}" cut a request`);
  }

  private anyPaused(): boolean {
    return [...this.fleet.hosts.values()].some(({clock}) => !clock.isRunning);
  }
}
