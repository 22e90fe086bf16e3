import {DispatchState} from '../dispatchState.js';
import {Effect} from '../effect.js';
import {PermitAnswer, PermitAsk, permitOutcome} from '../peers/peerMessage.js';
import {assignPermits, createAnswer, decideAsk} from './decidePermits.js';
import {applyLimitReport} from './limitReports.js';
import {isLimitOwner} from './permits.js';
import {handlePermitAnswer} from './requestPermits.js';
import {applyColdReport} from './warmUp.js';

/** Sends the answer to an ask of a peer. */
function sendAnswer(address: string, message: PermitAnswer): Effect {
  return {kind: 'sendPeer', address, message};
}

/**
 * Answers a peer that asks for a permit. An ask for an endpoint whose limit
 * another VM owns is not answered; the peer then asks again.
 */
export function handlePermitAsk(
  state: DispatchState,
  ask: PermitAsk,
  nowMs: number,
): Effect[] {
  const {address, endpointId} = ask;
  const entry = state.endpoints.byId.get(endpointId);
  if (entry === undefined) return [];
  const effects = applyColdReport(state, entry, ask.coldForMs, nowMs);
  if (ask.isNamed !== false) {
    const report = ask.limit;
    effects.push(...applyLimitReport(state, entry, report, ask.vm, nowMs));
  }
  const {limit} = entry;
  if (limit === undefined) {
    const answer = createAnswer(state, ask, permitOutcome.granted, 0);
    effects.push(sendAnswer(address, answer));
    return effects;
  }
  if (!isLimitOwner(state, limit)) return effects;
  effects.push(sendAnswer(address, decideAsk(state, limit, ask, nowMs)));
  return effects;
}

/** Grants the permits of an endpoint that have become available. */
export function expirePermitWait(
  state: DispatchState,
  endpointId: string,
  nowMs: number,
): Effect[] {
  const limit = state.endpoints.byId.get(endpointId)?.limit;
  if (limit === undefined || !isLimitOwner(state, limit)) return [];
  const effects: Effect[] = [];
  for (const {answer, ask} of assignPermits(state, limit, endpointId, nowMs)) {
    const isOwn = ask.vm === state.options.vm;
    if (isOwn) effects.push(...handlePermitAnswer(state, answer, nowMs));
    else effects.push(sendAnswer(ask.address, answer));
  }
  return effects;
}
