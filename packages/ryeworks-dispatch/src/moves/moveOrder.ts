/** How a move of a service to another version stands. */
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
  /** Time that the operator gives the move, in ms. */
  readonly durationMs: number;
  /** Revision of the order in the store; a new order has a new one. */
  readonly revision: number;
  /** Revision at which the order was first made. */
  readonly createdRevision: number;
  /** Undefined until a VM has written a result. */
  readonly phase: MovePhase | undefined;
}

/** What is to be written of a move. */
export interface MoveResult {
  readonly service: string;
  readonly toVersion: string;
  readonly phase: MovePhase;
  /** The write holds only while the order is at this revision. */
  readonly revision: number;
}
