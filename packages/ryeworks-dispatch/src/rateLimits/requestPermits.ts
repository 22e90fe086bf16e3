import {pickRandom} from '@ryeworks/utils';
import {admitWaiting} from '../admission/admitWaiting.js';
import {DispatchState, getQueue} from '../dispatchState.js';
import {createCount, createLog, Effect} from '../effect.js';
import {
  isOpen,
  listCallableEndpoints,
  requestObstacle,
} from '../endpoints/callObstacles.js';
import {EndpointEntry, listEndpoints} from '../endpoints/endpointTable.js';
import {PermitAnswer, PermitAsk} from '../peers/peerMessage.js';
import {ActiveRequest} from '../requests/activeRequest.js';
import {failRequest} from '../requests/endRequest.js';
import {decideAsk} from './decidePermits.js';
import {createLimitReport} from './limitReports.js';
import {isLimitOwner} from './permits.js';
import {getAllowedPerSecond, isCold, isNamed, RateLimit} from './rateLimit.js';

/** Time after which an ask without an answer is repeated elsewhere, in ms. */
const askTimeoutMs = 150;
/** Maximum number of owners that one request asks before it is refused. */
const maxAsks = 3;
/** Number of waiting requests of a service, most urgent first, that ask. */
const maxAskingRequests = 8;

/** An endpoint with a limit. */
interface LimitedEntry {
  readonly entry: EndpointEntry;
  readonly limit: RateLimit;
}

/**
 * Returns whether all usable endpoints of a service have limits, so that its
 * requests can only run on permits.
 */
export function isServiceLimited(
  state: DispatchState,
  service: string,
  nowMs: number,
): boolean {
  if (state.limitedEndpoints.size === 0) return false;
  let hasLimit = false;
  for (const entry of listEndpoints(state.endpoints, service)) {
    if (!isOpen(state, entry, nowMs)) continue;
    if (entry.limit === undefined) return false;
    hasLimit = true;
  }
  return hasLimit;
}

/** Lists the endpoints with limits that could take a request on a permit. */
function listLimitedEntries(
  state: DispatchState,
  request: ActiveRequest,
  nowMs: number,
): LimitedEntry[] {
  const entries = [...listEndpoints(state.endpoints, request.service)];
  const callable = listCallableEndpoints(
    state,
    request,
    entries,
    nowMs,
    requestObstacle.noPermit,
  );
  const limited: LimitedEntry[] = [];
  for (const entry of callable) {
    const {limit} = entry;
    if (limit !== undefined) limited.push({entry, limit});
  }
  return limited;
}

/** Creates the ask of a request for a permit of an endpoint. */
function createAsk(
  state: DispatchState,
  request: ActiveRequest,
  {entry, limit}: LimitedEntry,
  isLast: boolean,
  nowMs: number,
): PermitAsk {
  const {peerAddress, vm} = state.options;
  const deadlineInMs = request.timeoutAtMs - nowMs;
  const maxWaitMs =
    request.possibleRuns > 0
      ? deadlineInMs
      : request.receivedAtMs + request.maxWaitMs - nowMs;
  return {
    kind: 'permitAsk',
    vm,
    address: peerAddress,
    endpointId: entry.endpoint.id,
    requestId: request.requestId,
    rank: request.rank,
    maxWaitMs: Math.max(0, maxWaitMs),
    deadlineInMs,
    isLast,
    limit: createLimitReport(limit, nowMs),
    ...(isNamed(limit) ? {} : {isNamed: false}),
    ...(isCold(limit, nowMs) ? {coldForMs: limit.coldUntilMs - nowMs} : {}),
  };
}

/** Asks the owner of one of the given limits for a permit for a request. */
function askForPermit(
  state: DispatchState,
  request: ActiveRequest,
  entries: readonly LimitedEntry[],
  nowMs: number,
): Effect[] {
  const others = entries.filter(
    ({entry}) => entry.endpoint.id !== request.askedEndpointId,
  );
  const picked = pickRandom(state.random, others) ?? entries.at(0);
  if (picked === undefined) return [];
  request.permitAsks += 1;
  request.askedEndpointId = picked.entry.endpoint.id;
  request.nextPermitAskAtMs = nowMs + askTimeoutMs;
  const isLast =
    request.permitAsks >= maxAsks || request.permitAsks >= entries.length;
  const ask = createAsk(state, request, picked, isLast, nowMs);
  if (isLimitOwner(state, picked.limit)) {
    const answer = decideAsk(state, picked.limit, ask, nowMs);
    return handlePermitAnswer(state, answer, nowMs);
  }
  const owner = state.peers.byVm.get(picked.limit.owner);
  if (owner === undefined) return [];
  return [
    createCount('permits_asked'),
    {kind: 'sendPeer', address: owner.address, message: ask},
  ];
}

