/** Phases of a version move: a gradual traffic shift to a new version. */
export const movePhase = {
  moving: 'moving',
  observing: 'observing',
  done: 'done',
  withdrawn: 'withdrawn',
} as const;

/** One of the phases of a version move. */
export type MovePhase = (typeof movePhase)[keyof typeof movePhase];

/** Evidence that led to the withdrawal of a version. */
export interface WithdrawalEvidence {
  /** Reason for the withdrawal. */
  readonly symptom: 'failures' | 'slowness' | 'operator' | 'deadline';
  /** Route that showed the symptom; empty for an operator's withdrawal. */
  readonly route: string;
  /** Calls to the new version that were observed on the route. */
  readonly observed: number;
  /** Number of observed calls that failed or were slow. */
  readonly bad: number;
  /** Availability zone that decided on the withdrawal. */
  readonly availabilityZone: string;
}

/** A version move, as stored on the platform. */
export interface VersionMove {
  readonly move: string;
  readonly service: string;
  readonly fromVersion: string;
  readonly toVersion: string;
  /** Wall-clock time by which all traffic should move, in ms since 1970. */
  readonly deadlineAtMs: number;
  /** Wall-clock time at which the operator started it, in ms since 1970. */
  readonly startedAtMs: number;
  readonly phase: MovePhase;
  /** Index into the move's step schedule. */
  readonly step: number;
  /** Share of the service's traffic on the new version, 0 to 1. */
  readonly share: number;
  /** Wall-clock time at which the current step began, in ms since 1970. */
  readonly stepAtMs: number;
  /** Whether the deadline passed before all traffic had moved. */
  readonly late: boolean;
  readonly evidence?: WithdrawalEvidence;
}

/** Replicated document that lists all version moves. */
export interface MovesList {
  readonly moves: readonly VersionMove[];
}
