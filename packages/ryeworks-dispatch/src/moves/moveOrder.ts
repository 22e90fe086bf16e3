import {StorePosition} from '../store/storePosition.js';

/** Phase of a service's move to another version, as stored with its order. */
export const movePhase = {
  moving: 'moving',
  completed: 'completed',
  reverted: 'reverted',
} as const;

/** One of the move phases. */
export type MovePhase = (typeof movePhase)[keyof typeof movePhase];

/**
 * An operator's order to move a service's traffic to a version. The entry of a
 * service in the store holds one order after another.
 */
export interface MoveOrder {
  readonly service: string;
  readonly toVersion: string;
  /** Planned duration of the move, in ms. */
  readonly durationMs: number;
  /** Position of the last write of the order's entry. */
  readonly position: StorePosition;
  /**
   * Position at which the order was written. Unlike the creation of the entry, it
   * tells an order from those that it replaces.
   */
  readonly orderedAt: StorePosition;
  /** Undefined until a VM has written a phase for this order. */
  readonly phase: MovePhase | undefined;
  /**
   * Versions in use before this order and those that it replaced before they were
   * completed; empty if the store does not tell them.
   */
  readonly provenVersions: readonly string[];
}

/** Returns whether a move has ended, according to its order as last read. */
export function hasEnded({phase}: MoveOrder): boolean {
  return phase === movePhase.completed || phase === movePhase.reverted;
}

/** The phase of a move, to be written to the store. */
export interface MoveResult {
  readonly service: string;
  readonly toVersion: string;
  readonly durationMs: number;
  readonly phase: MovePhase;
  /** The write succeeds only if the entry was last written at this position. */
  readonly position: StorePosition;
  /** Position at which the order was written. */
  readonly orderedAt: StorePosition;
  readonly provenVersions: readonly string[];
}
