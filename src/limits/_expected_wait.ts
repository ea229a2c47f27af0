import type {TeamLender} from './_team_lender.ts';

/**
 * Estimates the milliseconds until a bucket holds `tokens`, including the
 * expected refunds of reservations and loans.
 */
export function expectedWait(
  lender: TeamLender,
  tokens: number,
  at: number,
): number {
  const {bucket} = lender;
  const start = Math.max(0, bucket.refilledUntil - at);
  const missing = tokens - bucket.level - bucket.expectedReturns;
  if (missing <= 0) return start;
  return start + (missing * 1000) / bucket.terms.tokensPerSecond;
}
