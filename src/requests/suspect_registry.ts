import {randomUUID} from 'node:crypto';
import type {Authority, ChangeLog, QuarantineEntry} from '../contracts/mod.ts';
import type {EventLogger} from '../observability/mod.ts';
import type {PeerChannel} from '../peers/mod.ts';
import type {Clock} from '../time/mod.ts';

/** Identity of a request in the registry. */
export interface FingerprintedRequest {
  readonly fingerprint: string;
  readonly team: string;
  /** Model, or service with method and path. */
  readonly route: string;
}

/** How a request may run. */
export type QuarantineStatus = 'clear' | 'suspect' | 'quarantined';

/** Options of {@link SuspectRegistry}. */
export interface SuspectRegistryOptions {
  hostId: string;
  clock: Clock;
  logger: EventLogger;
  authority: () => Authority;
  changes: Pick<ChangeLog, 'submit'>;
  peers: Pick<PeerChannel, 'broadcast' | 'onMessage'>;
  /** Returns a number in [0, 1). */
  random: () => number;
  /** Milliseconds until an entry expires. */
  retentionMilliseconds: number;
}

interface Suspect {
  readonly request: FingerprintedRequest;
  /** Endpoint and incarnation of each crash. */
  readonly crashes: Set<string>;
  /** Whether one of the crashes happened while the request ran alone. */
  hasCrashedAlone: boolean;
  /** Monotonic time. */
  expiresAt: number;
  /** Whether this host writes the entry to the table. */
  isOwn: boolean;
  /** Last submitted state. */
  submitted: QuarantineEntry['state'] | undefined;
  /** Whether the entry has appeared in the authority. */
  seenInAuthority: boolean;
}

/** Number of crashes, one of them alone, that quarantines a request. */
const QUARANTINE_CRASHES = 2;

/**
 * Most suspects did not cause the crash and are cleared by their next run within
 * this delay; only the others need a change of the authority.
 */
const SUBMIT_DELAY_MILLISECONDS = 500;

/** Retention of a crash reported by a peer, which records it in the table meanwhile. */
const PEER_REPORT_RETENTION_MILLISECONDS = 60_000;

/** Maximum random delay that spreads the removal of expired entries over the hosts. */
const RELEASE_JITTER_MILLISECONDS = 60_000;

const MAXIMUM_SUSPECTS = 10_000;

/** Tracks requests that were in flight when an endpoint died. */
export class SuspectRegistry {
  private readonly suspects = new Map<string, Suspect>();
  private readonly releaseDelay: number;
  private readonly pendingReleases = new Set<string>();
  private readonly stopListening: () => void;

  constructor(private readonly options: SuspectRegistryOptions) {
    this.releaseDelay = options.random() * RELEASE_JITTER_MILLISECONDS;
    this.stopListening = options.peers.onMessage((_from, message) => {
      if (message.kind !== 'suspect') return;
      const crash = crashId(message.endpoint, message.incarnation);
      for (const {alone, ...request} of message.requests) {
        this.addCrash(request, {crash, alone, isOwn: false});
      }
    });
  }

  /** How a request may run now. */
  status(fingerprint: string): QuarantineStatus {
    const currentEntry = this.recorded(fingerprint);
    if (currentEntry?.state === 'quarantined') return 'quarantined';
    const suspect = this.suspects.get(fingerprint);
    if (suspect === undefined) {
      return currentEntry === undefined ? 'clear' : 'suspect';
    }
    return this.stateOf(suspect);
  }

  /**
   * Records that an endpoint died while it ran a request.
   *
   * @param alone Whether the request was sent to run alone.
   */
  recordCrash(
    request: FingerprintedRequest,
    endpoint: string,
    incarnation: string | undefined,
    alone: boolean,
  ): void {
    // Without an incarnation, each report counts as a separate crash.
    const known = incarnation ?? `unknown-${randomUUID()}`;
    const crash = crashId(endpoint, known);
    this.addCrash(request, {crash, alone, isOwn: true});
    this.options.peers.broadcast({
      kind: 'suspect',
      endpoint,
      incarnation: known,
      requests: [{...request, alone}],
    });
    const {fingerprint, team, route} = request;
    const fields = {fingerprint, team, route, endpoint};
    if (this.status(fingerprint) === 'quarantined') {
      this.options.logger.event('requestQuarantined', fields);
      void this.submit(fingerprint);
      return;
    }
    this.options.logger.event('requestSuspected', fields);
    this.options.clock.startTimer(SUBMIT_DELAY_MILLISECONDS, () => {
      void this.submit(fingerprint);
    });
  }

  /** Clears a suspect whose run succeeded. */
  clear(fingerprint: string): void {
    const suspect = this.suspects.get(fingerprint);
    this.suspects.delete(fingerprint);
    const isRecorded =
      suspect?.submitted !== undefined ||
      this.options.authority().quarantine.has(fingerprint);
    if (isRecorded) void this.submitRelease(fingerprint);
  }

