import {unreachable} from '../errors/mod.ts';
import type {Endpoint} from '../fleet/mod.ts';
import type {EventLogger, EventName, Metrics} from '../observability/mod.ts';
import type {PeerMessageOf} from '../peers/mod.ts';
import {type Clock, sleep} from '../time/mod.ts';
import {ChangeWaiters} from './_change_waiters.ts';
import {blockedRefusal, heldRefusal} from './_prompt_part_refusal.ts';
import {
  blamedFor,
  blockMilliseconds,
  type Examination,
  PromptPartTable,
  type PromptPartTrial,
} from './_prompt_part_table.ts';
import type {RoutedRequest} from './endpoint_source.ts';
import type {
  PromptPartGuard,
  PromptPartRun,
  PromptPartTurn,
  RunCandidate,
} from './prompt_part_guard.ts';

/** A change of what is known about prompt parts, as sent to other hosts. */
export type PromptPartChange = PeerMessageOf<'prompt_part'>['change'];

/** Options of {@link PromptPartQuarantine}. */
export interface PromptPartQuarantineOptions {
  hostId: string;
  clock: Clock;
  logger: EventLogger;
  metrics: Metrics;
  /** Whether the process has ended without having announced it. */
  hasCrashed: (endpoint: Endpoint) => Promise<boolean>;
  /** Tells the other hosts about a change. */
  announce: (service: string, change: PromptPartChange) => void;
}

/** A part that is blocked or suspected, for operators. */
export interface PromptPartReport {
  readonly service: string;
  readonly part: string;
  readonly crashes: readonly string[];
  readonly hasRun: boolean;
  readonly blockedForMilliseconds: number;
}

/**
 * Time for which a trial is announced before it starts, so that two hosts that
 * announce one at the same time notice each other.
 */
const ANNOUNCEMENT_MILLISECONDS = 20;

/** Time after which a trial counts as lost, for example because its host stopped. */
const TRIAL_LIFETIME_MILLISECONDS = 4000;

const EVENTS_METRIC = 'limpetdale_prompt_part_events_total';

/**
 * Attributes crashes of endpoints to parts of prompts, on all hosts.
 *
 * The last part of a prompt belongs to one session and is not considered. A part
 * is suspected if an endpoint crashed before a request with the part had begun,
 * and no request with it has begun since. A suspected part runs in one trial at a
 * time; its first event clears the part, another crash blocks it. After a block,
 * one trial is allowed again.
 */
export class PromptPartQuarantine implements PromptPartGuard {
  private readonly table = new PromptPartTable();
  private readonly waiters: ChangeWaiters;

  constructor(private readonly options: PromptPartQuarantineOptions) {
    this.waiters = new ChangeWaiters(options.clock);
  }

  async waitForTurn(
    request: RoutedRequest,
    holdUntil: number,
    signal: AbortSignal,
  ): Promise<PromptPartTurn> {
    for (;;) {
      const {blocked, suspects, isTested} = this.examine(request);
      if (blocked !== undefined) {
        this.count('refused_blocked');
        return blockedRefusal(blocked, this.now());
      }
      if (suspects.length === 0) return {kind: 'unrestricted'};
      const left = holdUntil - this.now();
      if (left <= 0 || signal.aborted) {
        this.count('refused_held');
        return heldRefusal(suspects);
      }
      if (!isTested) return {kind: 'trial'};
      await this.waiters.wait(left, signal);
    }
  }

  /** What {@link waitForTurn} would do now; `held` while another run tests a part. */
  preview(request: RoutedRequest): PromptPartTurn | {readonly kind: 'held'} {
    const {blocked, suspects, isTested} = this.examine(request);
    if (blocked !== undefined) return blockedRefusal(blocked, this.now());
    if (suspects.length === 0) return {kind: 'unrestricted'};
    return {kind: isTested ? 'held' : 'trial'};
  }

