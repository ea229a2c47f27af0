import type {ChangeLog} from '../contracts/mod.ts';
import type {EventLogger} from '../observability/mod.ts';
import type {PeerChannel, PeerConnectionEvent} from '../peers/mod.ts';
import type {HostList} from '../stores/mod.ts';
import {type Clock, sleep} from '../time/mod.ts';
import type {HeartbeatExchange} from './heartbeat_exchange.ts';

/** Options of {@link StoppedMemberDetector}. */
export interface StoppedMemberDetectorOptions {
  channel: PeerChannel;
  changeLog: ChangeLog;
  heartbeats: HeartbeatExchange;
  hostList: HostList;
  clock: Clock;
  logger: EventLogger;
  /** Milliseconds between two reads of the host list. @default 1000 */
  intervalMilliseconds?: number;
}

const DEFAULT_INTERVAL_MILLISECONDS = 1000;

/** A point in time at which a member had no process. */
export interface StopObservation {
  /** Monotonic time. */
  readonly at: number;
  /**
   * Version that this host had at the time. A process that starts later and
   * reads the table finds this version or a later one.
   */
  readonly version: number;
}

/** Consecutive refused connections to one address. */
interface Refusals {
  readonly firstAt: number;
  /**
   * Time after which the latest refused attempt started; undefined until a
   * second connection is refused.
   */
  readonly latestStartedAfter: StopObservation | undefined;
  readonly latestEnded: StopObservation;
}

/**
 * Detects members that have no process: connections to their recorded address
 * are refused, or the platform's host list reports the host as gone.
 *
 * A host that the list reports as gone must not be started again under the same
 * host id while the list still says so.
 */
export class StoppedMemberDetector {
  private readonly stopping = new AbortController();
  private readonly refusals = new Map<string, Refusals>();
  private removeListeners: (() => void)[] = [];
  private reportedGone: ReadonlySet<string> = new Set();
  private reportedLeaving: ReadonlySet<string> = new Set();
  private listRequested: StopObservation | undefined;

  constructor(private readonly options: StoppedMemberDetectorOptions) {}

  /** Starts to poll the host list and to record refused connections. */
  start(): void {
    const {channel} = this.options;
    this.removeListeners = [
      channel.onConnectionEvent(observation => this.observe(observation)),
      channel.onMessage(from => this.refusals.delete(from.peerAddress)),
    ];
    void this.pollHostList();
  }

  /** Stops polling and recording. */
  stop(): void {
    this.stopping.abort();
    for (const remove of this.removeListeners) remove();
  }

  /**
   * The latest time at which the member is known to have had no process;
   * undefined if there is no evidence that it has none.
   */
  lastSeenStopped(hostId: string): StopObservation | undefined {
    const refused = this.refusalsOf(hostId)?.latestStartedAfter;
    const listed = this.isReportedGone(hostId) ? this.listRequested : undefined;
    if (refused === undefined || listed === undefined) return refused ?? listed;
    return refused.at > listed.at ? refused : listed;
  }

  /** Whether the platform's host list reports the host as gone. */
  isReportedGone(hostId: string): boolean {
    const {heartbeats} = this.options;
    // The list may be outdated: a host that still sends messages is not gone.
    return this.reportedGone.has(hostId) && !heartbeats.isLive(hostId);
  }

  /** Whether the platform's host list reports the host as leaving. */
  isReportedLeaving(hostId: string): boolean {
    return this.reportedLeaving.has(hostId);
  }

  /** Milliseconds for which every connection to the member has been refused. */
  refusedForMilliseconds(hostId: string): number {
    const refusals = this.refusalsOf(hostId);
    if (refusals?.latestStartedAfter === undefined) return 0;
    return refusals.latestEnded.at - refusals.firstAt;
  }

  private refusalsOf(hostId: string): Refusals | undefined {
    const {heartbeats} = this.options;
    const address = heartbeats.addressOf(hostId);
    if (address === undefined) return undefined;
    return this.refusals.get(address);
  }

  private observe(observation: PeerConnectionEvent): void {
    switch (observation.kind) {
      case 'connected':
        this.refusals.delete(observation.peer.peerAddress);
        break;
      case 'disconnected':
        break;
      case 'refused': {
        // Connections to one address are attempted sequentially, so the attempt
        // that ended now started after the previous one had ended.
        const {peerAddress} = observation;
        const previous = this.refusals.get(peerAddress);
        const latestEnded = this.observeNow();
        this.refusals.set(peerAddress, {
          firstAt: previous?.firstAt ?? latestEnded.at,
          latestStartedAfter: previous?.latestEnded,
          latestEnded,
        });
        break;
      }
    }
  }

  private observeNow(): StopObservation {
    const {clock, changeLog} = this.options;
    const {version} = changeLog.authority;
    return {at: clock.monotonicMilliseconds(), version};
  }

  private async pollHostList(): Promise<void> {
    const {clock, hostList, logger} = this.options;
    const {signal} = this.stopping;
    const interval =
      this.options.intervalMilliseconds ?? DEFAULT_INTERVAL_MILLISECONDS;
    while (!signal.aborted) {
      const requested = this.observeNow();
      try {
        const hosts = await hostList.list();
        if (hosts.ok) {
          const namesInState = (state: 'gone' | 'leaving') =>
            new Set(
              hosts.value
                .filter(host => host.state === state)
                .map(host => host.name),
            );
          this.reportedGone = namesInState('gone');
          this.reportedLeaving = namesInState('leaving');
          this.listRequested = requested;
        }
      } catch (error) {
        logger.event('unexpectedFailure', {
          step: 'list_hosts',
          reason: String(error),
        });
      }
      await sleep(clock, interval, signal);
    }
  }
}
