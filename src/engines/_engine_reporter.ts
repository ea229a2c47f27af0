import type {EventLogger} from '../observability/mod.ts';
import {type Clock, sleep} from '../time/mod.ts';
import type {EngineControl} from './engine_control.ts';
import type {EngineState, PendingOrder} from './engine_state.ts';
import type {ModelDemand} from './model_demand.ts';

/** Options of {@link EngineReporter}. */
export interface EngineReporterOptions {
  control: EngineControl;
  clock: Clock;
  logger: EventLogger;
  /** Ends the pauses between reports. */
  signal: AbortSignal;
  /**
   * Called when a report was applied.
   *
   * @param pending Order that was in progress before.
   */
  onReport: (engine: EngineState, pending: PendingOrder | undefined) => void;
  /** Called when an engine turns out to have dropped a load from the weight store. */
  onDropped: () => void;
  /** Starts the next placement round. */
  wake: () => void;
}

/**
 * Time past the expected completion of an order after which a report is
 * requested from the engine.
 */
const ORDER_SLACK_MILLISECONDS = 1500;

/**
 * Time a request waits before the engines that should have its model are asked
 * for a report.
 */
const RECHECK_AFTER_MILLISECONDS = 400;

/** Minimum interval between such reports from one engine. */
const RECHECK_INTERVAL_MILLISECONDS = 2000;

/** Minimum interval between reports of an engine whose state is unknown. */
const REPORT_PAUSE_MILLISECONDS = 400;

/** Requests reports from engines whose state is not certain. */
export class EngineReporter {
  constructor(private readonly options: EngineReporterOptions) {}

  /** Requests a report from an engine whose state is not certain. */
  requestIfNeeded(engine: EngineState, now: number): void {
    const {pending} = engine;
    const isOverdue =
      pending !== undefined &&
      now > pending.expectedAt + ORDER_SLACK_MILLISECONDS;
    const isStateUnknown =
      isOverdue || engine.needsReport || engine.isUnreachable;
    if (isStateUnknown && !engine.isLocked) {
      void this.request(engine);
    }
  }

  /**
   * Requests a report from an engine whose state is unknown. No orders are sent
   * to the engine meanwhile.
   */
  private async request(engine: EngineState): Promise<void> {
    const {control, logger} = this.options;
    engine.isLocked = true;
    const report = await control.report(engine.record);
    if (report.ok) {
      const {pending} = engine;
      const isCurrent = engine.applyReport(report.value);
      this.options.onReport(engine, pending);
      if (isCurrent && !report.value.isBusy && engine.pending !== undefined) {
        // The engine dropped the order or has not received it yet. In the
        // latter case the next order that the engine accepts invalidates this
        // one.
        if (engine.pending.tier === 'remote') this.options.onDropped();
        engine.withdrawn.delete(engine.pending.model);
        engine.pending = undefined;
      }
      if (engine.needsReport) await this.pauseBeforeNextReport();
      engine.isLocked = false;
      this.options.wake();
      return;
    } else {
      engine.isUnreachable = true;
      logger.event('engineReportFailed', {
        endpoint: engine.record.id,
        ...report.error,
      });
    }
    await this.pauseBeforeNextReport();
    engine.isLocked = false;
  }

  private pauseBeforeNextReport(): Promise<void> {
    const {clock} = this.options;
    return sleep(clock, REPORT_PAUSE_MILLISECONDS, this.options.signal);
  }

  /**
   * Schedules reports from engines that should have a model loaded for which
   * requests wait nevertheless.
   */
  recheckHolders(
    engines: readonly EngineState[],
    demand: ReadonlyMap<string, ModelDemand>,
    now: number,
  ): void {
    for (const [model, {waiting, waitedMilliseconds}] of demand) {
      if (waiting === 0 || waitedMilliseconds < RECHECK_AFTER_MILLISECONDS)
        continue;
      for (const engine of engines) {
        const isRecheckDue =
          engine.models.has(model) && now >= engine.nextRecheckAt;
        if (!isRecheckDue) continue;
        engine.needsReport = true;
        engine.nextRecheckAt = now + RECHECK_INTERVAL_MILLISECONDS;
      }
    }
  }
}
