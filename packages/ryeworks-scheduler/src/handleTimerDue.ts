import {sweepCell} from './admission/handleAdmission.js';
import {renewGrants} from './admission/renewGrants.js';
import {expireCopy, sweepClaims} from './claims/handleClaims.js';
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
import {leadMoves} from './moves/leadMoves.js';
import {NodeState} from './nodeState.js';
import {expireAsk} from './requests/askForGrant.js';
import {expireClaim} from './requests/handleClaimAnswer.js';
import {expireProgress} from './requests/handleEndpointEvents.js';
import {expireRequest} from './requests/handleRequestReceived.js';
import {startAttempt} from './requests/startAttempt.js';
import {TimerPurpose} from './timerPurpose.js';

/** Decides what to do when a timer fires. */
type TimerHandler = (
  state: NodeState,
  subject: string,
  nowMs: number,
) => Effect[];

const timerHandlers: Record<TimerPurpose, TimerHandler> = {
  probe: probeMember,
  probeTimeout: expireProbe,
  suspicion: expireSuspicion,
  requestDeadline: expireRequest,
  askTimeout: expireAsk,
  retryBackoff: startAttempt,
  progress: expireProgress,
  claimTimeout: expireClaim,
  copyTimeout: expireCopy,
  cellSweep: sweepCell,
  renewGrants,
  reportLimits,
  reportEvidence,
  leadMoves,
  sweepClaims,
  reportStatus,
};

/** Runs every timer that is due. */
export function handleTimerDue(
  state: NodeState,
  _input: TimerDue,
  nowMs: number,
): Effect[] {
  const effects: Effect[] = [];
  for (;;) {
    const timer = state.timers.takeDue(nowMs);
    if (timer === undefined) return effects;
    const handler = timerHandlers[timer.purpose];
    effects.push(...handler(state, timer.subject, nowMs));
  }
}
