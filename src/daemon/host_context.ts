import type {EventLogger, Metrics} from '../observability/mod.ts';
import type {PeerIdentity} from '../peers/mod.ts';
import type {Settings} from '../settings/mod.ts';
import type {Clock} from '../time/mod.ts';

/** Settings, services and state that all components of one host share. */
export class HostContext {
  /** Whether the host is shutting down and accepts no new callers. */
  isDraining = false;

  constructor(
    readonly settings: Settings,
    readonly clock: Clock,
    readonly logger: EventLogger,
    readonly metrics: Metrics,
    readonly self: PeerIdentity,
  ) {}
}
