import {rankByKey} from '@ryeworks/utils';
import {parseCellKey} from '../admission/cellKeys.js';
import {findAllowance} from '../documents/planLookups.js';
import {createCount, Effect} from '../effect.js';
import {getReachableZones, rankOwners} from '../membership/membershipState.js';
import {createSendPeer} from '../membership/createSendPeer.js';
import {getServiceVersions} from '../moves/decideVersion.js';
import {SchedulerState} from '../schedulerState.js';
import {GrantAsk} from '../peerMessage.js';
import {EndOutcome} from './endRequest.js';
import {ActiveRequest} from './requestsState.js';
import {endRefusedRequest} from './silentCall.js';

/** Largest traffic share of a move at which its requests prefer one cell. */
const maxCanaryShare = 0.05;
/** Number of cells asked for an early grant before a longer wait is accepted. */
const maxEarlyGrantCells = 4;
/** Maximum wait for an early grant, as a fraction of the first-token target. */
const earlyGrantFraction = 0.5;
/** Highest owner rank that a grant request is sent to after timeouts. */
const maxGrantOwnerRank = 2;

/**
 * Returns the key by which the canary requests, the first requests of a move,
 * prefer one cell; undefined for all other requests. Concentrated on one cell,
 * few requests reveal faults that appear only after many calls or under load.
 */
function findCanaryKey(
  state: SchedulerState,
  request: ActiveRequest,
): string | undefined {
  const {move} = getServiceVersions(state, request.service.service);
  const isCanary =
    move !== undefined &&
    move.toVersion === request.version &&
    move.share <= maxCanaryShare;
  return isCanary ? move.move : undefined;
}

/**
 * Lists the cells that can serve a request, in the order in which they are
 * asked: first those of this VM's zone, then all others, both ranked by the
 * prompt prefix. Requests with a canary key share one order over all zones.
 */
function rankCells(state: SchedulerState, request: ActiveRequest): string[] {
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
  const canaryKey = findCanaryKey(state, request);
  if (canaryKey !== undefined) return rankByKey(canaryKey, [...own, ...other]);
  const prefix = `${request.prefixHash}`;
  return [...rankByKey(prefix, own), ...rankByKey(prefix, other)];
}

/** Picks the next cell to ask for an early grant, if one is left. */
function pickEarlyGrantCell(
  request: ActiveRequest,
  rankedCells: readonly string[],
): string | undefined {
  for (const cellKey of rankedCells.slice(0, maxEarlyGrantCells)) {
    const isAsked =
      request.refusedCells.has(cellKey) || request.cellWaitsMs.has(cellKey);
    if (!isAsked) return cellKey;
  }
  return undefined;
}

/** Picks the cell with the shortest estimated wait, if one is left. */
function pickShortestWaitCell(
  request: ActiveRequest,
  rankedCells: readonly string[],
): string | undefined {
  let bestCell: string | undefined;
  let bestWaitMs = Number.POSITIVE_INFINITY;
  for (const cellKey of rankedCells) {
    if (request.refusedCells.has(cellKey)) continue;
    const waitMs = request.cellWaitsMs.get(cellKey) ?? Number.MAX_VALUE;
    if (waitMs >= bestWaitMs) continue;
    bestCell = cellKey;
    bestWaitMs = waitMs;
  }
  return bestCell;
}

/**
 * Asks the next cell for a grant. The first few cells, of this zone and of
 * others, are asked for an early grant, so that an overloaded zone uses capacity
 * that others spend on lower tiers. After that the cell with the shortest
 * estimated wait is asked. Returns undefined when every cell has refused.
 */
export function askNextCell(
  state: SchedulerState,
  request: ActiveRequest,
  nowMs: number,
): Effect[] | undefined {
  const rankedCells = rankCells(state, request);
  const earlyGrantCell = pickEarlyGrantCell(request, rankedCells);
  const cellKey = earlyGrantCell ?? pickShortestWaitCell(request, rankedCells);
  if (cellKey === undefined) return undefined;
  request.cellKey = cellKey;
  request.grantOwnerRank = 0;
  request.grantRequestCount += 1;
  request.askId = `${request.requestId}/${request.grantRequestCount}`;
  request.isEarlyGrantOnly = earlyGrantCell !== undefined;
  return sendGrantRequest(state, request, nowMs);
}

/** Asks the next cell for a grant; ends the request when none is left. */
export function askForGrant(
  state: SchedulerState,
  request: ActiveRequest,
  nowMs: number,
): Effect[] {
  const effects = askNextCell(state, request, nowMs);
  if (effects !== undefined) return effects;
  const outcome: EndOutcome = {error: 'noEndpoint', reason: 'no_cell'};
  return endRefusedRequest(state, request, outcome, nowMs);
}

/** Sends the current grant request to the owner of the current rank. */
export function sendGrantRequest(
  state: SchedulerState,
  request: ActiveRequest,
  nowMs: number,
): Effect[] {
  const {documents, membership, options, timers} = state;
  const {cellKey, requestId, tier} = request;
  const {availabilityZone} = parseCellKey(cellKey);
  const owners = rankOwners(membership, cellKey, availabilityZone);
  const owner = owners[request.grantOwnerRank % Math.max(1, owners.length)];
  timers.set('grantRequestTimeout', requestId, nowMs + options.askTimeoutMs);
  request.isQueued = false;
  if (owner === undefined) return [];
  request.askedVm = owner;
  const {service} = request.service;
  const allowance = findAllowance(documents, request.customer, service, tier);
  const engines = allowance?.engines ?? [];
  const grantRequest: GrantAsk = {
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
  return [createSendPeer(state, owner, grantRequest)];
}

/**
 * Handles a grant request whose timeout is due: resends it when it is queued,
 * else asks the next owner of the cell, then other cells.
 */
export function expireGrantRequest(
  state: SchedulerState,
  requestId: string,
  nowMs: number,
): Effect[] {
  const request = state.requests.active.get(requestId);
  if (request === undefined || request.phase !== 'awaitingGrant') return [];
  if (request.isQueued) return sendGrantRequest(state, request, nowMs);
  request.grantOwnerRank += 1;
  const silentCount = createCount('ask.silent');
  if (request.grantOwnerRank <= maxGrantOwnerRank) {
    return [silentCount, ...sendGrantRequest(state, request, nowMs)];
  }
  return [silentCount, ...askForGrant(state, request, nowMs)];
}
