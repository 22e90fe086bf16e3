import {DispatchState} from '../dispatchState.js';
import {createLog, Effect} from '../effect.js';
import {MovesRead} from '../input.js';
import {isLossLikely, isOutdatedEra} from '../store/storeEra.js';
import {isLaterPosition, isSamePosition} from '../store/storePosition.js';
import {MoveOrder} from './moveOrder.js';
import {createMoveState, MoveState} from './moveTable.js';
import {
  applyProvenVersions,
  listProvenVersions,
  removeMove,
  updateProvenVersions,
} from './provenVersions.js';

/**
 * Returns whether two orders are the same. In a later era of the store an operator
 * may have written an order again, so that its contents are compared.
 */
function isSameOrder(existing: MoveOrder, order: MoveOrder): boolean {
  if (isSamePosition(existing.orderedAt, order.orderedAt)) return true;
  if (existing.orderedAt.era === order.orderedAt.era) return false;
  const {durationMs, toVersion} = existing;
  return order.toVersion === toVersion && order.durationMs === durationMs;
}

/**
 * Returns an order as just read, with the position at which it was written. If the
 * entry was written again, but not its phase, an operator has replaced the order
 * and then ordered the same again: the phase is that of the earlier order.
 */
function resolveOrder(
  existing: MoveOrder | undefined,
  order: MoveOrder,
): MoveOrder {
  if (existing === undefined) return order;
  const {orderedAt, phase, position} = existing;
  if (isSamePosition(position, order.position)) return existing;
  if (order.phase === undefined || order.phase !== phase) return order;
  const isRewritten =
    isSamePosition(orderedAt, order.orderedAt) &&
    position.era === order.position.era &&
    isLaterPosition(order.position, position);
  if (!isRewritten) return order;
  return {...order, orderedAt: order.position, phase: undefined};
}

/** Starts the move that an order requests, in place of another of its service. */
export function startMove(
  state: DispatchState,
  order: MoveOrder,
  nowMs: number,
): Effect[] {
  const {durationMs, orderedAt, position, service, toVersion} = order;
  const replaced = state.moves.get(service)?.order.toVersion ?? '';
  updateProvenVersions(state, order);
  state.moves.set(service, createMoveState(order, nowMs));
  const proven = listProvenVersions(state, service).join(',');
  const orderedRevision = orderedAt.revision;
  const fields = {service, toVersion, durationMs, ...position};
  const more = {orderedRevision, replaced, proven};
  return [createLog('move_ordered', {...fields, ...more})];
}

/**
 * Continues a move with its order as just read. In a later era the order may
 * lack a phase that was written before; it is then written again.
 */
function applySameOrder(
  state: DispatchState,
  move: MoveState,
  order: MoveOrder,
): void {
  if (order.position.era > move.order.position.era) {
    move.wasCompleted ||= move.order.phase === 'completed';
    move.earlierOrder = move.order;
    move.resultWrittenAtMs = Number.NEGATIVE_INFINITY;
  }
  move.order = order;
  move.isMissing = false;
  move.heldOrder = undefined;
  if (order.phase === 'reverted') move.isBad = true;
  applyProvenVersions(state, order);
}

/**
 * Applies one of the orders. An order for another move is held while the current
 * one may only be lost with the copy that the store came back from.
 */
function applyOrder(
  state: DispatchState,
  orderRead: MoveOrder,
  nowMs: number,
): Effect[] {
  const existing = state.moves.get(orderRead.service);
  const order = resolveOrder(existing?.order, orderRead);
  if (existing === undefined) return startMove(state, order, nowMs);
  if (isSameOrder(existing.order, order)) {
    applySameOrder(state, existing, order);
    return [];
  }
  if (!isLossLikely(state.storeEra, nowMs))
    return startMove(state, order, nowMs);
  existing.isMissing = true;
  existing.heldOrder = order;
  return [];
}

/**
 * Applies the operators' orders: adds new moves, updates existing ones, and
 * removes moves that are no longer listed, unless they may only be lost. Ignores
 * orders read in an earlier era than the current one.
 */
export function handleMovesRead(
  state: DispatchState,
  input: MovesRead,
  nowMs: number,
): Effect[] {
  if (isOutdatedEra(state.storeEra, input.era)) return [];
  const effects: Effect[] = [];
  const listed = new Set<string>();
  for (const order of input.orders) {
    listed.add(order.service);
    effects.push(...applyOrder(state, order, nowMs));
  }
  const isLikelyLost = isLossLikely(state.storeEra, nowMs);
  for (const [service, move] of state.moves) {
    if (listed.has(service)) continue;
    if (isLikelyLost) move.isMissing = true;
    else removeMove(state, service);
  }
  return effects;
}
