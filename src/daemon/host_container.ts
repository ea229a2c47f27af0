import {Container} from 'inversify';
import {bindMaintenance} from './bind_maintenance.ts';
import {bindMembership} from './bind_membership.ts';
import {bindPlacement} from './bind_placement.ts';
import {bindPlatform} from './bind_platform.ts';
import {bindRequests} from './bind_requests.ts';
import {HostContext} from './host_context.ts';

/** Binds all components of one host. */
export function createHostContainer(context: HostContext): Container {
  const container = new Container({defaultScope: 'Singleton'});
  container.bind(HostContext).toConstantValue(context);
  bindPlatform(container, context);
  bindMembership(container, context);
  bindPlacement(container, context);
  bindRequests(container, context);
  bindMaintenance(container, context);
  return container;
}
