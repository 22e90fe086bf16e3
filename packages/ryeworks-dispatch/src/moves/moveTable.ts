import {SequentialTest} from '@ryeworks/utils';
import {VersionCounts} from '../peers/peerMessage.js';
import {MoveOrder} from './moveOrder.js';

/** Evidence on the endpoints of a move that run, or do not run, its version. */
export interface VersionEvidence {
  /** What this VM saw. */
  own: VersionCounts;
  /** What all known VMs saw, when it was last looked at. */
  total: VersionCounts;
}

/** A move under way or ended, as this VM knows it. */
export interface MoveState {
  order: MoveOrder;
  readonly startedAtMs: number;
  /** Whether the evidence shows that the version is bad; never taken back. */
  isBad: boolean;
  readonly newEvidence: VersionEvidence;
  readonly oldEvidence: VersionEvidence;
  readonly failureTest: SequentialTest;
  readonly slownessTest: SequentialTest;
  /** Requests of this VM since the start, and those on trial among them. */
  requests: number;
  trials: number;
  /** When a result was last sent to the store, in ms. */
  resultWrittenAtMs: number;
}

/** Moves by service. */
export type MoveTable = Map<string, MoveState>;

/** Creates the book of a VM that knows no moves. */
export function createMoveTable(): MoveTable {
  return new Map();
}

/** No evidence. */
export const noCounts: VersionCounts = {answered: 0, failed: 0, slow: 0};

/** Creates the view of a move that was just ordered. */
export function createMoveState(order: MoveOrder, nowMs: number): MoveState {
  return {
    order,
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
