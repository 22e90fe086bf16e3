import {WithdrawalEvidence} from '@ryeworks/types';
import {SequentialTest} from '@ryeworks/utils';

/** Counts of observed calls on one route. */
export interface ObservationCounts {
  observed: number;
  failed: number;
  slow: number;
}

/** Usual latency of a route on the current version of its service. */
export interface LatencyBaseline {
  /** Number of calls that the baseline is based on. */
  samples: number;
  /**
   * 90th percentile of the first-token time per unit, in ms. A call has one unit
   * per prompt token, plus a constant number of units for its fixed cost.
   */
  firstTokenPerUnitMs: number;
  /** 90th percentile of the time between tokens, in ms. */
  interTokenMs: number;
}

/**
 * Counts of slow calls in a short block of time. Slow calls tend to occur
 * together, so the test of slowness counts blocks rather than calls.
 */
export interface SlownessBlock {
  startedAtMs: number;
  readonly old: {observed: number; slow: number};
  readonly new: {observed: number; slow: number};
}

/** Tests of one route during a move, kept by the move's owner in the zone. */
export interface RouteTest {
  readonly old: ObservationCounts;
  readonly new: ObservationCounts;
  readonly failures: SequentialTest;
  readonly slowness: SequentialTest;
  block: SlownessBlock;
}

/** Observations of the new version that were reported to the leader. */
export interface MoveProgress {
  /** Number of observations by zone since the move began. */
  readonly observedByZone: Map<string, number>;
  /** Total number of observations when the current step began. */
  observedAtStep: number;
  step: number;
}

/**
 * Verdicts and evidence on moves, and the leader's state. A move gradually
 * shifts the traffic of a service to a new version.
 */
export interface MovesState {
  /** Moves whose new version was found bad. Entries are never removed. */
  readonly withdrawn: Map<string, WithdrawalEvidence>;
  /** Observations that are not yet reported, by move, version and route. */
  readonly unreportedCounts: Map<string, ObservationCounts>;
  /** Usual latency, by service and route. */
  readonly baselines: Map<string, LatencyBaseline>;
  /** Tests of the moves that this VM owns in its zone, by move and route. */
  readonly tests: Map<string, RouteTest>;
  /** Observations reported to this VM as the leader, by move. */
  readonly progress: Map<string, MoveProgress>;
  /** Call ID of the leader's pending write; empty if there is none. */
  pendingCallId: string;
  /** When that write was started, in ms. */
  pendingSinceMs: number;
  nextCallNumber: number;
}

/** Creates the state before any move. */
export function createMovesState(): MovesState {
  return {
    withdrawn: new Map(),
    unreportedCounts: new Map(),
    baselines: new Map(),
    tests: new Map(),
    progress: new Map(),
    pendingCallId: '',
    pendingSinceMs: 0,
    nextCallNumber: 1,
  };
}
