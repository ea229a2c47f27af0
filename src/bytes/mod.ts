/**
 * Collects bytes that peers send in pieces of their choosing, within a budget.
 *
 * ```ts
 * const collector = new ByteCollector();
 * for await (const chunk of body) collector.append(chunk);
 * const bytes = collector.take();
 * ```
 *
 * @module
 */
export {ByteBudget, type ByteReservation} from './byte_budget.ts';
export {ByteCollector} from './byte_collector.ts';
