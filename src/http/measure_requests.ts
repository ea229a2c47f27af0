import type {RequestHandler} from 'express';
import type {Metrics} from '../observability/mod.ts';
import type {Clock} from '../time/mod.ts';

/** Values of the route label by path prefix; a fixed set bounds the series. */
const ROUTES: readonly (readonly [prefix: string, name: string])[] = [
  ['/v1/chat/completions', 'chat'],
  ['/v1/completions', 'completions'],
  ['/v1/models', 'models'],
  ['/v1/addresses', 'addresses'],
  ['/services/', 'services'],
];

/**
 * Records the time until a response has ended, by route and status. A response
 * whose connection closed early has the status `cut`.
 */
export function measureRequests(
  metrics: Metrics,
  clock: Clock,
): RequestHandler {
  return (request, response, next) => {
    const startedAt = clock.monotonicMilliseconds();
    const route =
      ROUTES.find(([prefix]) => request.path.startsWith(prefix))?.[1] ??
      'other';
    response.on('close', () => {
      const status = response.writableFinished
        ? String(response.statusCode)
        : 'cut';
      metrics.recordDuration(
        'limpetdale_request_duration_seconds',
        clock.monotonicMilliseconds() - startedAt,
        {route, status},
      );
    });
    next();
  };
}
