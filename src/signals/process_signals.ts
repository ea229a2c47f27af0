/** Where {@link ProcessSignals} gets signals from, such as `process`. */
export interface SignalSource {
  on(signal: NodeJS.Signals, listener: () => void): unknown;
}

/**
 * Receives the signals to stop and to reload. Created first in a program, since Node.js
 * ends a process that gets a signal before it listens to it. What arrives before the
 * program is ready to act is kept.
 *
 * @example
 * ```ts
 * const signals = new ProcessSignals();
 * const {run} = await import('./run.ts');
 * const server = await run();
 * signals.onStop(() => server.stop());
 * ```
 */
export class ProcessSignals {
  private stopListener: (() => void) | undefined;
  private reloadListener: (() => void) | undefined;
  private isStopRequested = false;
  private isReloadRequested = false;

  /** @param source Source of the signals. @default process */
  constructor(source: SignalSource = process) {
    for (const signal of ['SIGTERM', 'SIGINT'] as const) {
      source.on(signal, () => {
        this.isStopRequested = true;
        this.stopListener?.();
      });
    }
    source.on('SIGHUP', () => {
      this.isReloadRequested = true;
      this.reloadListener?.();
    });
  }

  /** Sets what SIGTERM and SIGINT do; called at once if one has arrived. */
  onStop(listener: () => void): void {
    this.stopListener = listener;
    if (this.isStopRequested) listener();
  }

  /** Sets what SIGHUP does; called at once if one has arrived. */
  onReload(listener: () => void): void {
    this.reloadListener = listener;
    if (this.isReloadRequested) listener();
  }
}
