import type {
  Route,
  RouteIndex,
  ServiceConfiguration,
  TeamConfiguration,
} from '../deployment/mod.ts';
import type {EndpointRouter, PlacementExplanation} from '../engines/mod.ts';
import {
  failure,
  REQUEST_ERROR_CODES,
  REQUEST_STEPS,
  type RequestError,
  type RequestErrorCode,
  type RequestStep,
  type Result,
  success,
  unreachable,
} from '../errors/mod.ts';
import type {FleetRateLimiter} from '../limits/mod.ts';
import {
  createRoutedRequest,
  type DispatchWindow,
  drainingError,
  findTooLate,
  type PromptPartQuarantine,
  rateRefusal,
  type RequestMetadata,
  type RoutedRequest,
} from '../relay/mod.ts';
import type {Clock} from '../time/mod.ts';

/** The request that an operator asks about. */
export interface ExplanationQuery {
  readonly hostName: string;
  readonly path: string;
  /** `MODEL` or `MODEL/ADAPTER`; undefined for plain services. */
  readonly target: string | undefined;
  /** Name of the team; undefined if the route needs no key. */
  readonly team: string | undefined;
  /** Service of a route with several; undefined for the one with the largest weight. */
  readonly service: string | undefined;
  /** Priority from 0 to 9; undefined for that of the team or route. */
  readonly priority: number | undefined;
  /** Cost in tokens; undefined for the team's usual one. */
  readonly tokens: number | undefined;
  /** Ids of the parts of the prompt that other requests have as well, in order. */
  readonly promptParts: readonly string[];
  /** Time-out of the caller in milliseconds; undefined for that of the route. */
  readonly deadlineMilliseconds: number | undefined;
}

/** Why a query has no explanation. */
export interface ExplanationError {
  readonly code: RequestErrorCode;
  readonly step: RequestStep;
  readonly message: string;
}

/** What would become of a request now. */
export type RequestOutcome =
  | PlacementExplanation['outcome']
  /** Another run tests a part of the prompt that is suspected of crashing engines. */
  | {readonly kind: 'waits_for_trial'};

/** Answer to an {@link ExplanationQuery}. */
export interface RequestExplanation extends Omit<
  PlacementExplanation,
  'outcome'
> {
  readonly host: string;
  readonly dataCentre: string;
  readonly configurationVersion: number;
  readonly route: string;
  readonly service: string;
  /** Services of the route with their shares of its requests. */
  readonly targets: readonly {
    readonly service: string;
    readonly share: number;
  }[];
  readonly target: string | undefined;
  /** Undefined on a route that needs no key. */
  readonly team: string | undefined;
  /** Priority from 0 (highest) to 9. */
  readonly priority: number;
  readonly balancing: 'least_loaded' | 'even';
  readonly admission: 'immediate' | 'ordered';
  /** Whether the request would test a part of its prompt that is suspected. */
  readonly isTrial: boolean;
  readonly outcome: RequestOutcome;
}

/** Options of {@link explainRequest}. */
export interface ExplainRequestOptions {
  hostId: string;
  dataCentre: string;
  balancing: RequestExplanation['balancing'];
  admission: RequestExplanation['admission'];
  clock: Clock;
  /** Index of the current configuration; undefined until one is known. */
  routes: () => RouteIndex | undefined;
  router: Pick<EndpointRouter, 'explain'>;
  rateLimiter: Pick<FleetRateLimiter, 'shortfall'>;
  promptParts: Pick<PromptPartQuarantine, 'preview'>;
  dispatchWindow: DispatchWindow;
}

/** The last part of a prompt belongs to one session; its id decides nothing. */
const SESSION_PART = {id: '', tokens: 0};

/**
 * Explains what this host would do with a request now, with the parts that decide on
 * requests. Nothing is sent, counted, reserved or taken from the team's rate. The body is
 * unknown, so a request that is refused for its body, or because it has crashed several
 * endpoints, is not recognized.
 */
export function explainRequest(
  query: ExplanationQuery,
  options: ExplainRequestOptions,
): Result<RequestExplanation, ExplanationError> {
  const index = options.routes();
  if (index === undefined) {
    return explanationError(
      REQUEST_ERROR_CODES.viewUnconfirmed,
      REQUEST_STEPS.parse,
      'This host knows no configuration yet',
    );
  }
  const found = findSender(query, index);
  if (!found.ok) return found;
  const {route, service, team} = found.value;
  const metadata = metadataOf(query);
  const now = options.clock.monotonicMilliseconds();
  const routed = createRoutedRequest(found.value, metadata, now);
  const request = {...routed, priority: query.priority ?? routed.priority};
  const turn = options.promptParts.preview(request);
  const isTrial = turn.kind === 'trial';
  const placement = options.router.explain(
    request,
    isTrial ? 'least_loaded' : 'affinity',
  );
  const refusedOnArrival =
    now >= options.dispatchWindow.hostLimit(request)
      ? drainingError(REQUEST_STEPS.admit)
      : team === undefined
        ? undefined
        : rateRefusal(team, metadata, (payer, cost) =>
            options.rateLimiter.shortfall(payer, cost),
          );
  const weight = route.targets.reduce((sum, target) => sum + target.weight, 0);
  return success({
    host: options.hostId,
    dataCentre: options.dataCentre,
    configurationVersion: index.configuration.version,
    route: route.name,
    service: service.name,
    targets: route.targets.map(target => ({
      service: target.service,
      share: target.weight / weight,
    })),
    target: query.target,
    team: team?.name,
    priority: request.priority,
    balancing: options.balancing,
    admission: options.admission,
    isTrial,
    outcome: firstOutcome(
      {refusedOnArrival, turn, placement, request},
      options,
    ),
    candidates: placement.candidates,
  });
}