  async begin(
    {request, endpoint, holdUntil}: RunCandidate,
    signal: AbortSignal,
  ): Promise<PromptPartRun | undefined> {
    const {blocked, suspects, isTested} = this.examine(request);
    if (blocked !== undefined || isTested) return undefined;
    if (suspects.length === 0) return this.createRun(request, endpoint);
    if (this.table.hasTrialOn(endpoint.incarnation, this.now())) {
      await this.waiters.wait(holdUntil - this.now(), signal);
      return undefined;
    }
    const service = request.service.name;
    const parts = suspects.map(({part}) => part);
    const trial: PromptPartTrial = {
      host: this.options.hostId,
      endpoint: endpoint.incarnation,
      lapsesAt: this.now() + TRIAL_LIFETIME_MILLISECONDS,
    };
    for (const entry of suspects) entry.trial = trial;
    this.announceTrial(service, parts, trial);
    await sleep(this.options.clock, ANNOUNCEMENT_MILLISECONDS);
    const current = this.examine(request);
    const mayStart =
      !signal.aborted &&
      current.blocked === undefined &&
      current.suspects.every(entry => entry.trial === trial);
    if (!mayStart) {
      this.endTrial(service, trial);
      return undefined;
    }
    if (current.suspects.length > 0)
      this.log('promptPartTrialStarted', service, parts, {
        endpoint: endpoint.record.id,
        requestId: request.metadata.requestId,
      });
    return this.createRun(request, endpoint, trial);
  }

  /** Applies a change that another host announced. */
  receive(service: string, change: PromptPartChange): void {
    const now = this.now();
    switch (change.kind) {
      case 'crashed':
        this.receiveCrash(service, change);
        break;
      case 'cleared':
        for (const part of change.parts) this.table.forget(service, part);
        break;
      case 'known':
        for (const part of change.parts) {
          const entry = this.table.find(service, part, now);
          if (entry !== undefined) entry.hasRun = true;
        }
        break;
      case 'trial_started':
        this.receiveTrial(service, change);
        break;
      case 'trial_ended':
        for (const part of change.parts) {
          const entry = this.table.find(service, part, now);
          if (entry?.trial?.host === change.host) entry.trial = undefined;
        }
        break;
      case 'blocked':
        this.table.block(service, change.parts, change, now);
        break;
      default:
        return unreachable(change);
    }
    this.waiters.wake();
  }

  /** Changes that bring a host without any knowledge up to date. */
  currentChanges(): {service: string; change: PromptPartChange}[] {
    const now = this.now();
    return this.table.entries(now).flatMap(entry => {
      const {service, part, hasRun} = entry;
      const parts = [{part, hasRun}];
      const changes: PromptPartChange[] = [...entry.crashes].map(
        incarnation => ({kind: 'crashed', incarnation, parts}),
      );
      if (entry.blockCount > 0) {
        changes.push({
          kind: 'blocked',
          parts: [...entry.group],
          count: entry.blockCount,
          milliseconds: Math.max(0, entry.blockedUntil - now),
        });
      }
      return changes.map(change => ({service, change}));
    });
  }

  /** Suspected and blocked parts. */
  report(): PromptPartReport[] {
    const now = this.now();
    return this.table
      .entries(now)
      .map(({service, part, crashes, hasRun, blockedUntil}) => ({
        service,
        part,
        crashes: [...crashes],
        hasRun,
        blockedForMilliseconds: Math.max(0, blockedUntil - now),
      }));
  }

  /** Lifts the suspicion or the block of a part on all hosts. */
  release(service: string, part: string): boolean {
    const wasKnown = this.table.forget(service, part);
    this.options.announce(service, {kind: 'cleared', parts: [part]});
    this.log('promptPartReleased', service, [part]);
    this.waiters.wake();
    return wasKnown;
  }

  private createRun(
    request: RoutedRequest,
    endpoint: Endpoint,
    trial?: PromptPartTrial,
  ): PromptPartRun {
    const service = request.service.name;
    const parts = sharedParts(request);
    return {
      recordBegun: () => this.recordBegun(service, parts),
      recordBroken: async () => {
        if (parts.length === 0) return;
        // A crash beside a trial is put down to the tested parts alone.
        const isBesideTrial =
          trial === undefined &&
          this.table.hasTrialOn(endpoint.incarnation, this.now());
        if (!(await this.options.hasCrashed(endpoint)) || isBesideTrial) return;
        this.recordCrash(service, parts, endpoint);
        if (trial !== undefined) this.blockTested(service, trial);
      },
      end: () => {
        if (trial !== undefined) this.endTrial(service, trial);
      },
    };
  }

  private recordBegun(service: string, parts: readonly string[]): void {
    const cleared = parts.filter(part =>
      this.table.recordSuccess(service, part),
    );
    if (cleared.length === 0) return;
    this.options.announce(service, {kind: 'cleared', parts: cleared});
    this.log('promptPartCleared', service, cleared);
    this.waiters.wake();
  }

