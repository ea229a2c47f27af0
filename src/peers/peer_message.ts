import {z} from 'zod';
import {logEntrySchema} from '../contracts/mod.ts';
import {promptPartChangeSchema} from './_prompt_part_change.ts';

const version = z.number().int().nonnegative();
const tokens = z.number().nonnegative();
const milliseconds = z.number();
/** Number of hosts that have passed an announcement on. */
const hops = z.number().int().nonnegative().default(0);
const correlationId = z.string().min(1).max(64);
/** Cold phase of an endpoint as the sender knows it. */
const coldPhase = z
  .object({
    /** Requests a second that it takes from all hosts. */
    ratePerSecond: z.number().positive(),
    /** Time until it ends. */
    milliseconds: milliseconds.nonnegative().max(600_000),
  })
  .optional();
/** Position of a report among those of its sender. */
const reportPosition = {
  /** Increases with each report. */
  sequence: z.number().int().nonnegative(),
  /** Number of the report that this one changes; absent from a complete report. */
  afterSequence: z.number().int().nonnegative().optional(),
};

/** Schema of {@link PeerMessage}. */
export const peerMessageSchema = z.discriminatedUnion('kind', [
  /** Requests the state of a peer, such as the version it has applied. */
  z.object({
    kind: z.literal('heartbeat'),
    /** Monotonic time of the sender, echoed in the reply. */
    askedAt: milliseconds,
    version,
    remembers: z.boolean(),
    leaving: z.boolean(),
  }),
  z.object({
    kind: z.literal('heartbeat_reply'),
    askedAt: milliseconds,
    version,
    remembers: z.boolean(),
    leaving: z.boolean(),
    /** Host ids from which the peer received nothing for the view timeout. */
    silentPeers: z.array(z.string()),
  }),
  /** Requests the log entries after a version. */
  z.object({kind: z.literal('log_request'), afterVersion: version}),
  z.object({kind: z.literal('log_entries'), entries: z.array(logEntrySchema)}),
  /** A full authority, sent when the requested entries are no longer retained. */
  z.object({kind: z.literal('snapshot'), content: z.instanceof(Uint8Array)}),
  /** Demand of the sending host for one model or adapter. */
  z.object({
    kind: z.literal('demand'),
    target: z.string(),
    /** Demand by team. */
    teams: z.array(
      z.object({
        team: z.string(),
        waiting: z.number().int().nonnegative(),
        /** Milliseconds until the earliest deadline of a waiting request. */
        deadlineInMilliseconds: milliseconds,
        /** Requests in flight to loaded replicas of the target. */
        inFlight: z.number().int().nonnegative(),
        /** Requests that arrived since the previous report. */
        arrivals: z.number().int().nonnegative(),
      }),
    ),
  }),
  /** All replicas of one pool, sent by the holder of the pool's lease. */
  z.object({
    kind: z.literal('replica_update'),
    pool: z.string(),
    epoch: z.number().int(),
    /** Increases with each update within an epoch. */
    sequence: z.number().int(),
    replicas: z.array(
      z.object({
        target: z.string(),
        version: z.string(),
        endpoint: z.string(),
        state: z.enum(['loading', 'loaded', 'draining']),
        /** Milliseconds until a load is expected to end; 0 when loaded. */
        readyInMilliseconds: milliseconds,
      }),
    ),
    /** Targets that currently cannot be loaded, with the reason. */
    refusals: z.array(
      z.object({
        target: z.string(),
        reason: z.string(),
        retryAfterMilliseconds: milliseconds,
      }),
    ),
  }),
  /** Reports that the sending host will send no more requests to a draining replica. */
  z.object({
    kind: z.literal('replica_released'),
    pool: z.string(),
    target: z.string(),
    endpoint: z.string(),
  }),
  /** Requests a loan of rate-limit tokens from the owner of a team's limit. */
  z.object({
    kind: z.literal('loan_request'),
    id: correlationId,
    team: z.string(),
    tokens,
    /** Tokens that the borrower needs to serve its first waiting request. */
    minimumTokens: tokens,
    /** Milliseconds for which that request has waited; orders requests of all hosts. */
    waitedMilliseconds: milliseconds.nonnegative().default(0),
  }),
  z.object({
    kind: z.literal('loan_grant'),
    id: correlationId,
    team: z.string(),
    epoch: z.number().int(),
    /** Number of tokens lent; zero when the loan is denied. */
    tokens,
    /** Validity of the loan in milliseconds, counted from the loan request. */
    validForMilliseconds: milliseconds,
    retryAfterMilliseconds: milliseconds,
  }),
  /** Returns the unused tokens of a loan. */
  z.object({
    kind: z.literal('loan_return'),
    id: correlationId,
    team: z.string(),
    epoch: z.number().int(),
    tokens,
  }),
  /** Changes of the load of the sending host since its previous report. */
  z.object({
    kind: z.literal('load_report'),
    ...reportPosition,
    /** Unfinished requests by endpoint and target; 0 when all have ended. */
    inFlight: z.array(
      z.object({
        endpoint: z.string(),
        target: z.string(),
        requests: z.number().int().nonnegative(),
      }),
    ),
    /** Tokens spent by each team on this host since the host started. */
    spent: z.array(z.object({team: z.string(), tokens, level: z.number()})),
    /**
     * Whether the sender is a standby host, whose report the receiver adds to its
     * own.
     */
    isStandby: z.boolean().default(false),
  }),
  /** Changes of the sender's demand, for the host that manages the pool. */
  z.object({
    kind: z.literal('demand_report'),
    ...reportPosition,
    /** Requests that wait for a model or adapter. */
    waiting: z.array(
      z.object({
        service: z.string(),
        target: z.string(),
        /** 0 when none is left. */
        requests: z.number().int().nonnegative(),
        /** Number of these that a load from disk could still serve before their deadline. */
        timely: z.number().int().nonnegative(),
        /** Priority of the most urgent request; 0 is the highest. */
        priority: z.number(),
        /** Whether a request is held, and not only expected to be sent again. */
        isHeld: z.boolean(),
        /** Whether an engine has the target, so that callers only have to return. */
        isServable: z.boolean(),
        /** Time for which the oldest request has waited. */
        waitedMilliseconds: milliseconds,
      }),
    ),
    /** Number of requests for each model since the sending process started. */
    arrivals: z.array(
      z.object({
        service: z.string(),
        model: z.string(),
        requests: z.number().int(),
      }),
    ),
  }),
  /** Asks the receiver for a complete report, since one of its reports is missing. */
  z.object({
    kind: z.literal('resend_request'),
    report: z.enum(['load_report', 'demand_report', 'replica_state']),
  }),
  /** Load of all hosts, sent by an active host to its standby hosts. */
  z.object({
    kind: z.literal('fleet_digest'),
    /** Unfinished requests of all hosts by endpoint. */
    inFlight: z.array(
      z.object({endpoint: z.string(), requests: z.number().int().positive()}),
    ),
    /** Tokens spent by each team on all hosts, as known to the sender. */
    spent: z.array(z.object({team: z.string(), tokens, level: z.number()})),
    /** Active hosts that the sender has found to be down. */
    downHosts: z.array(z.string()),
  }),
  /** Requests a table of which the sender misses changes. */
  z.object({kind: z.literal('table_request'), table: z.string()}),
  /** Changes of a table of the store, read by one host for its peers. */
  z.object({
    kind: z.literal('table_update'),
    hops,
    table: z.string(),
    /** Era of the store to which the versions belong. */
    era: z.number().int().nonnegative(),
    /** Version up to which the receiver must know the table. */
    afterVersion: version,
    /** Whether the rows are the whole table. */
    isComplete: z.boolean(),
    version,
    rows: z.array(
      z.object({
        key: z.string(),
        /** Null when the row was deleted. */
        value: z.instanceof(Uint8Array).nullable(),
        isCompressed: z.boolean(),
        version,
      }),
    ),
    /** Time of the store's clock at which the table was at `version`. */
    knownAt: milliseconds,
    /** Time of the store's clock at which the reader regained the store. */
    regainedAt: milliseconds.nullable(),
  }),
  /** Changes of the replicas of a pool, sent by the host that manages it. */
  z.object({
    kind: z.literal('replica_state'),
    hops,
    service: z.string(),
    epoch: z.number().int(),
    /** Process that numbers the announcements. */
    announcer: z.string(),
    ...reportPosition,
    /** Latest renewal of the sender's lease. */
    renewal: z
      .object({
        era: z.number().int(),
        version: z.number().int(),
        sinceMilliseconds: milliseconds,
      })
      .optional(),
    engines: z.array(
      z.object({
        endpoint: z.string(),
        /** Start time of the engine process. */
        startedAt: z.number(),
        targets: z.array(z.string()),
        /** Orders that the process has accepted, as far as the sender knows. */
        ordersAccepted: z.number().int().nonnegative().optional(),
      }),
    ),
    /** Models that only the weight store has, and when a further one can be ready. */
    remoteOnly: z.object({
      added: z.array(z.string()),
      removed: z.array(z.string()),
      readyInMilliseconds: milliseconds,
    }),
    /** Expected time until targets without a replica are ready. */
    expected: z.array(
      z.object({target: z.string(), readyInMilliseconds: milliseconds}),
    ),
    /** Targets that are no longer expected. */
    unexpected: z.array(z.string()),
  }),
  /** Reports that the sender gives no more orders to the engines of a service. */
  z.object({
    kind: z.literal('lease_resigned'),
    hops,
    service: z.string(),
    epoch: z.number().int(),
    /** Time since its last order; negative while an order may still arrive. */
    sinceOrderMilliseconds: milliseconds,
  }),
  /** Reports that an endpoint has said in a response that it leaves. */
  z.object({
    kind: z.literal('endpoint_leaving'),
    hops,
    /** Process of the endpoint. */
    incarnation: z.string(),
  }),
  /** Reports how many requests a second an endpoint takes from all hosts. */
  z.object({
    kind: z.literal('endpoint_limit'),
    hops,
    /** Process of the endpoint. */
    incarnation: z.string(),
    /** Null when the endpoint names no limit any more. */
    ratePerSecond: z.number().nonnegative().nullable(),
    /** Set if the message is about a cold phase instead of a limit. */
    cold: coldPhase,
  }),
  /** Asks for a permit to send one request to an endpoint with a limit. */
  z.object({
    kind: z.literal('permit_request'),
    id: correlationId,
    incarnation: z.string(),
    /** Limit that the sender knows. */
    ratePerSecond: z.number().nonnegative(),
    cold: coldPhase,
    /** Longest time that the request can wait. */
    horizonMilliseconds: milliseconds,
  }),
  z.object({
    kind: z.literal('permit_reply'),
    id: correlationId,
    isGranted: z.boolean(),
    /** Time until the request may be sent, or until its caller may return. */
    inMilliseconds: milliseconds.nonnegative(),
  }),
  /** Asks a peer to record at which software versions streams of the sender begin. */
  z.object({
    kind: z.literal('origin_request'),
    id: correlationId,
    streams: z
      .array(
        z.object({
          key: z.string().max(64),
          softwareVersion: z.string().max(200),
          /** Time from now after which its caller does not come back. */
          lifeMilliseconds: milliseconds.nonnegative().max(700_000),
        }),
      )
      .max(800),
  }),
  z.object({
    kind: z.literal('origin_reply'),
    id: correlationId,
    /** Whether the streams are in the store, or only in the memory of the peer so far. */
    state: z.enum(['recorded', 'held']),
  }),
  /** Reports that an endpoint broke off while it ran a request. */
  z.object({
    kind: z.literal('request_broke_endpoint'),
    hops,
    fingerprint: z.string(),
    incarnation: z.string(),
  }),
  /** Reports a change of what is known about parts of prompts that may crash endpoints. */
  z.object({
    kind: z.literal('prompt_part'),
    hops,
    service: z.string(),
    change: promptPartChangeSchema,
  }),
  /** Reports that an endpoint crashed while it ran these requests. */
  z.object({
    kind: z.literal('suspect'),
    endpoint: z.string(),
    /** Incarnation of the crashed endpoint. */
    incarnation: z.string(),
    requests: z.array(
      z.object({
        fingerprint: z.string(),
        team: z.string(),
        route: z.string(),
        /** Whether the request was sent to run in isolation. */
        alone: z.boolean(),
      }),
    ),
  }),
]);

/** A message between two entry hosts. */
export type PeerMessage = z.infer<typeof peerMessageSchema>;

/** A message of one kind. */
export type PeerMessageOf<Kind extends PeerMessage['kind']> = Extract<
  PeerMessage,
  {kind: Kind}
>;
