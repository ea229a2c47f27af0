import type {
  AdmissionPreview,
  AdmissionState,
  OrderedAdmission,
} from '../admission/mod.ts';
import {
  failure,
  REQUEST_STEPS,
  type RequestError,
  type Result,
  unreachable,
} from '../errors/mod.ts';
import {
  chooseEndpoint,
  type ChooseEndpointOptions,
  type Endpoint,
  type EndpointRegistry,
  rankEndpoints,
} from '../fleet/mod.ts';
import type {EndpointLimits} from '../permits/mod.ts';
import {drainingError, type RoutedRequest, targetOf} from '../relay/mod.ts';
import type {Clock} from '../time/mod.ts';
import type {LimitedEndpoints} from './_limited_endpoints.ts';
import {
  modelNotFound,
  noEndpoint,
  noRoomInTime,
  serviceEvacuated,
} from './_refusal.ts';
import type {EndpointBalancer} from './endpoint_balancer.ts';
import {
  type AdmissionFigures,
  type EndpointExplanation,
  EXCLUSION_REASONS,
  type ExclusionReason,
  type PlacementExplanation,
  type PlacementOutcome,
} from './placement_explanation.ts';
import type {ReplicaMap} from './replica_map.ts';

/** The parts of the router that decide on a request. */
export interface PlacementParts {
  clock: Clock;
  registry: EndpointRegistry;
  replicas: ReplicaMap;
  limits: EndpointLimits;
  limited: LimitedEndpoints;
  balancer?: EndpointBalancer;
  orderedAdmission: OrderedAdmission | undefined;
  /** Options of the choice for the request. */
  choice: ChooseEndpointOptions;
  /** Monotonic time until which the request may wait. */
  waitDeadline: number;
  /** Chooses an endpoint that has room, given the one that was drawn. */
  chooseDrawn: (
    endpoints: readonly Endpoint[],
    drawn: Endpoint,
  ) => Endpoint | undefined;
  /** Error of a request whose target cannot be served in its time. */
  findTooLate: (target: string, roomAt: number) => RequestError | undefined;
}

/** Probability of each endpoint that may be chosen. */
type Probabilities = ReadonlyMap<Endpoint, number>;

interface Decision {
  readonly outcome: PlacementOutcome;
  readonly probabilities: Probabilities;
  /** Engines that have room, if that was examined. */
  readonly below: readonly Endpoint[] | undefined;
}

interface Choices {
  /** Endpoints that the request may be sent to. */
  readonly candidates: readonly Endpoint[];
  readonly probabilities: Probabilities;
}

const NO_PROBABILITIES: Probabilities = new Map();

/**
 * Explains which endpoint a request would be sent to now, with the parts that decide on
 * requests. Nothing is sent, counted or reserved, so no permit is asked for either.
 */
export function explainPlacement(
  request: RoutedRequest,
  parts: PlacementParts,
): PlacementExplanation {
  const {service} = request;
  const target = targetOf(request.metadata);
  const isModelRequest = service.engines !== undefined && target !== '';
  const candidates = isModelRequest
    ? parts.replicas.holders(service.name, target)
    : parts.registry.usable(service.name);
  const decision = decide(request, candidates, isModelRequest, parts);
  const endpoints = [...parts.registry.all()].filter(
    ({record}) => record.service === service.name,
  );
  return {
    outcome: decision.outcome,
    candidates: endpoints
      .map(endpoint =>
        explainEndpoint(endpoint, {
          ...parts,
          ...decision,
          target: isModelRequest ? target : '',
          candidates,
        }),
      )
      .sort(
        (left, right) =>
          Number(left.excluded !== undefined) -
            Number(right.excluded !== undefined) || left.cost - right.cost,
      ),
  };
}

function decide(
  request: RoutedRequest,
  candidates: readonly Endpoint[],
  isModelRequest: boolean,
  parts: PlacementParts,
): Decision {
  const {service, metadata} = request;
  const {model = ''} = metadata;
  if (isModelRequest && service.engines?.models.has(model) !== true)
    return refused(modelNotFound(service.name, model));
  if (parts.orderedAdmission !== undefined && isModelRequest) {
    const preview = parts.orderedAdmission.preview({
      request,
      signal: new AbortController().signal,
      isAllowed: endpoint => !isPassedOver(endpoint, candidates, parts),
      choose: parts.chooseDrawn,
    });
    if (preview.kind !== 'no_candidate')
      return admissionDecision(request, preview, candidates, parts);
  }
  const open = candidates.filter(
    endpoint =>
      parts.limited.closedUntil(endpoint) === undefined &&
      !isPassedOver(endpoint, candidates, parts),
  );
  const probabilities = probabilitiesOf(request, open, parts);
  if (probabilities.size > 0)
    return sent(request, {candidates, probabilities}, parts);
  return withoutEndpoint(request, candidates, isModelRequest, parts);
}

