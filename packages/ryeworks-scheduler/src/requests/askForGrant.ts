import {rankByKey} from '@ryeworks/utils';
import {parseCellKey} from '../admission/cellKeys.js';
import {findAllowance} from '../documents/planLookups.js';
import {createCount, Effect} from '../effect.js';
import {getReachableZones, rankOwners} from '../membership/membershipState.js';
import {createSendPeer} from '../membership/createSendPeer.js';
import {getServiceVersions} from '../moves/decideVersion.js';
import {NodeState} from '../nodeState.js';
import {GrantAsk} from '../peerMessage.js';
import {EndOutcome, endRequest} from './endRequest.js';
import {ActiveRequest} from './requestsState.js';

/** Share of a move up to which its requests are kept together. */
const maxCanaryShare = 0.05;
/** Cells that are asked for an early grant before a wait is accepted. */
const maxEarlyGrantCells = 4;
/** Part of the first-token target that an early grant may wait. */
const earlyGrantFraction = 0.5;
/** Owners of a cell that are asked in turn when one stays silent. */
const maxGrantOwnerRank = 2;

/**
 * Returns the key by which a move's early requests prefer one cell; undefined
 * for all others. Few requests then show what comes only after many calls or
 * under load.
 */
function findCanaryKey(
  state: NodeState,
  request: ActiveRequest,
): string | undefined {
  const {move} = getServiceVersions(state, request.service.service);
  const isTrial =
    move !== undefined &&
    move.toVersion === request.version &&
    move.share <= maxCanaryShare;
  return isTrial ? move.move : undefined;
}

/**
 * Lists the cells that can serve a request: those of the own zone first, and
 * in each zone the one that the prompt's prefix prefers.
 */
function rankCells(state: NodeState, request: ActiveRequest): string[] {
  const {admission, membership, options} = state;
  const zones = getReachableZones(membership);
  const own: string[] = [];
  const other: string[] = [];
  for (const cellKey of admission.cellEndpoints.keys()) {
    const cell = parseCellKey(cellKey);
    if (cell.service !== request.service.service) continue;
    if (cell.version !== request.version) continue;
    if (!zones.has(cell.availabilityZone)) continue;
    const isOwn = cell.availabilityZone === options.availabilityZone;
    (isOwn ? own : other).push(cellKey);
  }
  const trialKey = findCanaryKey(state, request);
  if (trialKey !== undefined) return rankByKey(trialKey, [...own, ...other]);
  const prefix = `${request.prefixHash}`;
  return [...rankByKey(prefix, own), ...rankByKey(prefix, other)];
}

/** Picks the next cell that may grant soon; undefined when none is left. */
function pickEarlyGrantCell(
  request: ActiveRequest,
  ranked: readonly string[],
): string | undefined {
  for (const cellKey of ranked.slice(0, maxEarlyGrantCells)) {
    const isAsked =
      request.refusedCells.has(cellKey) || request.cellWaitsMs.has(cellKey);
    if (!isAsked) return cellKey;
  }
  return undefined;
}

/** Picks the cell with the shortest wait; undefined when none is left. */
function pickShortestWaitCell(
  request: ActiveRequest,
  ranked: readonly string[],
): string | undefined {
  let best: string | undefined;
  let bestWaitMs = Number.POSITIVE_INFINITY;
  for (const cellKey of ranked) {
    if (request.refusedCells.has(cellKey)) continue;
    const waitMs = request.cellWaitsMs.get(cellKey) ?? Number.MAX_VALUE;
    if (waitMs >= bestWaitMs) continue;
    best = cellKey;
    bestWaitMs = waitMs;
  }
  return best;
}

/**
 * Asks the next cell: first some that may grant soon, in the own zone and
 * beyond, so that a crowded zone uses what others spend on lower tiers; then
 * the one with the shortest wait. Undefined when every cell has refused.
 */
export function askNextCell(
  state: NodeState,
  request: ActiveRequest,
  nowMs: number,
): Effect[] | undefined {
  const ranked = rankCells(state, request);
  const soonCell = pickEarlyGrantCell(request, ranked);
  const cellKey = soonCell ?? pickShortestWaitCell(request, ranked);
  if (cellKey === undefined) return undefined;
  request.cellKey = cellKey;
  request.grantOwnerRank = 0;
  request.grantRequestCount += 1;
  request.askId = `${request.requestId}/${request.grantRequestCount}`;
  request.isEarlyGrantOnly = soonCell !== undefined;
  return sendGrantRequest(state, request, nowMs);
}

/** Asks the cells in turn; refuses when none can be asked. */
export function askForGrant(
  state: NodeState,
  request: ActiveRequest,
  nowMs: number,
): Effect[] {
  const asked = askNextCell(state, request, nowMs);
  if (asked !== undefined) return asked;
  const outcome: EndOutcome = {error: 'noEndpoint', reason: 'no_cell'};
  return endRequest(state, request, outcome, nowMs);
}

/** Sends the present ask to the owner of its rank. */
export function sendGrantRequest(
  state: NodeState,
  request: ActiveRequest,
  nowMs: number,
): Effect[] {
  const {documents, membership, options, timers} = state;
  const {cellKey, requestId, tier} = request;
  const {availabilityZone} = parseCellKey(cellKey);
  const owners = rankOwners(membership, cellKey, availabilityZone);
  const owner = owners[request.grantOwnerRank % Math.max(1, owners.length)];
  timers.set('grantAskTimeout', requestId, nowMs + options.askTimeoutMs);
  request.isQueued = false;
  if (owner === undefined) return [];
  request.askedOwner = owner;
  const {service} = request.service;
  const allowance = findAllowance(documents, request.customer, service, tier);
  const engines = allowance?.engines ?? [];
  const ask: GrantAsk = {
    kind: 'grantAsk',
    askId: request.askId,
    cellKey,
    tier,
    promptTokens: request.promptTokens,
    maxTokens: request.maxTokens,
    prefixHash: request.prefixHash,
    deadlineInMs: Math.max(0, Math.round(request.deadlineMs - nowMs)),
    engines: engines.includes('*') ? [] : engines,
    avoid: request.avoid,
    isPacked: findCanaryKey(state, request) !== undefined,
    maxWaitMs: request.isEarlyGrantOnly
      ? Math.round(request.service.firstTokenTargetMs * earlyGrantFraction)
      : 0,
  };
  return [createSendPeer(state, owner, ask)];
}

/** Asks the next owner of a cell whose owner stayed silent. */
export function expireGrantRequest(
  state: NodeState,
  requestId: string,
  nowMs: number,
): Effect[] {
  const request = state.requests.active.get(requestId);
  if (request === undefined || request.phase !== 'asking') return [];
  if (request.isQueued) return sendGrantRequest(state, request, nowMs);
  request.grantOwnerRank += 1;
  const silent = createCount('ask.silent');
  if (request.grantOwnerRank <= maxGrantOwnerRank) {
    return [silent, ...sendGrantRequest(state, request, nowMs)];
  }
  return [silent, ...askForGrant(state, request, nowMs)];
}
