import {
  REQUEST_ERROR_CODES,
  REQUEST_STEPS,
  type RequestErrorCode,
  RUN_STATES,
} from '../errors/mod.ts';
import type {PromptPartEntry} from './_prompt_part_table.ts';
import type {PromptPartTurn} from './prompt_part_guard.ts';

/** Retry-After value for a request that was held back for a trial. */
const HELD_RETRY_MILLISECONDS = 300;

/** Refuses a request with a blocked part until its block ends. */
export function blockedRefusal(
  {part, blockedUntil}: PromptPartEntry,
  now: number,
): PromptPartTurn {
  return refusal(
    REQUEST_ERROR_CODES.quarantined,
    `Part "${part}" of the prompt has crashed several endpoints`,
    blockedUntil - now,
  );
}

/** Refuses a request that has waited too long for the trial of a part. */
export function heldRefusal(
  suspects: readonly PromptPartEntry[],
): PromptPartTurn {
  return refusal(
    REQUEST_ERROR_CODES.overloaded,
    `Part "${suspects[0]?.part}" of the prompt is being tested after a crash`,
    HELD_RETRY_MILLISECONDS,
  );
}

function refusal(
  code: RequestErrorCode,
  message: string,
  retryAfterMilliseconds: number,
): PromptPartTurn {
  return {
    kind: 'refused',
    error: {
      code,
      message,
      step: REQUEST_STEPS.admit,
      run: RUN_STATES.notRun,
      retryAfterMilliseconds,
    },
  };
}
