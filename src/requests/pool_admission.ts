import type {Authority} from '../contracts/mod.ts';
import type {RequestError, Result} from '../errors/mod.ts';
import {
  type AdmissionRequest,
  type AdmissionSlot,
  FairAdmission,
} from '../limits/mod.ts';
import type {Clock} from '../time/mod.ts';

/** Options of {@link PoolAdmission}. */
export interface PoolAdmissionOptions {
  clock: Clock;
  authority: () => Authority;
  /** Maximum number of this host's concurrent requests to a pool. */
  maximumConcurrent: number;
}

/** Admits requests to each pool of engines fairly between teams. */
export class PoolAdmission {
  private readonly pools = new Map<string, FairAdmission>();

  constructor(private readonly options: PoolAdmissionOptions) {}

  /** Waits for a slot on a pool; errors always have the run state `not_run`. */
  enter(
    pool: string,
    request: AdmissionRequest,
  ): Promise<Result<AdmissionSlot, RequestError>> {
    const {authority, clock, maximumConcurrent} = this.options;
    let admission = this.pools.get(pool);
    if (admission === undefined) {
      admission = new FairAdmission({
        clock,
        maximumConcurrent,
        weightOf: team => authority().contracts.get(team)?.weight ?? 1,
      });
      this.pools.set(pool, admission);
    }
    return admission.enter(request);
  }
}
