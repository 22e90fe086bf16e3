import {createRandomSource, RandomSource, TimerQueue} from '@ryeworks/utils';
import {
  AdmissionState,
  createAdmissionState,
} from './admission/admissionState.js';
import {ClaimsState, createClaimsState} from './claims/claimsState.js';
import {
  createDocumentsState,
  DocumentsState,
} from './documents/documentsState.js';
import {createLimitsState, LimitsState} from './limits/limitsState.js';
import {
  createMembershipState,
  MembershipState,
} from './membership/membershipState.js';
import {createMovesState, MovesState} from './moves/movesState.js';
import {createRequestsState, RequestsState} from './requests/requestsState.js';
import {SchedulerOptions} from './schedulerOptions.js';
import {TimerPurpose} from './timerPurpose.js';

/** State of the scheduler on one VM. It is kept in memory only. */
export interface SchedulerState {
  readonly options: SchedulerOptions;
  readonly random: RandomSource;
  readonly timers: TimerQueue<TimerPurpose>;
  readonly membership: MembershipState;
  readonly documents: DocumentsState;
  readonly admission: AdmissionState;
  readonly requests: RequestsState;
  readonly claims: ClaimsState;
  readonly limits: LimitsState;
  readonly moves: MovesState;
  /** Wall-clock time minus the monotonic time of the inputs, in ms. */
  readonly wallClockOffsetMs: number;
  /** True once a graceful stop was requested. */
  draining: boolean;
}

/** Creates the initial state of the scheduler on one VM. */
export function createSchedulerState(
  options: SchedulerOptions,
  nowMs: number,
  wallClockOffsetMs = 0,
): SchedulerState {
  return {
    options,
    random: createRandomSource(options.seed),
    timers: new TimerQueue(),
    membership: createMembershipState(options),
    documents: createDocumentsState(),
    admission: createAdmissionState(),
    requests: createRequestsState(),
    claims: createClaimsState(nowMs),
    limits: createLimitsState(),
    moves: createMovesState(),
    wallClockOffsetMs,
    draining: false,
  };
}

/** Converts a monotonic time to wall-clock time, in ms. */
export function getWallClockMs(state: SchedulerState, nowMs: number): number {
  return nowMs + state.wallClockOffsetMs;
}
