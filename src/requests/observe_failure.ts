import type {Endpoint} from '../contracts/mod.ts';
import type {EndpointError} from '../endpoints/mod.ts';
import type {Probe} from './circuit_breakers.ts';
import type {RequestContext} from './request_context.ts';

/** Reports a failed exchange to the circuit breaker and the router. */
export function observeFailure(
  context: RequestContext,
  endpoint: Endpoint,
  error: EndpointError,
): void {
  const failure = observedFailure(error);
  if (failure === undefined) return;
  context.options.observer.failed(endpoint.name, failure);
  context.breakers.failed(endpoint.name, createProbe(context, endpoint));
}

function observedFailure(
  error: EndpointError,
): 'refused' | 'broken' | 'silent' | undefined {
  switch (error.kind) {
    case 'unreachable':
      return error.refused ? 'refused' : 'silent';
    case 'broken':
    case 'invalid_answer':
      return 'broken';
    case 'silent':
      return 'silent';
    case 'rejected':
    case 'cancelled':
      return undefined;
  }
}

function createProbe(context: RequestContext, endpoint: Endpoint): Probe {
  const {clients} = context.options;
  return async () => {
    const answer =
      endpoint.protocol === 'http'
        ? await clients.service(endpoint).probe()
        : await clients.engine(endpoint).state();
    return answer.ok;
  };
}
