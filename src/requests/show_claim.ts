import type {Result} from '../errors/mod.ts';
import {success} from '../errors/mod.ts';
import type {PlatformError, TableService} from '../stores/mod.ts';
import {claimKey, type ClaimRow, claimRowSchema} from './claim_row.ts';

/** An idempotency claim as shown to operators, without the response. */
export type ClaimDescription = Omit<ClaimRow, 'answer'> & {
  /** Whether the response is stored for repeats. */
  readonly answerKept: boolean;
};

/**
 * Looks up the claim of a team's idempotency key. The response itself is
 * omitted, since it is the team's data.
 *
 * @returns The claim, or undefined when there is none.
 */
export async function showClaim(
  table: TableService,
  team: string,
  idempotencyKey: string,
): Promise<Result<ClaimDescription | undefined, PlatformError>> {
  const rows = await table.read([claimKey(team, idempotencyKey)]);
  if (!rows.ok) return rows;
  const row = rows.value[0];
  if (row === undefined) return success(undefined);
  const {answer, ...claim} = claimRowSchema.parse(row.value);
  return success({...claim, answerKept: answer !== null});
}