  private recordCrash(
    service: string,
    parts: readonly string[],
    endpoint: Endpoint,
  ): void {
    const {incarnation} = endpoint;
    const now = this.now();
    const crashed = parts.map(part => ({
      part,
      hasRun: this.table.hasSucceeded(service, part),
    }));
    const suspected = crashed.filter(({part, hasRun}) =>
      this.table.recordCrash(service, part, {incarnation, hasRun}, now),
    );
    this.options.announce(service, {
      kind: 'crashed',
      incarnation,
      parts: crashed,
    });
    if (suspected.length === 0) return;
    this.log(
      'promptPartSuspected',
      service,
      suspected.map(({part}) => part),
      {endpoint: endpoint.record.id},
    );
    this.waiters.wake();
  }

  private blockTested(service: string, trial: PromptPartTrial): void {
    const now = this.now();
    const tested = this.table
      .entries(now)
      .filter(entry => entry.trial === trial && entry.crashes.size > 1);
    if (tested.length === 0) return;
    const blamed = blamedFor(tested);
    const parts = blamed.map(({part}) => part);
    const count = 1 + Math.max(...blamed.map(({blockCount}) => blockCount));
    const block = {count, milliseconds: blockMilliseconds(count)};
    this.table.block(service, parts, block, now);
    this.options.announce(service, {kind: 'blocked', parts, ...block});
    this.log('promptPartBlocked', service, parts, {
      endpoint: trial.endpoint,
      milliseconds: block.milliseconds,
    });
    this.waiters.wake();
  }

  private receiveCrash(
    service: string,
    {incarnation, parts}: Extract<PromptPartChange, {kind: 'crashed'}>,
  ): void {
    const now = this.now();
    for (const {part, hasRun} of parts)
      this.table.recordCrash(service, part, {incarnation, hasRun}, now);
    const known = parts
      .filter(
        ({part, hasRun}) => !hasRun && this.table.hasSucceeded(service, part),
      )
      .map(({part}) => part);
    if (known.length > 0)
      this.options.announce(service, {kind: 'known', parts: known});
  }

  private receiveTrial(
    service: string,
    change: Extract<PromptPartChange, {kind: 'trial_started'}>,
  ): void {
    const now = this.now();
    const trial: PromptPartTrial = {
      host: change.host,
      endpoint: change.incarnation,
      lapsesAt: now + TRIAL_LIFETIME_MILLISECONDS,
    };
    for (const part of change.parts) {
      const entry = this.table.find(service, part, now);
      if (entry === undefined) continue;
      const isOwn = entry.trial?.host === this.options.hostId;
      // Of two hosts that announce a trial at once, the one with the larger id
      // gives way.
      if (isOwn && this.options.hostId < change.host) continue;
      entry.trial = trial;
    }
  }

  private examine(request: RoutedRequest): Examination {
    const service = request.service.name;
    return this.table.examine(service, sharedParts(request), this.now());
  }

  private announceTrial(
    service: string,
    parts: readonly string[],
    {host, endpoint}: PromptPartTrial,
  ): void {
    this.options.announce(service, {
      kind: 'trial_started',
      host,
      incarnation: endpoint,
      parts: [...parts],
    });
  }

  private endTrial(service: string, trial: PromptPartTrial): void {
    const ended = this.table
      .entries(this.now())
      .filter(entry => entry.trial === trial);
    if (ended.length === 0) return;
    for (const entry of ended) entry.trial = undefined;
    this.options.announce(service, {
      kind: 'trial_ended',
      host: trial.host,
      parts: ended.map(({part}) => part),
    });
    this.waiters.wake();
  }

  private log(
    event: EventName,
    service: string,
    parts: readonly string[],
    fields: Readonly<Record<string, unknown>> = {},
  ): void {
    this.count(event);
    this.options.logger.event(event, {service, parts, ...fields});
  }

  private count(event: string): void {
    this.options.metrics.increment(EVENTS_METRIC, {event});
  }

  private now(): number {
    return this.options.clock.monotonicMilliseconds();
  }
}

/** Ids of the parts that other requests may have as well. */
function sharedParts(request: RoutedRequest): string[] {
  return request.metadata.promptParts.slice(0, -1).map(({id}) => id);
}