function isPassedOver(
  endpoint: Endpoint,
  candidates: readonly Endpoint[],
  {choice, limited}: Pick<PlacementParts, 'choice' | 'limited'>,
): boolean {
  return limited.isPassedOver(endpoint, candidates, choice.excluded);
}

/**
 * Endpoints that are closed or passed over are left out; the router drops them once they
 * are chosen.
 */
function probabilitiesOf(
  request: RoutedRequest,
  open: readonly Endpoint[],
  {balancer, choice}: PlacementParts,
): Probabilities {
  if (balancer !== undefined)
    return balancer.probabilities(open, request, choice);
  const chosen = chooseEndpoint(open, choice);
  return chosen === undefined ? NO_PROBABILITIES : new Map([[chosen, 1]]);
}

function sent(
  request: RoutedRequest,
  {candidates, probabilities}: Choices,
  {choice, limited, limits, waitDeadline}: PlacementParts,
  admission?: AdmissionState,
): Decision {
  const [first] = [...probabilities].sort(
    ([, left], [, right]) => right - left,
  );
  if (first === undefined) throw new Error('No endpoint can be chosen');
  const [likeliest] = first;
  const isCold = limits.coldPhaseOf(likeliest.incarnation) !== undefined;
  const waitsForPermit =
    !isCold || !limited.isAnyOpen(candidates, choice.excluded);
  return {
    outcome: {
      kind: 'sent',
      endpoint: likeliest.record.id,
      permitWaitMilliseconds: limited.has(likeliest)
        ? waitsForPermit
          ? limited.permitHorizon(request, waitDeadline)
          : 0
        : undefined,
      admission: admission && figuresOf(admission),
    },
    probabilities,
    below: admission?.below,
  };
}

function admissionDecision(
  request: RoutedRequest,
  preview: Exclude<AdmissionPreview, {kind: 'no_candidate'}>,
  candidates: readonly Endpoint[],
  parts: PlacementParts,
): Decision {
  switch (preview.kind) {
    case 'admitted': {
      const probabilities = admittedProbabilities(request, preview, parts);
      return sent(request, {candidates, probabilities}, parts, preview);
    }
    case 'waits':
      return {
        outcome: {
          kind: 'waits_for_room',
          admission: figuresOf(preview),
          longestMilliseconds: longestWait(parts),
        },
        probabilities: NO_PROBABILITIES,
        below: preview.below,
      };
    case 'refused': {
      const error =
        preview.reason === 'draining'
          ? failure(drainingError(REQUEST_STEPS.place))
          : noRoomInTime(targetOf(request.metadata));
      return refused(error, preview);
    }
    default:
      return unreachable(preview);
  }
}

function admittedProbabilities(
  request: RoutedRequest,
  {below, drawShares}: Extract<AdmissionPreview, {kind: 'admitted'}>,
  {balancer, choice, chooseDrawn}: PlacementParts,
): Probabilities {
  // The balancer chooses without the drawn one, and records each choice.
  if (balancer !== undefined)
    return balancer.probabilities(below, request, choice);
  const probabilities = new Map<Endpoint, number>();
  for (const [drawn, share] of drawShares) {
    const chosen = chooseDrawn(below, drawn);
    if (chosen !== undefined)
      probabilities.set(chosen, (probabilities.get(chosen) ?? 0) + share);
  }
  return probabilities;
}

