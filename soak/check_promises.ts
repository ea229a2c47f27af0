import {
  type ArrivedOrder,
  type Disruption,
  REPEATABLE_KINDS,
  type SentRequest,
  type SoakRecords,
} from './soak_records.ts';

/** Promises that a soak checks. */
export const PROMISES = [
  'runs_at_most_once',
  'refusal_is_true',
  'answer_is_own_and_whole',
  'one_holder_orders',
  'undisturbed_request_is_answered',
  'withdrawn_key_is_refused',
  'stream_keeps_its_version',
] as const;

/** One of {@link PROMISES}. */
export type Promised = (typeof PROMISES)[number];

/** A broken promise, with what was seen. */
export interface Violation {
  readonly promise: Promised;
  readonly seen: unknown;
}

/** Bounds of the platform's pages, in milliseconds. */
export const BOUNDS = {
  /** Time between the orders of two holders to one engine (`lease_ms`). */
  lease: 3000,
  /** Time after which a host counts as undisturbed (`contact_timeout_ms`). */
  contact: 3000,
  /** Time in which a configuration applies (`config_apply_ms`). */
  configuration: 2000,
  /** Time for which orders of a host that was frozen do not count (`thaw_ms`). */
  thaw: 300,
} as const;

const WHOLE_BODY = 'the whole answer';
/** Ids of the events of a whole stream. */
const EVENTS = [1, 2, 3] as const;

/** Comment in which an event names the software version of its engine. */
const VERSION_COMMENT = /^: (.*)\n/gm;

/** Statuses that promise that a request has not run. */
const NOT_RUN_STATUSES: ReadonlySet<number> = new Set([408, 421, 429, 503]);

/** Checks all promises over the records of a soak. */
export function checkPromises(records: SoakRecords): readonly Violation[] {
  return [
    ...records.requests.flatMap(request => checkRequest(request, records)),
    ...checkOrders(records),
    ...checkVersions(records),
  ];
}

function checkRequest(
  request: SentRequest,
  records: SoakRecords,
): readonly Violation[] {
  const runs = records.runs.get(request.id) ?? 0;
  const {kind, status} = request;
  const broken: Promised[] = [];
  if (!REPEATABLE_KINDS.has(kind)) {
    if (runs > 1) broken.push('runs_at_most_once');
    if (status !== undefined && NOT_RUN_STATUSES.has(status) && runs > 0)
      broken.push('refusal_is_true');
  }
  if (!isOwnAndWhole(request)) broken.push('answer_is_own_and_whole');
  if (isLost(request, runs, records.disruptions))
    broken.push('undisturbed_request_is_answered');
  if (isServedWithWithdrawnKey(request, records))
    broken.push('withdrawn_key_is_refused');
  return broken.map(promise => ({promise, seen: {...request, runs}}));
}

function isOwnAndWhole(request: SentRequest): boolean {
  const {status, kind, isBroken, answeredId, id, afterEvent = 0} = request;
  if (status === undefined || status < 200 || status >= 300) return true;
  const whole =
    kind === 'look' || kind === 'order'
      ? WHOLE_BODY
      : EVENTS.filter(event => event > afterEvent)
          .map(event => `id: ${event}\ndata: event ${event}\n\n`)
          .join('');
  const body = request.body.replaceAll(VERSION_COMMENT, '');
  const isWhole = isBroken ? whole.startsWith(body) : body === whole;
  return answeredId === id && isWhole;
}

/** Whether a request that an endpoint has run was cut off without any reason. */
function isLost(
  {status, isBroken, host, sentAt, endedAt, hasTimedOut}: SentRequest,
  runs: number,
  disruptions: readonly Disruption[],
): boolean {
  const isUnanswered = status === undefined || isBroken;
  if (!isUnanswered || runs === 0 || hasTimedOut) return false;
  // A planned stop of a host cuts no request; an endpoint in trouble may.
  return !disruptions.some(
    ({kind, target, from, to}) =>
      kind !== 'stop' &&
      kind !== 'reload' &&
      (target === host || target?.startsWith('endpoint') === true) &&
      from <= endedAt &&
      to + BOUNDS.contact >= sentAt,
  );
}

function isServedWithWithdrawnKey(
  {key, host, sentAt, status}: SentRequest,
  {withdrawals, disruptions}: SoakRecords,
): boolean {
  const withdrawnAt = withdrawals.get(key);
  if (withdrawnAt === undefined || status === undefined) return false;
  if (status < 200 || status >= 300) return false;
  if (sentAt < withdrawnAt + BOUNDS.configuration) return false;
  const isDisturbed = disruptions.some(
    ({target, from, to}) =>
      (target === undefined || target === host) &&
      from <= sentAt &&
      to + BOUNDS.contact + BOUNDS.configuration >= sentAt,
  );
  return !isDisturbed;
}

/** Finds streams with events of several software versions, over all tries. */
function checkVersions({requests}: SoakRecords): readonly Violation[] {
  const versions = new Map<string, Set<string>>();
  for (const {id, resumes, body} of requests) {
    const stream = resumes ?? id;
    const known = versions.get(stream) ?? new Set<string>();
    for (const [, version = ''] of body.matchAll(VERSION_COMMENT))
      known.add(version);
    versions.set(stream, known);
  }
  return [...versions]
    .filter(([, known]) => known.size > 1)
    .map(([stream, known]) => ({
      promise: 'stream_keeps_its_version',
      seen: {stream, versions: [...known]},
    }));
}

function checkOrders({orders, disruptions}: SoakRecords): readonly Violation[] {
  const byEngine = new Map<string, ArrivedOrder[]>();
  for (const order of orders) {
    if (isThawed(order, disruptions)) continue;
    const known = byEngine.get(order.engine);
    if (known === undefined) byEngine.set(order.engine, [order]);
    else known.push(order);
  }
  return [...byEngine.values()].flatMap(ofEngine =>
    ofEngine.flatMap((order, index) => {
      const former = ofEngine[index - 1];
      if (former === undefined) return [];
      const isRead = isReadInTime(former, disruptions);
      return isAllowedAfter(order, former, isRead)
        ? []
        : [{promise: 'one_holder_orders' as const, seen: {former, order}}];
    }),
  );
}

/** @param isFormerTimed Whether the time of the former order is that of its arrival. */
function isAllowedAfter(
  order: ArrivedOrder,
  former: ArrivedOrder,
  isFormerTimed: boolean,
): boolean {
  if (order.token < former.token) return false;
  if (order.holder === former.holder) return true;
  if (order.token === former.token) return false;
  return !isFormerTimed || order.at - former.at >= BOUNDS.lease;
}

/** Whether the stand-ins have read an order when it arrived, and not some time later. */
function isReadInTime(
  {at}: ArrivedOrder,
  disruptions: readonly Disruption[],
): boolean {
  return !disruptions.some(
    ({kind, from, to}) => kind === 'late_reading' && from <= at && to >= at,
  );
}

function isThawed(
  {holder, at}: ArrivedOrder,
  disruptions: readonly Disruption[],
): boolean {
  return disruptions.some(
    ({kind, target, from, to}) =>
      kind === 'pause' &&
      target === holder &&
      at >= from &&
      at <= to + BOUNDS.thaw,
  );
}