/**
 * Asks for permits for the most urgent waiting requests of a service, if it has
 * endpoints with limits.
 */
export function askForPermits(
  state: DispatchState,
  service: string,
  nowMs: number,
): Effect[] {
  if (state.limitedEndpoints.size === 0) return [];
  const effects: Effect[] = [];
  const asking = getQueue(state, service).slice(0, maxAskingRequests);
  for (const request of asking) {
    // An earlier answer may have ended or dispatched it.
    if (request.phase !== 'waiting') continue;
    if (!state.requests.has(request.requestId)) continue;
    if (nowMs < request.nextPermitAskAtMs) continue;
    const entries = listLimitedEntries(state, request, nowMs);
    effects.push(...askForPermit(state, request, entries, nowMs));
  }
  return effects;
}

/** Dispatches a waiting request on a permit. */
function handleGranted(
  state: DispatchState,
  request: ActiveRequest,
  {endpointId}: PermitAnswer,
  nowMs: number,
): Effect[] {
  const limit = state.endpoints.byId.get(endpointId)?.limit;
  if (limit !== undefined) limit.heldPermits = 1;
  const effects = admitWaiting(state, request.service, nowMs);
  if (limit !== undefined) limit.heldPermits = 0;
  return effects;
}

/** Lets a request wait for the permit that its owner expects to grant. */
function handleQueued(
  _state: DispatchState,
  request: ActiveRequest,
  {waitMs}: PermitAnswer,
  nowMs: number,
): Effect[] {
  request.nextPermitAskAtMs = nowMs + waitMs + askTimeoutMs;
  return [];
}

/**
 * Asks another owner for a request that was refused a permit. Once enough were
 * asked, the request is refused if it can run on a permit only, and goes on
 * waiting for an endpoint without a limit otherwise.
 */
function handleRefused(
  state: DispatchState,
  request: ActiveRequest,
  {endpointId, vm, waitMs}: PermitAnswer,
  nowMs: number,
): Effect[] {
  const entries = listLimitedEntries(state, request, nowMs);
  if (request.permitAsks < Math.min(maxAsks, entries.length)) {
    return askForPermit(state, request, entries, nowMs);
  }
  request.nextPermitAskAtMs = nowMs + waitMs;
  const isLimited = isServiceLimited(state, request.service, nowMs);
  if (!isLimited || request.possibleRuns > 0) return [];
  const limit = state.endpoints.byId.get(endpointId)?.limit;
  const fields = {
    request: request.attemptId,
    endpoint: endpointId,
    owner: vm,
    limitPerSecond: limit === undefined ? 0 : getAllowedPerSecond(limit, nowMs),
    retryAfterMs: Math.round(waitMs),
    asked: request.permitAsks,
  };
  return [
    createLog('permit_refused', fields),
    ...failRequest(
      state,
      request,
      'overloaded',
      'endpoint_limit',
      waitMs,
      nowMs,
    ),
  ];
}

/** Handles an owner's answer by its outcome. */
type PermitAnswerHandler = (
  state: DispatchState,
  request: ActiveRequest,
  answer: PermitAnswer,
  nowMs: number,
) => Effect[];

const permitAnswerHandlers: Record<
  PermitAnswer['outcome'],
  PermitAnswerHandler
> = {granted: handleGranted, queued: handleQueued, refused: handleRefused};

/** Handles the answer of a limit's owner to an ask of this VM. */
export function handlePermitAnswer(
  state: DispatchState,
  answer: PermitAnswer,
  nowMs: number,
): Effect[] {
  const request = state.requests.get(answer.requestId);
  // Without its request, a permit is not used.
  if (request?.phase !== 'waiting') return [];
  const handler = permitAnswerHandlers[answer.outcome];
  return [
    createCount('permit_answers', {outcome: answer.outcome}),
    ...handler(state, request, answer, nowMs),
  ];
}
