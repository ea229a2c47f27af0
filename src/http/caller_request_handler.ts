import type {RequestPath} from '../requests/mod.ts';

/** What the callers' interface needs of the request path. */
export type CallerRequestHandler = Pick<
  RequestPath,
  'runModel' | 'callService' | 'listModels'
>;
