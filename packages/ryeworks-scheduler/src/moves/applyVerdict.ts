import {WithdrawalEvidence} from '@ryeworks/types';
import {createCount, createLog, Effect} from '../effect.js';
import {SchedulerState} from '../schedulerState.js';
import {Verdict} from '../peerMessage.js';

/** Number of membership messages that carry one verdict. */
const verdictTransmissions = 60;

/** Withdraws a move whose new version was found bad. This is never undone. */
export function applyVerdict(
  state: SchedulerState,
  verdict: Verdict,
  _nowMs: number,
): Effect[] {
  const {membership, moves} = state;
  if (moves.withdrawn.has(verdict.move)) return [];
  const {move, route, observed, bad, availabilityZone} = verdict;
  const symptom = verdict.symptom as WithdrawalEvidence['symptom'];
  const evidence = {symptom, route, observed, bad, availabilityZone};
  moves.withdrawn.set(move, evidence);
  membership.verdicts.set(move, {
    content: verdict,
    remaining: verdictTransmissions,
  });
  return [
    createLog('move_withdrawn', {move, ...evidence}),
    createCount('move.withdrawn', {symptom}),
  ];
}
