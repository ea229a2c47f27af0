import type {RequestStep} from '../errors/mod.ts';

/** A request whose response is not written out yet. */
export interface OpenRequest {
  readonly requestId: string;
  /**
   * `parse` while the body is read, `place` while the request waits for an
   * endpoint, `dispatch` once it was sent, `settle` while the response is
   * written out.
   */
  readonly step: RequestStep;
  readonly ageMilliseconds: number;
}
