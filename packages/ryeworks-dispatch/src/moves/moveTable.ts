import {SequentialTest} from '@ryeworks/utils';
import {VersionCounts} from '../peers/peerMessage.js';
import {MoveOrder, movePhase} from './moveOrder.js';

/** Outcomes of calls to the new version of a move, or to the old ones. */
export interface VersionEvidence {
  /** Counts of this VM. */
  own: VersionCounts;
  /** Counts over all known VMs as of the last update. */
  total: VersionCounts;
}

/** State of a move, under way or ended, on this VM. */
export interface MoveState {
  order: MoveOrder;
  /** The order as read in an earlier era of the store; undefined if in none. */
  earlierOrder: MoveOrder | undefined;
  /** Whether the order may be lost with a copy that the store came back from. */
  isMissing: boolean;
  /**
   * An order for another move, applied if the missing one does not return;
   * undefined if there is none.
   */
  heldOrder: MoveOrder | undefined;
  /** Whether the move was completed in an earlier era of the store. */
  wasCompleted: boolean;
  /** When the first VM, as far as is known, read the order, in ms. */
  startedAtMs: number;
  /** Whether the new version was detected as bad; never reset. */
  isBad: boolean;
  readonly newEvidence: VersionEvidence;
  readonly oldEvidence: VersionEvidence;
  readonly failureTest: SequentialTest;
  readonly slownessTest: SequentialTest;
  /** Requests to the service on this VM since the move started. */
  requests: number;
  /**
   * Requests that this VM routed to the new version while others were routed to
   * the old ones.
   */
  trials: number;
  /** When a result was last sent to the store, in ms. */
  resultWrittenAtMs: number;
}

/** Moves by service. */
export type MoveTable = Map<string, MoveState>;

/** Creates an empty move table. */
export function createMoveTable(): MoveTable {
  return new Map();
}

/** Returns whether a move has made its version that of its service. */
export function isCompleted({order, wasCompleted}: MoveState): boolean {
  return wasCompleted || order.phase === movePhase.completed;
}

/** Counts before the first call outcome. */
export const noCounts: VersionCounts = {answered: 0, failed: 0, slow: 0};

/** Creates the state of a move whose order was just read. */
export function createMoveState(order: MoveOrder, nowMs: number): MoveState {
  return {
    order,
    earlierOrder: undefined,
    isMissing: false,
    heldOrder: undefined,
    wasCompleted: false,
    startedAtMs: nowMs,
    isBad: order.phase === 'reverted',
    newEvidence: {own: noCounts, total: noCounts},
    oldEvidence: {own: noCounts, total: noCounts},
    failureTest: {sum: 0},
    slownessTest: {sum: 0},
    requests: 0,
    trials: 0,
    resultWrittenAtMs: Number.NEGATIVE_INFINITY,
  };
}
