import {WithdrawalEvidence} from '@ryeworks/types';
import {SequentialTest} from '@ryeworks/utils';

/** Observations of one route that wait to be reported. */
export interface ObservationCounts {
  observed: number;
  failed: number;
  slow: number;
}

/** Pace of a route on the version that is being replaced. */
export interface LatencyBaseline {
  samples: number;
  /** 90th percentile of first-token time over prompt length, in ms. */
  firstTokenPerUnitMs: number;
  /** 90th percentile of the time between tokens, in ms. */
  interTokenMs: number;
}

/** Slow calls of a short time, which tend to come together. */
export interface SlownessBlock {
  startedAtMs: number;
  readonly old: {observed: number; slow: number};
  readonly new: {observed: number; slow: number};
}

/** Sequential tests of one route under one move, at the zone's owner. */
export interface RouteTest {
  readonly old: ObservationCounts;
  readonly new: ObservationCounts;
  readonly failures: SequentialTest;
  readonly slowness: SequentialTest;
  block: SlownessBlock;
}

/** Observations of the new version that the leader has heard of. */
export interface MoveProgress {
  /** Observations by zone since the move began. */
  readonly observedByZone: Map<string, number>;
  /** Sum of the observations when the present step began. */
  observedAtStep: number;
  step: number;
}

/** Verdicts, evidence and the leader's view of the moves. */
export interface MovesState {
  /** Moves whose new version was found bad; entries are never removed. */
  readonly withdrawn: Map<string, WithdrawalEvidence>;
  readonly unreportedCounts: Map<string, ObservationCounts>;
  readonly baselines: Map<string, LatencyBaseline>;
  readonly tests: Map<string, RouteTest>;
  readonly progress: Map<string, MoveProgress>;
  /** Call id of the leader's write under way; empty without one. */
  pendingCallId: string;
  nextCallNumber: number;
}

/** Creates a state without moves. */
export function createMovesState(): MovesState {
  return {
    withdrawn: new Map(),
    unreportedCounts: new Map(),
    baselines: new Map(),
    tests: new Map(),
    progress: new Map(),
    pendingCallId: '',
    nextCallNumber: 1,
  };
}
