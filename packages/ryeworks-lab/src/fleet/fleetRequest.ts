import {Route} from '@ryeworks/dispatch';
import {errorAnswers, ErrorKind, runStatus} from '@ryeworks/types';

/** A caller's request and what the caller got. */
export interface FleetRequest {
  readonly route: Route;
  /** IDs of the parts of its prompt that other prompts may share. */
  readonly sharedParts: readonly string[];
  /** Name of the VM that it was sent to. */
  readonly vm: string;
  readonly sentAtMs: number;
  /** Number of events of a stream that the caller has received. */
  events: number;
  /** Number of times that endpoints ran it. */
  runs: number;
  /** `cut`: the answer had begun and ended before it was complete. */
  outcome: 'open' | 'done' | 'failed' | 'cut';
  /** Error with which the VM answered; undefined if it did not. */
  error: ErrorKind | undefined;
}

/** Returns whether a request ran although its caller was told that it did not. */
export function isWrongNotRun({error, runs}: FleetRequest): boolean {
  if (error === undefined || runs === 0) return false;
  return errorAnswers[error].ran === runStatus.notRun;
}
