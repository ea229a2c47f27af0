import type {EndpointError} from './endpoint_error.ts';

/** Thrown by a body that cannot be read to its end. */
export class EndpointFailure extends Error {
  constructor(readonly error: EndpointError) {
    super(error.reason);
    this.name = 'EndpointFailure';
  }
}
