/** Severity of a log event. */
export type EventLevel = 'debug' | 'info' | 'warn' | 'error';

/** One entry of the event catalogue. */
export interface EventDefinition {
  /** Stable number, which is never reused. */
  readonly number: number;
  readonly level: EventLevel;
  /** Message text written to the log. */
  readonly message: string;
}

/**
 * Catalogue of numbered log events. Numbers are grouped by topic: 1xx process, 2xx configuration and platform, 3xx membership and
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
    message: 'Drain timed out with requests still open',
  },
  requestOpenAtStop: {
    number: 107,
    level: 'warn',
    message: 'Request still open when its host stops',
  },
  connectionsCut: {
    number: 108,
    level: 'warn',
    message:
      'Connections still in use were closed at the end of the grace period',
  },
  dispatchStopped: {
    number: 109,
    level: 'info',
    message: 'Host refuses requests that no endpoint has received',
  },
  eventLoopDelayed: {
    number: 110,
    level: 'warn',
    message:
      'Event loop is behind; requests and timers wait before they are handled',
  },
  eventLoopRecovered: {
    number: 111,
    level: 'info',
    message: 'Event loop keeps up again',
  },
  addressInUse: {
    number: 112,
    level: 'warn',
    message: 'Address to listen on is in use; waiting until it is free',
  },
  listenerFailed: {
    number: 113,
    level: 'error',
    message: 'Listening server reported an error',
  },
  unexpectedFailure: {
    number: 190,
    level: 'error',
    message: 'Unexpected failure',
  },
  settingsReloaded: {
    number: 105,
    level: 'info',
    message: 'Settings file reloaded',
  },
  logLinesDropped: {
    number: 106,
    level: 'warn',
    message:
      'Log lines dropped: the output was too slow or the limit of lines per second was reached',
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
    message: 'Transaction outcome unknown; submitting it again',
  },
  logRowUnreadable: {
    number: 213,
    level: 'error',
    message: 'Log row cannot be parsed by this version',
  },
  snapshotWritten: {number: 220, level: 'info', message: 'Snapshot written'},
  snapshotRejected: {
    number: 221,
    level: 'warn',
    message: 'Snapshot missing or corrupt; reading the log instead',
  },
  storeLost: {
    number: 230,
    level: 'warn',
    message: 'Store unavailable; continuing with the last known rows',
  },
  storeRegained: {
    number: 231,
    level: 'info',
    message: 'Store available again',
  },
  tableHistoryLost: {
    number: 232,
    level: 'warn',
    message:
      'Store no longer has the change history of a table; reading the whole table',
  },
  storeRestored: {
    number: 239,
    level: 'warn',
    message:
      'Store came back from an older copy; reading the whole table again',
  },
  dataCentreEvacuated: {
    number: 240,
    level: 'warn',
    message: 'Data centre is evacuated; nothing is sent to its endpoints',
  },
  dataCentreReturned: {
    number: 241,
    level: 'info',
    message: 'Evacuation of a data centre is cancelled; its endpoints are used',
  },
  evacuationUnchanged: {
    number: 242,
    level: 'warn',
    message: 'Change of an evacuation has no effect',
  },
  configurationApplied: {
    number: 233,
    level: 'info',
    message: 'Configuration applied on this host',
  },
  configurationUnreadable: {
    number: 234,
    level: 'error',
    message: 'Configuration row cannot be parsed; keeping the current version',
  },
  hostRowWriteFailed: {
    number: 236,
    level: 'warn',
    message: 'Writing the row of this host failed; retrying',
  },
  tableUpdatesLate: {
    number: 237,
    level: 'warn',
    message:
      'Updates of a table from peers are late; this host reads the store itself',
  },
  tableUpdatesResumed: {
    number: 238,
    level: 'info',
    message: 'Updates from peers keep the copy of a table fresh again',
  },
  rowUnreadable: {
    number: 235,
    level: 'warn',
    message: 'Row cannot be parsed; treating it as absent',
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
    message: 'Lease holder became active',
  },
  leaseWriteFailed: {
    number: 314,
    level: 'warn',
    message: 'Writing a lease row failed',
  },
  epochsExhausted: {
    number: 315,
    level: 'error',
    message: 'Era or version of the store is too high for an epoch',
  },

  loanGranted: {number: 400, level: 'debug', message: 'Token loan granted'},
  loanDenied: {number: 401, level: 'info', message: 'Token loan denied'},
  requestRateLimited: {
    number: 402,
    level: 'info',
    message: 'Request refused: rate limit exceeded',
  },
  teamShareStarted: {
    number: 403,
    level: 'warn',
    message:
      "Owner of a team's limit has stopped; this host uses an even share of the team's rate",
  },

  loadDecided: {number: 500, level: 'info', message: 'Load decided'},
  loadFinished: {number: 501, level: 'info', message: 'Load finished'},
  loadFailed: {number: 502, level: 'warn', message: 'Load failed'},
  unloadDecided: {number: 503, level: 'info', message: 'Unload decided'},
  unloadFinished: {number: 504, level: 'info', message: 'Unload finished'},
  loadUnresolved: {
    number: 505,
    level: 'warn',
    message: 'Outcome of an order is unknown; its memory remains reserved',
  },
  loadDeferred: {number: 506, level: 'info', message: 'Load deferred'},
  loadAdopted: {
    number: 507,
    level: 'info',
    message: 'Load in progress taken over from the previous lease holder',
  },
  orderRefused: {
    number: 508,
    level: 'warn',
    message: 'Endpoint refused an order',
  },
  unloadOrdered: {
    number: 509,
    level: 'info',
    message: 'Draining replica no longer used by any host; unload ordered',
  },
  replicasLost: {
    number: 510,
    level: 'warn',
    message: 'Engine process ended; its replicas are lost',
  },
  orderGiven: {
    number: 511,
    level: 'info',
    message: 'Order sent to an engine',
  },
  orderSettled: {
    number: 512,
    level: 'info',
    message: 'Order to an engine took effect',
  },
  engineReportFailed: {
    number: 513,
    level: 'warn',
    message: 'Status request to an engine failed; its state remains unknown',
  },

  replicaChosen: {number: 600, level: 'info', message: 'Replica chosen'},
  noReplicaYet: {
    number: 601,
    level: 'info',
    message: 'No replica loaded; request is waiting',
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
    message: 'Endpoint is leaving; no new requests are sent to it',
  },
  endpointFound: {
    number: 615,
    level: 'info',
    message: 'Endpoint discovered or restarted',
  },
  endpointGone: {
    number: 616,
    level: 'info',
    message: 'Endpoint is gone; no new requests are sent to it',
  },
  endpointLapsed: {
    number: 617,
    level: 'warn',
    message:
      'Row of an endpoint expired while the store was unavailable; waiting for the endpoint to return',
  },
  endpointLimited: {
    number: 618,
    level: 'info',
    message: 'Endpoint takes a limited number of requests from all hosts',
  },
  endpointLimitEnded: {
    number: 619,
    level: 'info',
    message: 'Endpoint takes any number of requests again',
  },
  endpointCold: {
    number: 621,
    level: 'info',
    message: 'Endpoint is cold and takes few requests from all hosts',
  },
  endpointColdEnded: {
    number: 622,
    level: 'info',
    message: 'Cold phase of an endpoint has ended',
  },
  endpointPresumedCold: {
    number: 623,
    level: 'info',
    message:
      'Endpoint is presumed cold after a failed connection; its next process may be',
  },
  admissionRefused: {
    number: 624,
    level: 'info',
    message:
      'Request refused: engines that have its model have no room within its time',
  },
  endpointLoadUneven: {
    number: 630,
    level: 'info',
    message: 'An endpoint has at least twice the mean load of its alternatives',
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
    message: 'Address lookup answered',
  },

  requestRetried: {
    number: 700,
    level: 'info',
    message: 'Request retried on another endpoint',
  },
  connectionSilent: {
    number: 703,
    level: 'warn',
    message: 'Connection to an endpoint received no data in time; closing it',
  },
  streamOriginUnrecorded: {
    number: 760,
    level: 'warn',
    message:
      'A stream begins although the store does not know its software version; peers remember it',
  },
  streamOriginRefused: {
    number: 763,
    level: 'warn',
    message:
      'A stream was refused because neither this host nor a peer can record its software version',
  },
  streamPageWriteFailed: {
    number: 761,
    level: 'warn',
    message: 'Software versions of streams could not be written to the store',
  },
  streamOriginsDropped: {
    number: 762,
    level: 'warn',
    message: 'Too many streams to record the software version of each',
  },
  requestServed: {
    number: 730,
    level: 'info',
    message: 'Request served',
  },
  requestRefused: {
    number: 731,
    level: 'info',
    message: 'Request refused; it was not executed',
  },
  requestFailed: {
    number: 732,
    level: 'warn',
    message: 'Request failed; it may have been executed',
  },
  callerLeft: {
    number: 733,
    level: 'info',
    message: 'Caller disconnected before the response was complete',
  },
  attemptFailed: {
    number: 734,
    level: 'info',
    message: 'Attempt on an endpoint failed',
  },
  answerDiscarded: {
    number: 735,
    level: 'warn',
    message: 'Response of an endpoint discarded',
  },
  streamResumed: {
    number: 736,
    level: 'info',
    message: 'Interrupted stream resumed on another endpoint',
  },
  readerTooSlow: {
    number: 737,
    level: 'warn',
    message: 'Response broken off: its caller does not read it',
  },
  streamEndedByKey: {
    number: 704,
    level: 'info',
    message: 'Stream ended: key withdrawn or contract ended',
  },
  claimReplayed: {
    number: 710,
    level: 'info',
    message: 'Stored response returned for an idempotency key',
  },
  claimUnresolved: {
    number: 711,
    level: 'warn',
    message: 'Outcome of an idempotency claim is unknown',
  },
  requestSuspected: {
    number: 720,
    level: 'warn',
    message: 'Request was in flight when an endpoint crashed',
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

  promptPartSuspected: {
    number: 723,
    level: 'warn',
    message:
      'Parts of a prompt suspected: an endpoint crashed before their request had begun',
  },
  promptPartTrialStarted: {
    number: 724,
    level: 'info',
    message: 'Suspected parts of a prompt sent to an endpoint as a trial',
  },
  promptPartCleared: {
    number: 725,
    level: 'info',
    message:
      'Suspected parts of a prompt cleared: a request with them has begun',
  },
  promptPartBlocked: {
    number: 726,
    level: 'warn',
    message: 'Parts of a prompt blocked: an endpoint crashed in their trial',
  },
  promptPartReleased: {
    number: 727,
    level: 'info',
    message: 'Part of a prompt released by an operator',
  },

  peerConnected: {number: 800, level: 'info', message: 'Peer connected'},
  peerDisconnected: {
    number: 801,
    level: 'info',
    message: 'Peer disconnected',
  },
  peerRefused: {
    number: 802,
    level: 'debug',
    message: 'Connection to a peer failed',
  },
  peerSilent: {
    number: 803,
    level: 'warn',
    message: 'Peer connection received no data in time; closing it',
  },
  peerMessageInvalid: {
    number: 804,
    level: 'warn',
    message: 'Invalid message from a peer; connection closed',
  },
  peerOverloaded: {
    number: 805,
    level: 'warn',
    message: 'Peer reads too slowly; connection closed',
  },
  peerTraffic: {
    number: 806,
    level: 'info',
    message: 'Role of this host and bytes sent to its peers, by message',
  },
} as const satisfies Record<string, EventDefinition>;

/** Name of an event in {@link EVENTS}. */
export type EventName = keyof typeof EVENTS;
