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
import {NodeState} from './nodeState.js';
import {expireGrantRequest} from './requests/askForGrant.js';
import {expireClaim} from './requests/handleClaimAnswer.js';
import {expireProgress} from './requests/handleEndpointEvents.js';
import {expireRequest} from './requests/handleRequestReceived.js';
import {startAttempt} from './requests/startAttempt.js';
import {TimerPurpose} from './timerPurpose.js';

const timerHandlers: Record<TimerPurpose, TimerHandler<NodeState, Effect>> = {
  probe: probeMember,
  probeTimeout: expireProbe,
  suspicion: expireSuspicion,
  requestDeadline: expireRequest,
  askTimeout: expireGrantRequest,
  retryBackoff: startAttempt,
  progress: expireProgress,
  claimTimeout: expireClaim,
  copyTimeout: expireClaimCopy,
  cellSweep: sweepCell,
  renewGrants,
  reportLimits,
  reportEvidence,
  leadMoves: updateMoves,
  sweepClaims,
  reportStatus,
};

/** Runs every timer that is due. */
export function handleTimerDue(
  state: NodeState,
  _input: TimerDue,
  nowMs: number,
): Effect[] {
  return runDueTimers(state.timers, timerHandlers, state, nowMs);
}
