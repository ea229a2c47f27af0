/**
 * Permits for requests to endpoints that limit the requests a second of all hosts
 * together.
 *
 * ```ts
 * const permit = await broker.acquire(endpoint.incarnation, 250);
 * if (permit.kind === 'granted') await sleep(clock, permit.at - now);
 * ```
 *
 * @module
 */
export {coldBudget, type ColdBudget, type ColdTerms} from './cold_budget.ts';
export {
  type ColdObservation,
  type ColdPhase,
  ColdPhases,
  type ColdPhasesOptions,
} from './cold_phases.ts';
export {
  EndpointLimits,
  type EndpointLimitsOptions,
  type LimitObservation,
} from './endpoint_limits.ts';
export type {Permit} from './permit.ts';
export {
  type ColdDecision,
  PermitBroker,
  type PermitBrokerOptions,
} from './permit_broker.ts';
export {
  PermitSchedule,
  type PermitScheduleOptions,
  type PermitTerms,
} from './permit_schedule.ts';
