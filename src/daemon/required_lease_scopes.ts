import type {Authority} from '../contracts/mod.ts';

/** Returns the lease scopes that some host must hold: engine pools and teams. */
export function requiredLeaseScopes(authority: Authority): Set<string> {
  const scopes = new Set<string>();
  for (const pool of authority.pools.values()) {
    if (pool.kind === 'engine') scopes.add(`pool:${pool.name}`);
  }
  for (const team of authority.contracts.keys()) scopes.add(`team:${team}`);
  return scopes;
}
