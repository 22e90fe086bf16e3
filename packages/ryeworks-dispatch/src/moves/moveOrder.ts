import {StorePosition} from '../store/storePosition.js';

/** Phase of a service's move to another version, as stored with its order. */
export const movePhase = {
  moving: 'moving',
  completed: 'completed',
  reverted: 'reverted',
} as const;

/** One of the move phases. */
export type MovePhase = (typeof movePhase)[keyof typeof movePhase];

/** An operator's order to move a service's traffic to a version. */
export interface MoveOrder {
  readonly service: string;
  readonly toVersion: string;
  /** Planned duration of the move, in ms. */
  readonly durationMs: number;
  /** Position of the order's last write. */
  readonly position: StorePosition;
  /** Position at which the order was created. */
  readonly createdAt: StorePosition;
  /** Undefined until a VM has written a phase. */
  readonly phase: MovePhase | undefined;
}

/** The phase of a move, to be written to the store. */
export interface MoveResult {
  readonly service: string;
  readonly toVersion: string;
  readonly phase: MovePhase;
  /** The write succeeds only if the order was last written at this position. */
  readonly position: StorePosition;
}
