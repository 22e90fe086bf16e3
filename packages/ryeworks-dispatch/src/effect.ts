import {ErrorKind} from '@ryeworks/types';
import {CallerBounds} from './desired/desiredState.js';
import {Endpoint} from './endpoints/endpoint.js';
import {MoveResult} from './moves/moveOrder.js';
import {CrashReport, PeerMessage} from './peers/peerMessage.js';

/** Sends a request to an endpoint. */
export interface StartCall {
  readonly kind: 'startCall';
  readonly requestId: string;
  readonly callNumber: number;
  readonly endpoint: Endpoint;
  readonly customer: string;
  readonly timeLeftMs: number;
  /** Whether the response is forwarded as a stream of events. */
  readonly isStream: boolean;
  /**
   * Whether only complete events are forwarded, so that the stream can be
   * resumed.
   */
  readonly isResumable: boolean;
  /**
   * Whether no other call follows once an endpoint has accepted this one, so that
   * the request's body is not needed any more.
   */
  readonly isLastRun: boolean;
}

/** Cancels one call of a request. */
export interface CancelCall {
  readonly kind: 'cancelCall';
  readonly requestId: string;
  readonly callNumber: number;
}

/**
 * Checks whether an endpoint accepts connections, shortly after it has lost one:
 * a process that ends may still accept one meanwhile.
 */
export interface ProbeEndpoint {
  readonly kind: 'probeEndpoint';
  readonly endpoint: Endpoint;
  /** Time until the probe, in ms. */
  readonly delayMs: number;
}

/** Answers the caller with an error that this VM generates. */
export interface AnswerError {
  readonly kind: 'answerError';
  readonly requestId: string;
  readonly error: ErrorKind;
  /** Why the request ends, for logs and counters. */
  readonly reason: string;
  /** Time after which the caller should retry, in ms; 0 sends no such hint. */
  readonly retryAfterMs: number;
}

/** Forwards an endpoint's failure response to the caller. */
export interface ForwardFailure {
  readonly kind: 'forwardFailure';
  readonly requestId: string;
}

/** Aborts a response that has begun by closing the caller's connection. */
export interface AbortResponse {
  readonly kind: 'abortResponse';
  readonly requestId: string;
  /** Why the request ends, for logs and counters. */
  readonly reason: string;
}

/** Sends a message to a peer; delivery is not guaranteed. */
export interface SendPeer {
  readonly kind: 'sendPeer';
  /** `host:port`. */
  readonly address: string;
  readonly message: PeerMessage;
}

/** Applies new bounds on what callers may send to the listener. */
export interface ApplyCallerBounds {
  readonly kind: 'applyCallerBounds';
  readonly bounds: CallerBounds;
}

/** Fetches the desired state that a peer has applied. */
export interface FetchDesiredState {
  readonly kind: 'fetchDesiredState';
  readonly address: string;
}

/** Reads the desired state from the store. */
export interface ReadDesiredState {
  readonly kind: 'readDesiredState';
  /** Oldest version that is accepted. */
  readonly version: number;
}

/** Fetches a peer's view of the store. */
export interface FetchStoreView {
  readonly kind: 'fetchStoreView';
  readonly address: string;
}

/** Starts or stops watching the store. */
export interface SetStoreWatch {
  readonly kind: 'setStoreWatch';
  readonly isWatching: boolean;
}

/** Announces this VM in the store. */
export interface AnnounceVm {
  readonly kind: 'announceVm';
}

/** Writes the progress or the result of a move to the store. */
export interface WriteMoveResult {
  readonly kind: 'writeMoveResult';
  readonly result: MoveResult;
}

/**
 * Writes to the store which prompts crash endpoints, in place of what it holds. A
 * `crashReportsWritten` input follows.
 */
export interface WriteCrashReports {
  readonly kind: 'writeCrashReports';
  readonly reports: readonly CrashReport[];
}

/** Reports an error that the handler of a timer has thrown. */
export interface ReportFault {
  readonly kind: 'reportFault';
  readonly error: unknown;
  /** Request that the timer belongs to; undefined if it is a periodic task. */
  readonly requestId: string | undefined;
}

/** Increments a counter. */
export interface Count {
  readonly kind: 'count';
  readonly name: CounterName;
  readonly labels: Readonly<Record<string, string>>;
}

/** Adds a duration to a histogram. */
export interface Observe {
  readonly kind: 'observe';
  readonly name: HistogramName;
  readonly labels: Readonly<Record<string, string>>;
  readonly valueMs: number;
}

/** Logs an event. */
export interface Log {
  readonly kind: 'log';
  readonly event: string;
  readonly fields: Readonly<Record<string, string | number | boolean>>;
}

/** The label names of each counter. */
export const counterLabels = {
  requests_received: ['tier'],
  requests_refused: ['reason', 'tier'],
  requests_ended: ['outcome', 'tier'],
  requests_unanswered: ['cause'],
  connections_limited: ['listener', 'reason'],
  internal_errors: ['source'],
  calls_started: ['tier'],
  calls_failed: ['failure'],
  calls_repeated: ['reason'],
  calls_not_repeated: ['reason'],
  hedges_sent: [],
  hedges_won: [],
  hedges_denied: ['reason'],
  permits_asked: [],
  permit_answers: ['outcome'],
  warm_ups: ['change'],
  fair_queue_reordered: ['tier'],
  slots_offered: [],
  slots_taken: [],
  desired_state_applied: [],
  endpoints_changed: ['change'],
  endpoint_notices: ['notice'],
  evacuations: ['change'],
  prompt_crashes: [],
  prompt_parts: ['change'],
  store_changes: ['state'],
} as const;

/** Name of a counter. */
export type CounterName = keyof typeof counterLabels;

/** The label names of each histogram; all histograms hold durations in ms. */
export const histogramLabels = {
  first_event_ms: ['tier'],
  waited_ms: ['tier'],
  request_ms: ['tier', 'outcome'],
} as const;

/** Name of a histogram. */
export type HistogramName = keyof typeof histogramLabels;

/** An action that the VM must take as the result of a decision. */
export type Effect =
  | StartCall
  | CancelCall
  | ProbeEndpoint
  | AnswerError
  | ForwardFailure
  | AbortResponse
  | SendPeer
  | FetchDesiredState
  | ReadDesiredState
  | FetchStoreView
  | SetStoreWatch
  | AnnounceVm
  | ApplyCallerBounds
  | WriteMoveResult
  | WriteCrashReports
  | ReportFault
  | Count
  | Observe
  | Log;

/** Creates an effect that increments a counter. */
export function createCount(
  name: CounterName,
  labels: Readonly<Record<string, string>> = {},
): Count {
  return {kind: 'count', name, labels};
}

/** Creates an effect that logs an event. */
export function createLog(event: string, fields: Log['fields'] = {}): Log {
  return {kind: 'log', event, fields};
}