function withoutEndpoint(
  request: RoutedRequest,
  candidates: readonly Endpoint[],
  isModelRequest: boolean,
  parts: PlacementParts,
): Decision {
  const {clock, limited, registry, replicas} = parts;
  const service = request.service.name;
  if (registry.isServiceEvacuated(service))
    return refused(serviceEvacuated(service));
  const now = clock.monotonicMilliseconds();
  const roomAt = Math.min(
    ...candidates.map(endpoint => limited.closedUntil(endpoint) ?? Infinity),
  );
  if (!isModelRequest) return refused(noEndpoint(service, roomAt - now));
  const target = targetOf(request.metadata);
  const error = parts.findTooLate(target, roomAt);
  if (error !== undefined) return refused(failure(error));
  const model = request.metadata.model ?? target;
  const expectedAt =
    replicas.expectedAt(service, model) ??
    replicas.remoteReadyAt(service, model);
  const readyAt = Math.min(expectedAt ?? Infinity, roomAt);
  return {
    outcome: {
      kind: 'waits_for_replica',
      expectedMilliseconds: Number.isFinite(readyAt)
        ? Math.max(0, readyAt - now)
        : undefined,
      longestMilliseconds: longestWait(parts),
    },
    probabilities: NO_PROBABILITIES,
    below: undefined,
  };
}

function refused(
  result: Result<Endpoint, RequestError>,
  preview?: Extract<AdmissionPreview, {kind: 'refused'}>,
): Decision {
  if (result.ok) throw new Error('A refusal without an error');
  return {
    outcome: {
      kind: 'refused',
      error: result.error,
      reason: preview?.reason,
      admission: preview && figuresOf(preview),
    },
    probabilities: NO_PROBABILITIES,
    below: preview?.below,
  };
}

function longestWait({clock, waitDeadline}: PlacementParts): number {
  return Math.max(0, waitDeadline - clock.monotonicMilliseconds());
}

function figuresOf(state: AdmissionState): AdmissionFigures {
  const {level, levelNeeded, ahead, expectedWaitMilliseconds} = state;
  return {level, levelNeeded, ahead, expectedWaitMilliseconds};
}

interface EndpointContext extends PlacementParts {
  /** Empty if the request names no model of an engine. */
  readonly target: string;
  readonly candidates: readonly Endpoint[];
  readonly probabilities: Probabilities;
  readonly below: readonly Endpoint[] | undefined;
}

function explainEndpoint(
  endpoint: Endpoint,
  context: EndpointContext,
): EndpointExplanation {
  const {clock, choice, limited, limits, probabilities} = context;
  const {condition, incarnation, record} = endpoint;
  const now = clock.monotonicMilliseconds();
  const closedUntil = limited.closedUntil(endpoint);
  const coldUntil = limits.coldPhaseOf(incarnation)?.until ?? now;
  return {
    endpoint: record.id,
    dataCentre: record.dataCentre,
    slots: record.slots,
    requests: endpoint.inFlight + endpoint.reserved + endpoint.peerInFlight,
    occupancy: endpoint.occupancy,
    failureRate: condition.failureRate,
    limitPerSecond: limits.rateOf(incarnation),
    coldMilliseconds: coldUntil - now,
    pausedMilliseconds: condition.pauseLeft(now),
    closedMilliseconds: closedUntil === undefined ? 0 : closedUntil - now,
    cost: rankEndpoints([endpoint], choice)[0]?.cost ?? 0,
    excluded: exclusionOf(endpoint, context),
    probability: probabilities.get(endpoint) ?? 0,
  };
}

function exclusionOf(
  endpoint: Endpoint,
  context: EndpointContext,
): ExclusionReason | undefined {
  const {below, candidates, choice, limited, registry, replicas, target} =
    context;
  const isClosed = (candidate: Endpoint) =>
    limited.closedUntil(candidate) !== undefined;
  const isCold = (candidate: Endpoint) =>
    isPassedOver(candidate, candidates, context);
  const isPaused = ({condition}: Endpoint) => condition.isPaused(choice.now);
  if (registry.isLeaving(endpoint)) return EXCLUSION_REASONS.leaving;
  if (registry.isEvacuated(endpoint.record)) return EXCLUSION_REASONS.evacuated;
  if (target !== '' && replicas.hasRefused(endpoint, target))
    return EXCLUSION_REASONS.refusedRecently;
  if (!candidates.includes(endpoint)) return EXCLUSION_REASONS.modelNotLoaded;
  if (isClosed(endpoint)) return EXCLUSION_REASONS.closed;
  if (isCold(endpoint)) return EXCLUSION_REASONS.cold;
  const hasOthers = candidates.some(
    candidate =>
      !isClosed(candidate) && !isCold(candidate) && !isPaused(candidate),
  );
  if (isPaused(endpoint) && hasOthers) return EXCLUSION_REASONS.paused;
  return below !== undefined && !below.includes(endpoint)
    ? EXCLUSION_REASONS.full
    : undefined;
}
