import type {TeamConfiguration} from '../deployment/mod.ts';
import type {RequestMetadata} from './request_metadata.ts';

/** What a request takes from the rate of its team, in the unit of the team. */
export function costOf(
  team: TeamConfiguration,
  {tokens}: Pick<RequestMetadata, 'tokens'>,
): number {
  return team.unit === 'tokens' ? (tokens ?? team.defaultTokens) : 1;
}
