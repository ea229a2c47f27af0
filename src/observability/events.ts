/** Severity of a log event. */
export type EventLevel = 'debug' | 'info' | 'warn' | 'error';

/** One entry of the event catalogue. */
export interface EventDefinition {
  /** Stable number; never reused. */
  readonly number: number;
  readonly level: EventLevel;
  /** What happened, as printed in the log. */
  readonly message: string;
}

/**
 * Catalogue of numbered log events. Each block of a hundred belongs to one
 * topic: 1xx process, 2xx configuration and platform, 3xx membership and
 * leases, 4xx limits, 5xx placement, 6xx routing, 7xx requests, 8xx peers.
 */
export const EVENTS = {
  hostStarted: {number: 100, level: 'info', message: 'Host started'},
  hostDraining: {number: 101, level: 'info', message: 'Host is draining'},
  hostStopped: {number: 102, level: 'info', message: 'Host stopped'},
  hostReady: {number: 103, level: 'info', message: 'Host is ready'},
  drainTimedOut: {
    number: 104,
    level: 'warn',
    message: 'Drain time limit passed with requests still open',
  },
  unexpectedFailure: {
    number: 190,
    level: 'error',
    message: 'Unexpected failure',
  },
  settingsReloaded: {
    number: 105,
    level: 'info',
    message: 'Settings file was read again',
  },
  logLinesDropped: {
    number: 106,
    level: 'warn',
    message:
      'Log lines were dropped; the output did not keep up or the limit of lines a second was reached',
  },

  changeCommitted: {
    number: 200,
    level: 'info',
    message: 'Configuration change committed',
  },
  changeApplied: {
    number: 201,
    level: 'debug',
    message: 'Configuration change applied',
  },
  changeInEffect: {
    number: 202,
    level: 'info',
    message: 'Configuration change is in effect',
  },
  changeRejected: {
    number: 203,
    level: 'warn',
    message: 'Configuration change rejected',
  },
  transactionUncertain: {
    number: 212,
    level: 'warn',
    message: 'Transaction outcome uncertain; submitting it again',
  },
  logRowUnreadable: {
    number: 213,
    level: 'error',
    message: 'Log row cannot be read by this version',
  },
  snapshotWritten: {number: 220, level: 'info', message: 'Snapshot written'},
  snapshotRejected: {
    number: 221,
    level: 'warn',
    message: 'Snapshot missing or damaged; reading the log instead',
  },
  storeLost: {
    number: 230,
    level: 'warn',
    message: 'Store cannot be reached; known rows stay in use',
  },
  storeRegained: {
    number: 231,
    level: 'info',
    message: 'Store answers again',
  },
  tableHistoryLost: {
    number: 232,
    level: 'warn',
    message: 'Store has dropped the history of a table; reading it anew',
  },
  configurationApplied: {
    number: 233,
    level: 'info',
    message: 'Configuration is in force on this host',
  },
  configurationUnreadable: {
    number: 234,
    level: 'error',
    message: 'Configuration row cannot be read; the known version stays',
  },
  hostRowWriteFailed: {
    number: 236,
    level: 'warn',
    message: 'Row of this host could not be written; it is tried again',
  },
  rowUnreadable: {
    number: 235,
    level: 'warn',
    message: 'Row cannot be read and names nothing to use',
  },

  viewConfirmed: {number: 300, level: 'info', message: 'View confirmed'},
  viewUnconfirmed: {
    number: 301,
    level: 'warn',
    message: 'View is no longer confirmed',
  },
  memberAdded: {number: 302, level: 'info', message: 'Member added'},
  memberRemoved: {number: 303, level: 'info', message: 'Member removed'},
  leaseAcquired: {number: 310, level: 'info', message: 'Lease acquired'},
  leaseReleased: {number: 311, level: 'info', message: 'Lease released'},
  leaseLost: {number: 312, level: 'warn', message: 'Lease lost'},
  leaseActive: {
    number: 313,
    level: 'info',
    message: 'Lease holder starts to act',
  },
  leaseWriteFailed: {
    number: 314,
    level: 'warn',
    message: 'Write of a lease row failed',
  },

  loanGranted: {number: 400, level: 'debug', message: 'Token loan granted'},
  loanDenied: {number: 401, level: 'info', message: 'Token loan denied'},
  requestRateLimited: {
    number: 402,
    level: 'info',
    message: 'Request refused: rate limit',
  },
  teamShareStarted: {
    number: 403,
    level: 'warn',
    message:
      "Owner of a team is gone; this host uses an even share of the team's rate",
  },

  loadDecided: {number: 500, level: 'info', message: 'Load decided'},
  loadFinished: {number: 501, level: 'info', message: 'Load finished'},
  loadFailed: {number: 502, level: 'warn', message: 'Load failed'},
  unloadDecided: {number: 503, level: 'info', message: 'Unload decided'},
  unloadFinished: {number: 504, level: 'info', message: 'Unload finished'},
  loadUnresolved: {
    number: 505,
    level: 'warn',
    message: 'Outcome of an order is unknown; its memory stays counted',
  },
  loadDeferred: {number: 506, level: 'info', message: 'Load deferred'},
  loadAdopted: {
    number: 507,
    level: 'info',
    message: 'Load in progress adopted from the former holder',
  },
  orderRefused: {
    number: 508,
    level: 'warn',
    message: 'Endpoint refused an order',
  },
  unloadOrdered: {
    number: 509,
    level: 'info',
    message: 'No host uses the draining replica; unload ordered',
  },
  replicasLost: {
    number: 510,
    level: 'warn',
    message: 'Engine process ended; its replicas are gone',
  },
  orderGiven: {
    number: 511,
    level: 'info',
    message: 'Order given to an engine',
  },
  orderSettled: {
    number: 512,
    level: 'info',
    message: 'Order of an engine took effect',
  },
  engineReportFailed: {
    number: 513,
    level: 'warn',
    message: 'Engine gave no report; its state stays in doubt',
  },

  replicaChosen: {number: 600, level: 'info', message: 'Replica chosen'},
  noReplicaYet: {
    number: 601,
    level: 'info',
    message: 'No replica loaded; request waits',
  },
  waitExpired: {
    number: 602,
    level: 'info',
    message: 'Waiting request reached its deadline',
  },
  endpointDown: {number: 610, level: 'warn', message: 'Endpoint is down'},
  endpointUp: {number: 611, level: 'info', message: 'Endpoint is up'},
  endpointLeaving: {
    number: 612,
    level: 'info',
    message: 'Endpoint is leaving; it gets no new work',
  },
  endpointFound: {
    number: 615,
    level: 'info',
    message: 'Endpoint appeared or started again',
  },
  endpointGone: {
    number: 616,
    level: 'info',
    message: 'Endpoint is gone; it gets no new work',
  },
  endpointLapsed: {
    number: 617,
    level: 'warn',
    message:
      'Row of an endpoint lapsed while the store was away; waiting for it to return',
  },
  circuitOpened: {
    number: 613,
    level: 'warn',
    message: 'Circuit breaker opened',
  },
  circuitClosed: {
    number: 614,
    level: 'info',
    message: 'Circuit breaker closed',
  },
  addressesAnswered: {
    number: 620,
    level: 'debug',
    message: 'Address look-up answered',
  },

  requestRetried: {
    number: 700,
    level: 'info',
    message: 'Request is sent to another endpoint',
  },
  connectionSilent: {
    number: 703,
    level: 'warn',
    message: 'Connection to an endpoint went silent; it is closed',
  },
  requestServed: {
    number: 730,
    level: 'info',
    message: 'Request was answered',
  },
  requestRefused: {
    number: 731,
    level: 'info',
    message: 'Request was refused; it has not run',
  },
  requestFailed: {
    number: 732,
    level: 'warn',
    message: 'Request failed; it may have run',
  },
  callerLeft: {
    number: 733,
    level: 'info',
    message: 'Caller left before the answer was complete',
  },
  attemptFailed: {
    number: 734,
    level: 'info',
    message: 'Attempt at an endpoint failed',
  },
  answerDiscarded: {
    number: 735,
    level: 'warn',
    message: 'Answer of an endpoint was discarded',
  },
  streamResumed: {
    number: 736,
    level: 'info',
    message: 'Broken stream goes on at another endpoint',
  },
  streamEndedByKey: {
    number: 704,
    level: 'info',
    message: 'Stream ended: key withdrawn or contract ended',
  },
  claimReplayed: {
    number: 710,
    level: 'info',
    message: 'Stored answer returned for an idempotency key',
  },
  claimUnresolved: {
    number: 711,
    level: 'warn',
    message: 'Outcome of an idempotency claim is unknown',
  },
  requestSuspected: {
    number: 720,
    level: 'warn',
    message: 'Request was in flight when an endpoint died',
  },
  requestQuarantined: {
    number: 721,
    level: 'warn',
    message: 'Request quarantined after two endpoint crashes',
  },
  quarantineReleased: {
    number: 722,
    level: 'info',
    message: 'Quarantine entry released',
  },

  peerConnected: {number: 800, level: 'info', message: 'Peer connected'},
  peerDisconnected: {
    number: 801,
    level: 'info',
    message: 'Peer disconnected',
  },
  peerRefused: {number: 802, level: 'debug', message: 'Peer refused'},
  peerSilent: {
    number: 803,
    level: 'warn',
    message: 'Peer connection went silent; it is closed',
  },
  peerMessageInvalid: {
    number: 804,
    level: 'warn',
    message: 'Invalid message from a peer; connection closed',
  },
  peerOverloaded: {
    number: 805,
    level: 'warn',
    message: 'Peer does not read fast enough; connection closed',
  },
} as const satisfies Record<string, EventDefinition>;

/** Name of an event in {@link EVENTS}. */
export type EventName = keyof typeof EVENTS;