  /** Synchronizes with the authority. Call it on each change and about every second. */
  refresh(): void {
    const now = this.options.clock.monotonicMilliseconds();
    const {quarantine} = this.options.authority();
    for (const [fingerprint, suspect] of this.suspects) {
      if (quarantine.has(fingerprint)) suspect.seenInAuthority = true;
      else if (suspect.seenInAuthority) this.suspects.delete(fingerprint);
      if (suspect.expiresAt <= now) this.suspects.delete(fingerprint);
      else if (suspect.isOwn && suspect.submitted === undefined) {
        void this.submit(fingerprint);
      }
    }
    const releaseBefore =
      this.options.clock.now().getTime() - this.releaseDelay;
    for (const [fingerprint, entry] of quarantine) {
      if (Date.parse(entry.expiresAt) > releaseBefore) continue;
      void this.submitRelease(fingerprint);
    }
  }

  /** Stops listening to peers. */
  close(): void {
    this.stopListening();
  }

  private recorded(fingerprint: string): QuarantineEntry | undefined {
    const entry = this.options.authority().quarantine.get(fingerprint);
    const now = this.options.clock.now().getTime();
    const isCurrent = entry !== undefined && Date.parse(entry.expiresAt) > now;
    return isCurrent ? entry : undefined;
  }

  /**
   * Other requests of a batch may crash an engine repeatedly, so a request is
   * quarantined only if it also crashed an endpoint while it ran alone.
   */
  private stateOf(suspect: Suspect): QuarantineEntry['state'] {
    const {fingerprint} = suspect.request;
    const recorded = this.recorded(fingerprint)?.endpoints ?? [];
    const crashes = new Set([...suspect.crashes, ...recorded]);
    const isConfirmed =
      suspect.hasCrashedAlone && crashes.size >= QUARANTINE_CRASHES;
    return isConfirmed ? 'quarantined' : 'suspect';
  }

  private addCrash(
    request: FingerprintedRequest,
    report: {
      readonly crash: string;
      readonly alone: boolean;
      readonly isOwn: boolean;
    },
  ): void {
    const now = this.options.clock.monotonicMilliseconds();
    let suspect = this.suspects.get(request.fingerprint);
    if (suspect === undefined) {
      this.evictOldest();
      suspect = {
        request,
        crashes: new Set(),
        hasCrashedAlone: false,
        expiresAt: now,
        isOwn: false,
        submitted: undefined,
        seenInAuthority: false,
      };
      this.suspects.set(request.fingerprint, suspect);
    }
    suspect.crashes.add(report.crash);
    if (report.alone) suspect.hasCrashedAlone = true;
    if (report.isOwn) suspect.isOwn = true;
    const retention = report.isOwn
      ? this.options.retentionMilliseconds
      : PEER_REPORT_RETENTION_MILLISECONDS;
    suspect.expiresAt = Math.max(suspect.expiresAt, now + retention);
  }

  private evictOldest(): void {
    if (this.suspects.size < MAXIMUM_SUSPECTS) return;
    const [oldest] = this.suspects.keys();
    if (oldest !== undefined) this.suspects.delete(oldest);
  }

  private async submit(fingerprint: string): Promise<void> {
    const suspect = this.suspects.get(fingerprint);
    if (suspect === undefined) return;
    const state = this.stateOf(suspect);
    if (suspect.submitted === state) return;
    suspect.submitted = state;
    const {clock, changes, hostId, retentionMilliseconds} = this.options;
    const expiresAt = new Date(clock.now().getTime() + retentionMilliseconds);
    const result = await changes.submit(`quarantine-${randomUUID()}`, hostId, {
      kind: 'put_quarantine',
      entry: {
        ...suspect.request,
        endpoints: [...suspect.crashes],
        state,
        expiresAt: expiresAt.toISOString(),
      },
    });
    if (result.kind === 'committed') return;
    // The next refresh submits it again.
    if (suspect.submitted === state) suspect.submitted = undefined;
  }

  private async submitRelease(fingerprint: string): Promise<void> {
    if (this.pendingReleases.has(fingerprint)) return;
    this.pendingReleases.add(fingerprint);
    try {
      const result = await this.options.changes.submit(
        `quarantine-${randomUUID()}`,
        this.options.hostId,
        {kind: 'release_quarantine', fingerprint},
      );
      if (result.kind !== 'committed') return;
      this.options.logger.event('quarantineReleased', {fingerprint});
    } finally {
      this.pendingReleases.delete(fingerprint);
    }
  }
}

/** Identifier of a crash, in the format that the schema of quarantine entries allows. */
function crashId(endpoint: string, incarnation: string): string {
  return `${endpoint}:${incarnation}`
    .replaceAll(/[^A-Za-z0-9._:-]/g, '_')
    .slice(0, 128);
}
