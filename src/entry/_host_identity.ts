import {randomUUID} from 'node:crypto';
import type {HostRow} from '../fleet/mod.ts';
import type {PeerIdentity} from '../peers/mod.ts';
import type {StoreEra} from '../stores/mod.ts';
import type {EntrySettings} from './entry_settings.ts';
import type {EntryState} from './entry_state.ts';

/** Identity of a new process of a host, towards its peers. */
export function createIdentity(settings: EntrySettings): PeerIdentity {
  return {
    hostId: settings.hostId,
    incarnation: randomUUID(),
    dataCentre: settings.dataCentre,
    peerAddress: `ws://${settings.address}:${settings.peerPort}`,
    callerAddress: settings.callers,
  };
}

/** Row with which a host registers. */
export function hostRow(
  self: PeerIdentity,
  {processor, linkMegabits}: EntrySettings,
  state: EntryState,
  storeEra: StoreEra,
): HostRow {
  return {
    ...self,
    state: state.isDraining ? 'leaving' : 'ready',
    cores: processor.share * processor.speed,
    linkMegabits,
    storeEra: storeEra.current,
  };
}
