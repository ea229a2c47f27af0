/**
 * The request path: dispatches callers' requests to endpoints, retries failed
 * attempts where that is safe, and relays the responses.
 *
 * ```ts
 * const path = new RequestPath(options);
 * for await (const event of path.runModel(request)) handle(event);
 * ```
 *
 * @module
 */
export {type ClaimDescription, showClaim} from './show_claim.ts';
export type {ModelEvent, ModelRequest} from './model_request.ts';
export {RequestFailure} from './request_failure.ts';
export {RequestPath} from './request_path.ts';
export type {RequestPathOptions} from './request_path_options.ts';
export type {ServiceRequest, ServiceResponse} from './service_request.ts';
