/**
 * Structured log events and metrics.
 *
 * ```ts
 * const logger = createEventLogger({level: 'info'});
 * logger.event('hostStarted', {host: 'host-1'});
 * ```
 *
 * @module
 */
export {
  EventLoopMonitor,
  type EventLoopMonitorOptions,
} from './event_loop_monitor.ts';
export {
  createEventLogger,
  type EventFields,
  type EventLogger,
  type EventLoggerOptions,
  SILENT_LOGGER,
} from './event_logger.ts';
export {
  type EventDefinition,
  type EventLevel,
  type EventName,
  EVENTS,
} from './events.ts';
export {type MetricLabels, Metrics} from './metrics.ts';
export {renderEventCatalogue} from './render_event_catalogue.ts';
export {LineWriter, type LineWriterOptions} from './line_writer.ts';
export {
  RateLimitedLogger,
  type RateLimitedLoggerOptions,
} from './rate_limited_logger.ts';
