import {
  InvalidConfigError,
  PlatformAnswerLostError,
  PlatformError,
  VersionConflictError,
} from '@ryeworks/types';

/** Exit codes of the command line. */
export const exitCodes = {
  ok: 0,
  failed: 1,
  invalidContent: 3,
  conflict: 4,
  platformUnreachable: 5,
  outcomeUnknown: 6,
} as const;

/** Kinds of errors and the exit code of each. */
const exitCodesByError = [
  {ErrorClass: InvalidConfigError, code: exitCodes.invalidContent},
  {ErrorClass: VersionConflictError, code: exitCodes.conflict},
  {ErrorClass: PlatformAnswerLostError, code: exitCodes.outcomeUnknown},
  {ErrorClass: PlatformError, code: exitCodes.platformUnreachable},
] as const;

/** Returns the exit code of an error. */
export function getExitCode(error: unknown): number {
  for (const {ErrorClass, code} of exitCodesByError) {
    if (error instanceof ErrorClass) return code;
  }
  return exitCodes.failed;
}
