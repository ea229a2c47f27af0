import type {EventLogger, Metrics} from '../observability/mod.ts';
import type {PeerIdentity} from '../peers/mod.ts';
import type {Settings} from '../settings/mod.ts';
import type {Clock} from '../time/mod.ts';

/** What all components of one host share. */
export class HostContext {
  /** Whether the host is shutting down; it then takes no new callers. */
  isDraining = false;

  constructor(
    readonly settings: Settings,
    readonly clock: Clock,
    readonly logger: EventLogger,
    readonly metrics: Metrics,
    readonly self: PeerIdentity,
  ) {}
}
