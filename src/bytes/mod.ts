/**
 * Collects bytes that peers send in pieces of their choosing.
 *
 * ```ts
 * const collector = new ByteCollector();
 * for await (const chunk of body) collector.append(chunk);
 * const bytes = collector.take();
 * ```
 *
 * @module
 */
export {ByteCollector} from './byte_collector.ts';
