import {DispatchState} from '../dispatchState.js';
import {createLog, Effect} from '../effect.js';
import {MovesRead} from '../input.js';
import {isLossLikely, isOutdatedEra} from '../store/storeEra.js';
import {isSamePosition} from '../store/storePosition.js';
import {MoveOrder} from './moveOrder.js';
import {createMoveState, MoveState} from './moveTable.js';

/**
 * Returns whether two orders request the same move. Within one era of the store
 * they do if they were created at the same position. In a later era an order may
 * have been created again, so that its contents are compared.
 */
function isSameMove(existing: MoveOrder, order: MoveOrder): boolean {
  if (existing.toVersion !== order.toVersion) return false;
  if (existing.createdAt.era === order.createdAt.era) {
    return isSamePosition(existing.createdAt, order.createdAt);
  }
  return existing.durationMs === order.durationMs;
}

/** Starts the move that an order requests, in place of another of its service. */
export function startMove(
  state: DispatchState,
  order: MoveOrder,
  nowMs: number,
): Effect[] {
  state.moves.set(order.service, createMoveState(order, nowMs));
  const {durationMs, position, service, toVersion} = order;
  const fields = {service, toVersion, durationMs, ...position};
  return [createLog('move_ordered', fields)];
}

/**
 * Continues a move with its order as just read. In a later era the order may
 * lack a phase that was written before; it is then written again.
 */
function applySameOrder(move: MoveState, order: MoveOrder): void {
  if (order.position.era > move.order.position.era) {
    move.wasCompleted ||= move.order.phase === 'completed';
    move.earlierOrder = move.order;
    move.resultWrittenAtMs = Number.NEGATIVE_INFINITY;
  }
  move.order = order;
  move.isMissing = false;
  move.heldOrder = undefined;
  if (order.phase === 'reverted') move.isBad = true;
}

/**
 * Applies one of the orders. An order for another move is held while the current
 * one may only be lost with the copy that the store came back from.
 */
function applyOrder(
  state: DispatchState,
  order: MoveOrder,
  nowMs: number,
): Effect[] {
  const existing = state.moves.get(order.service);
  if (existing === undefined) return startMove(state, order, nowMs);
  if (isSameMove(existing.order, order)) {
    applySameOrder(existing, order);
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
    else state.moves.delete(service);
  }
  return effects;
}
