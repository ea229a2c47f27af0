import type {Container} from 'inversify';
import {EndpointRegistry, FINAL_HOPS} from '../fleet/mod.ts';
import {type PeerMessage, PeerNetwork} from '../peers/mod.ts';
import {EndpointLimits} from '../permits/mod.ts';
import {PromptPartQuarantine} from '../relay/mod.ts';
import {PoolSupervisor} from './pool_supervisor.ts';

/** Sends a host that has just connected what it cannot read from the store. */
export function sendCurrentState(container: Container, hostId: string): void {
  const peers = container.get(PeerNetwork);
  const send = (message: PeerMessage) => peers.send(hostId, message);
  container
    .get(PoolSupervisor)
    .announceTo(announcement =>
      send({kind: 'replica_state', hops: 0, ...announcement}),
    );
  for (const change of container.get(PromptPartQuarantine).currentChanges())
    send({kind: 'prompt_part', hops: FINAL_HOPS, ...change});
  for (const incarnation of container.get(EndpointRegistry).noticedLeaving())
    send({kind: 'endpoint_leaving', hops: FINAL_HOPS, incarnation});
  for (const limit of container.get(EndpointLimits).current())
    send({kind: 'endpoint_limit', hops: FINAL_HOPS, ...limit});
}
