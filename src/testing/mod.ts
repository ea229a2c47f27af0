/**
 * Stand-ins of the outside systems, and a manual clock. Development only.
 *
 * @module
 */
export {ConnectionProxy} from './connection_proxy.ts';
export {EngineStandIn, type EngineStandInOptions} from './engine_stand_in.ts';
export {type Faults, faultsSchema, NO_FAULTS} from './faults.ts';
export {
  HostListStandIn,
  type HostListStandInOptions,
} from './host_list_stand_in.ts';
export {
  LimitFleet,
  type LimitFleetOptions,
  type LimitHost,
} from './limit_fleet.ts';
export {ManualClock} from './manual_clock.ts';
export {
  MemoryNetwork,
  type MemoryNetworkOptions,
  MemoryPeer,
} from './memory_network.ts';
export {MemoryTable} from './memory_table.ts';
export {ObjectStoreStandIn} from './object_store_stand_in.ts';
export {
  type ServiceRun,
  ServiceStandIn,
  type ServiceStandInOptions,
} from './service_stand_in.ts';
export {settle} from './settle.ts';
export {
  type BoundViolation,
  type SpendEvent,
  SpendRecord,
} from './spend_record.ts';
export {StandInServer, type StandInServerOptions} from './stand_in_server.ts';
export {TableStandIn} from './table_stand_in.ts';
export {
  WeightStoreStandIn,
  type WeightStoreStandInOptions,
} from './weight_store_stand_in.ts';
