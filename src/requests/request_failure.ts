import type {RequestError} from '../errors/mod.ts';

/** Thrown by the body of a response that cannot be completed. */
export class RequestFailure extends Error {
  constructor(readonly error: RequestError) {
    super(error.message);
    this.name = 'RequestFailure';
  }
}
