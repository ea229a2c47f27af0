import type {RequestPath} from '../requests/mod.ts';

/** Part of the request path that serves the HTTP requests of callers. */
export type CallerRequestHandler = Pick<
  RequestPath,
  'runModel' | 'callService' | 'listModels'
>;
