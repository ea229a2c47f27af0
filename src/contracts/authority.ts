import type {Adapter} from './adapter.ts';
import type {Contract, Revised} from './contract.ts';
import type {Endpoint} from './endpoint.ts';
import type {KeyRecord} from './key_record.ts';
import type {Lease} from './lease.ts';
import type {Member} from './member.ts';
import type {Model} from './model.ts';
import type {Pool} from './pool.ts';
import type {QuarantineEntry} from './quarantine_entry.ts';
import type {ServiceRoute} from './service_route.ts';

/**
 * The replicated state at one version of the change log: what is permitted, and
 * which hosts decide. Values are never modified in place.
 */
export interface Authority {
  readonly version: number;
  readonly contracts: ReadonlyMap<string, Revised<Contract>>;
  /** By key id. */
  readonly keys: ReadonlyMap<string, Revised<KeyRecord>>;
  readonly routes: ReadonlyMap<string, Revised<ServiceRoute>>;
  readonly pools: ReadonlyMap<string, Revised<Pool>>;
  readonly endpoints: ReadonlyMap<string, Revised<Endpoint>>;
  readonly models: ReadonlyMap<string, Revised<Model>>;
  readonly adapters: ReadonlyMap<string, Revised<Adapter>>;
  /** By host id. */
  readonly members: ReadonlyMap<string, Revised<Member>>;
  /** Host ids of the members before the latest change of the member list. */
  readonly previousMembers: ReadonlySet<string>;
  /** Version of the latest change of the member list; 0 before the first. */
  readonly memberVersion: number;
  /** By scope. */
  readonly leases: ReadonlyMap<string, Revised<Lease>>;
  /** By fingerprint. */
  readonly quarantine: ReadonlyMap<string, Revised<QuarantineEntry>>;
}

/** Authority before the first change. */
export const EMPTY_AUTHORITY: Authority = {
  version: 0,
  contracts: new Map(),
  keys: new Map(),
  routes: new Map(),
  pools: new Map(),
  endpoints: new Map(),
  models: new Map(),
  adapters: new Map(),
  members: new Map(),
  previousMembers: new Set(),
  memberVersion: 0,
  leases: new Map(),
  quarantine: new Map(),
};