interface Decisions {
  readonly refusedOnArrival: RequestError | undefined;
  readonly turn: ReturnType<PromptPartQuarantine['preview']>;
  readonly placement: PlacementExplanation;
  readonly request: RoutedRequest;
}

/** The decision that ends a request, or else the one on its endpoint. */
function firstOutcome(
  {refusedOnArrival, turn, placement, request}: Decisions,
  options: ExplainRequestOptions,
): RequestOutcome {
  if (refusedOnArrival !== undefined) return refusal(refusedOnArrival);
  switch (turn.kind) {
    case 'refused':
      return refusal(turn.error);
    case 'held':
      return {kind: 'waits_for_trial'};
    case 'trial':
    case 'unrestricted': {
      const {outcome} = placement;
      const tooLate =
        outcome.kind === 'sent' ? findTooLate(request, options) : undefined;
      return tooLate === undefined ? outcome : refusal(tooLate);
    }
    default:
      return unreachable(turn);
  }
}

function refusal(error: RequestError): RequestOutcome {
  return {kind: 'refused', error, reason: undefined, admission: undefined};
}

interface QueriedSender {
  readonly route: Route;
  readonly service: ServiceConfiguration;
  readonly team: TeamConfiguration | undefined;
}

function findSender(
  query: ExplanationQuery,
  index: RouteIndex,
): Result<QueriedSender, ExplanationError> {
  const {services, teams} = index.configuration;
  const route = index.findRoute(query.hostName, query.path);
  if (route === undefined) {
    return explanationError(
      REQUEST_ERROR_CODES.routeNotFound,
      REQUEST_STEPS.parse,
      `No route for ${query.hostName}${query.path}`,
    );
  }
  const names = route.targets.map(({service}) => service);
  const name = query.service ?? mainService(route);
  const service = names.includes(name) ? services.get(name) : undefined;
  if (service === undefined) {
    return explanationError(
      REQUEST_ERROR_CODES.routeNotFound,
      REQUEST_STEPS.parse,
      `Route "${route.name}" has no service "${name}", only ${names.join(', ')}`,
    );
  }
  const team = teams?.find(candidate => candidate.name === query.team);
  if (query.team !== undefined && team === undefined) {
    return explanationError(
      REQUEST_ERROR_CODES.invalidApiKey,
      REQUEST_STEPS.authenticate,
      `There is no team "${query.team}"`,
    );
  }
  const needsTeam = teams !== undefined && !route.open;
  if (needsTeam && team === undefined) {
    return explanationError(
      REQUEST_ERROR_CODES.invalidApiKey,
      REQUEST_STEPS.authenticate,
      `Route "${route.name}" needs the key of a team`,
    );
  }
  const [model = ''] = query.target?.split('/') ?? [];
  if (model !== '' && service.engines?.models.has(model) !== true) {
    return explanationError(
      REQUEST_ERROR_CODES.modelNotFound,
      REQUEST_STEPS.place,
      `Service "${name}" has no model "${model}"`,
    );
  }
  return success({route, service, team: needsTeam ? team : undefined});
}

function mainService({targets}: Route): string {
  const [main] = [...targets].sort((left, right) => right.weight - left.weight);
  return main?.service ?? '';
}

function metadataOf(query: ExplanationQuery): RequestMetadata {
  const [model, adapter] = query.target?.split('/', 2) ?? [];
  const parts = query.promptParts.map(id => ({id, tokens: 0}));
  return {
    requestId: '',
    hostName: query.hostName,
    key: undefined,
    model: model === '' ? undefined : model,
    adapter: adapter === '' ? undefined : adapter,
    tokens: query.tokens,
    promptParts: parts.length === 0 ? [] : [...parts, SESSION_PART],
    deadlineMilliseconds: query.deadlineMilliseconds,
    lastEventId: undefined,
    resumes: undefined,
  };
}

function explanationError(
  code: RequestErrorCode,
  step: RequestStep,
  message: string,
): Result<never, ExplanationError> {
  return failure({code, step, message});
}
