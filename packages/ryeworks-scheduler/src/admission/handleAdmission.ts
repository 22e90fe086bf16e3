import {createCount, Effect} from '../effect.js';
import {createSendPeer} from '../membership/createSendPeer.js';
import {NodeState} from '../nodeState.js';
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

/** First guess of the time that a grant is held, in ms. */
const initialHoldMs = 300;
/** Weight of a new hold time in the running mean. */
const holdWeight = 0.05;

/** Returns the cell of a key, created when this VM just came to own it. */
function getCell(state: NodeState, cellKey: string): Cell {
  const known = state.admission.cells.get(cellKey);
  if (known !== undefined) return known;
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

/** Refuses an ask. */
function refuseGrantRequest(
  state: NodeState,
  cell: Cell | undefined,
  ask: QueuedGrantRequest,
  reason: GrantRefusal['reason'],
  cause: string,
  waitMs = 0,
): Effect[] {
  return [
    createSendPeer(state, ask.holder, {
      kind: 'grantRefusal',
      askId: ask.askId,
      reason,
      retryAfterMs: estimateRetryAfterMs(state, cell),
      waitMs: Math.round(waitMs),
    }),
    createCount('admission.refused', {reason: cause, tier: `${ask.tier}`}),
  ];
}

/** Sheds the last ask of the lowest tier when too many wait. */
function shedExcess(state: NodeState, cell: Cell): Effect[] {
  if (cell.queue.length <= state.options.cellMaxQueued) return [];
  const last = cell.queue.pop()!;
  return refuseGrantRequest(state, cell, last, 'overloaded', 'queue_full');
}

/** Queues an ask and grants what can be granted. */
export function handleGrantAsk(
  state: NodeState,
  from: string,
  message: GrantAsk,
  nowMs: number,
): Effect[] {
  const ask: QueuedGrantRequest = {
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
  const members = state.admission.cellEndpoints.get(message.cellKey) ?? [];
  const usable = members.filter(one => !ask.avoid.includes(one.endpoint));
  if (usable.length === 0) {
    return refuseGrantRequest(
      state,
      undefined,
      ask,
      'noEndpoint',
      'no_endpoint',
    );
  }
  const cell = getCell(state, message.cellKey);
  const grant = cell.grants.get(ask.askId);
  const queued = createSendPeer(state, from, {
    kind: 'grantQueued',
    askId: ask.askId,
  });
  if (grant !== undefined) {
    const {askId, endpoint} = grant;
    return [createSendPeer(state, from, {kind: 'grantOffer', askId, endpoint})];
  }
  if (cell.queue.some(one => one.askId === ask.askId)) return [queued];
  if (isCellCoolingDown(getEndpointStats(state, cell), nowMs)) {
    return refuseGrantRequest(state, cell, ask, 'noEndpoint', 'resting');
  }
  const waitMs = estimateWaitMs(cell, countAhead(cell, ask));
  const readyMs = nowMs + waitMs + estimateFastestCallMs(cell, ask);
  if (readyMs > ask.deadlineMs) {
    return refuseGrantRequest(state, cell, ask, 'overloaded', 'estimated_late');
  }
  if (message.maxWaitMs > 0 && waitMs > message.maxWaitMs) {
    return refuseGrantRequest(
      state,
      cell,
      ask,
      'wouldWait',
      'would_wait',
      waitMs,
    );
  }
  insertGrantRequest(cell, ask);
  const effects = shedExcess(state, cell);
  effects.push(...decideGrants(state, cell, nowMs));
  const isWaiting = cell.queue.some(one => one.askId === ask.askId);
  return isWaiting ? [...effects, queued] : effects;
}

/** Ends the use of a grant. */
function endGrant(
  state: NodeState,
  cell: Cell,
  grant: Grant,
  message: GrantEnd,
  nowMs: number,
): void {
  const account = cell.endpointStats.get(grant.endpoint);
  if (account === undefined) return;
  updateEndpointStats(state, cell, account, grant, message, nowMs);
  account.inFlight = Math.max(0, account.inFlight - 1);
}

/** Learns the pace of an endpoint from a grant that was used. */
function updateEndpointStats(
  state: NodeState,
  cell: Cell,
  account: EndpointStats,
  grant: Grant,
  message: GrantEnd,
  nowMs: number,
): void {
  if (message.outcome === 'unused') return;
  if (message.outcome === 'failed') {
    recordFailure(account, nowMs);
    return;
  }
  const heldMs = nowMs - grant.grantedAtMs;
  cell.meanHoldMs += (heldMs - cell.meanHoldMs) * holdWeight;
  const service = state.options.services.find(
    one => one.service === cell.service,
  );
  if (service === undefined) return;
  const {promptTokens} = grant;
  const {firstTokenMs, interTokenMs, outputTokens} = message;
  const sample = {promptTokens, firstTokenMs, interTokenMs, outputTokens};
  recordSample(account, sample, service, nowMs);
}

/** Takes back a grant, or a waiting ask that is no longer wanted. */
export function handleGrantEnd(
  state: NodeState,
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

/** Renews grants; learns of those that an earlier owner gave. */
export function handleGrantReport(
  state: NodeState,
  from: string,
  message: GrantReport,
  nowMs: number,
): Effect[] {
  const cell = getCell(state, message.cellKey);
  getEndpointStats(state, cell);
  for (const {askId, endpoint, tier} of message.grants) {
    const known = cell.grants.get(askId);
    if (known !== undefined) {
      known.renewedAtMs = nowMs;
      continue;
    }
    const account = cell.endpointStats.get(endpoint);
    if (account === undefined) continue;
    account.inFlight += 1;
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

/** Ends grants whose holder went silent and grants what waits. */
export function sweepCell(
  state: NodeState,
  cellKey: string,
  nowMs: number,
): Effect[] {
  const cell = state.admission.cells.get(cellKey);
  if (cell === undefined) return [];
  for (const grant of cell.grants.values()) {
    if (nowMs - grant.renewedAtMs < grantLeaseMs) continue;
    cell.grants.delete(grant.askId);
    const account = cell.endpointStats.get(grant.endpoint);
    if (account === undefined) continue;
    account.inFlight = Math.max(0, account.inFlight - 1);
  }
  const effects = refuseLateRequests(state, cell, nowMs);
  return [...effects, ...decideGrants(state, cell, nowMs)];
}
