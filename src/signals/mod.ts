/**
 * Signals of the process, from its first line on. Imports nothing, so that a program
 * listens before it loads the rest of its code.
 *
 * ```ts
 * const signals = new ProcessSignals();
 * signals.onStop(() => server.close());
 * ```
 *
 * @module
 */
export {ProcessSignals, type SignalSource} from './process_signals.ts';
