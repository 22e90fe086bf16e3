import {createCount, Effect} from '../effect.js';
import {createSendPeer} from '../membership/createSendPeer.js';
import {SchedulerState} from '../schedulerState.js';
import {GrantAsk, GrantEnd, GrantRefusal, GrantReport} from '../peerMessage.js';
import {Cell, Grant, QueuedGrantRequest} from './admissionState.js';
import {parseCellKey} from './cellKeys.js';
import {
  countAhead,
  insertGrantRequest,
  removeGrantRequest,
} from './cellQueue.js';
import {
  decideGrants,
  getEndpointStats,
  grantLeaseMs,
  isCellCoolingDown,
  refuseLateRequests,
  scheduleSweep,
} from './decideGrants.js';
import {EndpointStats, recordFailure, recordSample} from './endpointStats.js';
import {
  estimateRetryAfterMs,
  estimateFastestCallMs,
  estimateWaitMs,
} from './estimateWait.js';

/** Initial mean of the time for which a grant is held, in ms. */
const initialHoldMs = 300;
/** Weight of a new sample in the running mean of that time. */
const holdWeight = 0.05;

/**
 * Returns the cell of a key. Creates it when this VM has only just become its
 * owner.
 */
function getCell(state: SchedulerState, cellKey: string): Cell {
  const existing = state.admission.cells.get(cellKey);
  if (existing !== undefined) return existing;
  const cell: Cell = {
    cellKey,
    service: parseCellKey(cellKey).service,
    queue: [],
    grants: new Map(),
    endpointStats: new Map(),
    meanHoldMs: initialHoldMs,
    sweepAtMs: 0,
  };
  state.admission.cells.set(cellKey, cell);
  return cell;
}

/** Refuses a grant request and counts the refusal by cause. */
function refuseGrantRequest(
  state: SchedulerState,
  cell: Cell | undefined,
  request: QueuedGrantRequest,
  reason: GrantRefusal['reason'],
  cause: string,
  waitMs = 0,
): Effect[] {
  return [
    createSendPeer(state, request.holder, {
      kind: 'grantRefusal',
      askId: request.askId,
      reason,
      retryAfterMs: estimateRetryAfterMs(state, cell),
      waitMs: Math.round(waitMs),
    }),
    createCount('admission.refused', {
      reason: cause,
      tier: `${request.tier}`,
    }),
  ];
}

/** Refuses the last request in the queue when too many are waiting. */
function shedExcess(state: SchedulerState, cell: Cell): Effect[] {
  if (cell.queue.length <= state.options.cellMaxQueued) return [];
  const lastRequest = cell.queue.pop()!;
  return refuseGrantRequest(
    state,
    cell,
    lastRequest,
    'overloaded',
    'queue_full',
  );
}

/**
 * Handles a grant request: refuses it when it cannot be granted in time, else
 * queues it and issues the grants that are possible.
 */
export function handleGrantAsk(
  state: SchedulerState,
  from: string,
  message: GrantAsk,
  nowMs: number,
): Effect[] {
  const request: QueuedGrantRequest = {
    askId: message.askId,
    holder: from,
    tier: message.tier,
    promptTokens: message.promptTokens,
    maxTokens: message.maxTokens,
    prefixHash: message.prefixHash,
    engines: message.engines,
    avoid: message.avoid,
    isPacked: message.isPacked,
    deadlineMs: nowMs + message.deadlineInMs,
  };
  const endpoints = state.admission.cellEndpoints.get(message.cellKey) ?? [];
  const usableEndpoints = endpoints.filter(
    candidate => !request.avoid.includes(candidate.endpoint),
  );
  if (usableEndpoints.length === 0) {
    return refuseGrantRequest(
      state,
      undefined,
      request,
      'noEndpoint',
      'no_endpoint',
    );
  }
  const cell = getCell(state, message.cellKey);
  const grant = cell.grants.get(request.askId);
  const queued = createSendPeer(state, from, {
    kind: 'grantQueued',
    askId: request.askId,
  });
  if (grant !== undefined) {
    const {askId, endpoint} = grant;
    return [createSendPeer(state, from, {kind: 'grantOffer', askId, endpoint})];
  }
  if (cell.queue.some(other => other.askId === request.askId)) return [queued];
  if (isCellCoolingDown(getEndpointStats(state, cell), nowMs)) {
    return refuseGrantRequest(state, cell, request, 'noEndpoint', 'resting');
  }
  const waitMs = estimateWaitMs(cell, countAhead(cell, request));
  const finishMs = nowMs + waitMs + estimateFastestCallMs(cell, request);
  if (finishMs > request.deadlineMs) {
    return refuseGrantRequest(
      state,
      cell,
      request,
      'overloaded',
      'estimated_late',
    );
  }
  if (message.maxWaitMs > 0 && waitMs > message.maxWaitMs) {
    return refuseGrantRequest(
      state,
      cell,
      request,
      'wouldWait',
      'would_wait',
      waitMs,
    );
  }
  insertGrantRequest(cell, request);
  const effects = shedExcess(state, cell);
  effects.push(...decideGrants(state, cell, nowMs));
  const isWaiting = cell.queue.some(other => other.askId === request.askId);
  return isWaiting ? [...effects, queued] : effects;
}

