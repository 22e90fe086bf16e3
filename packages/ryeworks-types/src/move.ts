/** Phases of a version move. */
export const movePhase = {
  moving: 'moving',
  observing: 'observing',
  done: 'done',
  withdrawn: 'withdrawn',
} as const;

/** One of the phases of a version move. */
export type MovePhase = (typeof movePhase)[keyof typeof movePhase];

/** Why a version was withdrawn. */
export interface WithdrawalEvidence {
  /** What was seen. */
  readonly symptom: 'failures' | 'slowness' | 'operator' | 'deadline';
  /** Route that showed it; empty for an operator's order. */
  readonly route: string;
  /** Calls to the new version that were observed on the route. */
  readonly observed: number;
  /** Of those, how many failed or were slow. */
  readonly bad: number;
  /** Availability zone that reached the verdict. */
  readonly availabilityZone: string;
}

/** One version move, as kept by the platform. */
export interface VersionMove {
  readonly move: string;
  readonly service: string;
  readonly fromVersion: string;
  readonly toVersion: string;
  /** Wall-clock time by which all traffic is to be moved, in ms since 1970. */
  readonly deadlineAtMs: number;
  /** Wall-clock time of the operator's order, in ms since 1970. */
  readonly startedAtMs: number;
  readonly phase: MovePhase;
  /** Index into the move's step schedule. */
  readonly step: number;
  /** Share of the service's traffic on the new version, 0 to 1. */
  readonly share: number;
  /** Wall-clock time at which the present step began, in ms since 1970. */
  readonly stepAtMs: number;
  /** True once the schedule can no longer meet the deadline. */
  readonly late: boolean;
  readonly evidence?: WithdrawalEvidence;
}

/** All moves, as one replicated document. */
export interface MovesList {
  readonly moves: readonly VersionMove[];
}
