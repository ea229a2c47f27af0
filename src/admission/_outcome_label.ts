import {unreachable} from '../errors/mod.ts';
import type {AdmissionOutcome} from './admission_outcome.ts';

/** Label of an outcome in metrics. */
export function outcomeLabel(outcome: AdmissionOutcome): string {
  switch (outcome.kind) {
    case 'refused':
      return `refused_${outcome.reason}`;
    case 'admitted':
    case 'no_candidate':
    case 'aborted':
      return outcome.kind;
    default:
      return unreachable(outcome);
  }
}