/** Frees the slot of a grant and records how its call went. */
function endGrant(
  state: SchedulerState,
  cell: Cell,
  grant: Grant,
  message: GrantEnd,
  nowMs: number,
): void {
  const stats = cell.endpointStats.get(grant.endpoint);
  if (stats === undefined) return;
  updateEndpointStats(state, cell, stats, grant, message, nowMs);
  stats.inFlight = Math.max(0, stats.inFlight - 1);
}

/**
 * Updates the statistics of an endpoint and the mean hold time of its cell from
 * a grant that was used.
 */
function updateEndpointStats(
  state: SchedulerState,
  cell: Cell,
  stats: EndpointStats,
  grant: Grant,
  message: GrantEnd,
  nowMs: number,
): void {
  if (message.outcome === 'unused') return;
  if (message.outcome === 'failed') {
    recordFailure(stats, nowMs);
    return;
  }
  const heldMs = nowMs - grant.grantedAtMs;
  cell.meanHoldMs += (heldMs - cell.meanHoldMs) * holdWeight;
  const service = state.options.services.find(
    definition => definition.service === cell.service,
  );
  if (service === undefined) return;
  const {promptTokens} = grant;
  const {firstTokenMs, interTokenMs, outputTokens} = message;
  const sample = {promptTokens, firstTokenMs, interTokenMs, outputTokens};
  recordSample(stats, sample, service, nowMs);
}

/**
 * Removes a waiting grant request that was withdrawn, or ends a grant and
 * issues the grants that this makes possible.
 */
export function handleGrantEnd(
  state: SchedulerState,
  _from: string,
  message: GrantEnd,
  nowMs: number,
): Effect[] {
  const cell = state.admission.cells.get(message.cellKey);
  if (cell === undefined) return [];
  if (removeGrantRequest(cell, message.askId)) return [];
  const grant = cell.grants.get(message.askId);
  if (grant === undefined) return [];
  cell.grants.delete(message.askId);
  endGrant(state, cell, grant, message, nowMs);
  return decideGrants(state, cell, nowMs);
}

/** Renews grants and records those that an earlier owner issued. */
export function handleGrantReport(
  state: SchedulerState,
  from: string,
  message: GrantReport,
  nowMs: number,
): Effect[] {
  const cell = getCell(state, message.cellKey);
  getEndpointStats(state, cell);
  for (const {askId, endpoint, tier} of message.grants) {
    const existing = cell.grants.get(askId);
    if (existing !== undefined) {
      existing.renewedAtMs = nowMs;
      continue;
    }
    const stats = cell.endpointStats.get(endpoint);
    if (stats === undefined) continue;
    stats.inFlight += 1;
    cell.grants.set(askId, {
      askId,
      holder: from,
      endpoint,
      tier,
      promptTokens: 0,
      grantedAtMs: nowMs,
      renewedAtMs: nowMs,
    });
  }
  scheduleSweep(state, cell, nowMs);
  return [];
}

/**
 * Ends the grants that their holders stopped reporting, refuses the requests
 * that are too late and issues the grants that are possible.
 */
export function sweepCell(
  state: SchedulerState,
  cellKey: string,
  nowMs: number,
): Effect[] {
  const cell = state.admission.cells.get(cellKey);
  if (cell === undefined) return [];
  for (const grant of cell.grants.values()) {
    if (nowMs - grant.renewedAtMs < grantLeaseMs) continue;
    cell.grants.delete(grant.askId);
    const stats = cell.endpointStats.get(grant.endpoint);
    if (stats === undefined) continue;
    stats.inFlight = Math.max(0, stats.inFlight - 1);
  }
  const effects = refuseLateRequests(state, cell, nowMs);
  return [...effects, ...decideGrants(state, cell, nowMs)];
}
