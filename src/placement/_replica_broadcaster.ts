import type {PeerChannel} from '../peers/mod.ts';
import type {ReplicaUpdate} from '../routing/mod.ts';
import type {Clock} from '../time/mod.ts';
import type {PoolView} from './pool_view.ts';

/** Options of {@link ReplicaBroadcaster}. */
export interface ReplicaBroadcasterOptions {
  pool: string;
  epoch: number;
  channel: PeerChannel;
  clock: Clock;
  applyLocally: (update: ReplicaUpdate) => void;
  mayAct: () => boolean;
}

/** Interval at which an unchanged update is repeated. */
const REPEAT_MILLISECONDS = 5000;

/** Interval while replicas are loading or draining, or requests are refused. */
const BUSY_REPEAT_MILLISECONDS = 500;

/** Broadcasts the replicas of a pool to all hosts. */
export class ReplicaBroadcaster {
  private sequence = 0;
  private lastContent = '';
  private sentAt = -Infinity;

  constructor(private readonly options: ReplicaBroadcasterOptions) {}

  /** Sends the next update even if nothing has changed. */
  forceNextUpdate(): void {
    this.sentAt = -Infinity;
  }

  /** Sends an update if the replicas changed or a repetition is due. */
  publish(view: PoolView, refusals: ReplicaUpdate['refusals']): void {
    const {channel, clock, epoch, mayAct, pool} = this.options;
    const replicas = replicasOf(view);
    const content = JSON.stringify([
      replicas.map(({target, version, endpoint, state}) => {
        return [target, version, endpoint, state];
      }),
      refusals.map(({target, reason}) => [target, reason]),
    ]);
    const now = clock.monotonicMilliseconds();
    const busy =
      refusals.length > 0 || replicas.some(({state}) => state !== 'loaded');
    const repeat = busy ? BUSY_REPEAT_MILLISECONDS : REPEAT_MILLISECONDS;
    if (content === this.lastContent && now - this.sentAt < repeat) return;
    if (!mayAct()) return;
    this.lastContent = content;
    this.sentAt = now;
    const update: ReplicaUpdate = {
      kind: 'replica_update',
      pool,
      epoch,
      sequence: this.sequence++,
      replicas,
      refusals,
    };
    channel.broadcast(update);
    this.options.applyLocally(update);
  }
}

function replicasOf(view: PoolView): ReplicaUpdate['replicas'] {
  const replicas: ReplicaUpdate['replicas'] = [];
  for (const engine of view.engines) {
    for (const replica of engine.replicas) {
      const {target, version, endpoint, readyInMilliseconds} = replica;
      const state = publishedState(replica.state, engine.usable);
      if (state === undefined) continue;
      replicas.push({target, version, endpoint, state, readyInMilliseconds});
    }
  }
  return replicas;
}

function publishedState(
  state: string,
  usable: boolean,
): ReplicaUpdate['replicas'][number]['state'] | undefined {
  switch (state) {
    case 'loading':
      return 'loading';
    case 'loaded':
      return usable ? 'loaded' : undefined;
    case 'draining':
      return 'draining';
    default:
      return undefined;
  }
}
