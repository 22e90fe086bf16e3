import {runDueTimers, TimerHandler} from '@ryeworks/utils';
import {sweepCell} from './admission/handleAdmission.js';
import {renewGrants} from './admission/renewGrants.js';
import {expireClaimCopy, sweepClaims} from './claims/handleClaims.js';
import {Effect} from './effect.js';
import {TimerDue} from './input.js';
import {reportLimits} from './limits/handleLimits.js';
import {
  expireProbe,
  expireSuspicion,
  probeMember,
} from './membership/probeMember.js';
import {reportStatus} from './membership/reportStatus.js';
import {reportEvidence} from './moves/handleEvidence.js';
import {updateMoves} from './moves/updateMoves.js';
import {SchedulerState} from './schedulerState.js';
import {expireGrantRequest} from './requests/askForGrant.js';
import {expireClaim} from './requests/handleClaimAnswer.js';
import {expireProgress, resumeAgain} from './requests/handleEndpointEvents.js';
import {expireRequest} from './requests/expireRequest.js';
import {startAttempt} from './requests/startAttempt.js';
import {TimerPurpose} from './timerPurpose.js';

const timerHandlers: Record<
  TimerPurpose,
  TimerHandler<SchedulerState, Effect>
> = {
  probe: probeMember,
  probeTimeout: expireProbe,
  suspicionTimeout: expireSuspicion,
  requestDeadline: expireRequest,
  grantRequestTimeout: expireGrantRequest,
  retryBackoff: startAttempt,
  progressTimeout: expireProgress,
  resumeBackoff: resumeAgain,
  claimTimeout: expireClaim,
  claimCopyTimeout: expireClaimCopy,
  cellSweep: sweepCell,
  renewGrants,
  reportLimits,
  reportEvidence,
  updateMoves,
  sweepClaims,
  reportStatus,
};

/** Runs the handler of every timer that is due. */
export function handleTimerDue(
  state: SchedulerState,
  _input: TimerDue,
  nowMs: number,
): Effect[] {
  return runDueTimers(state.timers, timerHandlers, state, nowMs);
}
