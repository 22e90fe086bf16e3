import {ErrorKind} from '@ryeworks/types';
import {CallerBounds} from './desired/desiredState.js';
import {Endpoint} from './endpoints/endpoint.js';
import {MoveResult} from './moves/moveOrder.js';
import {PeerMessage} from './peers/peerMessage.js';

/** Sends a request to an endpoint. */
export interface StartCall {
  readonly kind: 'startCall';
  readonly requestId: string;
  readonly callNumber: number;
  readonly endpoint: Endpoint;
  readonly customer: string;
  readonly timeLeftMs: number;
  /** How the answer is passed on. */
  readonly isStream: boolean;
  /** Whether only whole events are passed on, so that it can be resumed. */
  readonly isResumable: boolean;
}

/** Breaks a call off. */
export interface CancelCall {
  readonly kind: 'cancelCall';
  readonly requestId: string;
}

/** Gives the caller a final answer of this VM's own. */
export interface AnswerError {
  readonly kind: 'answerError';
  readonly requestId: string;
  readonly error: ErrorKind;
  /** When the caller should come back, in ms; 0: it is not told. */
  readonly retryAfterMs: number;
}

/** Passes the failure that the endpoint answered on to the caller. */
export interface ForwardFailure {
  readonly kind: 'forwardFailure';
  readonly requestId: string;
}

/** Closes the caller's connection in the middle of an answer. */
export interface AbortResponse {
  readonly kind: 'abortResponse';
  readonly requestId: string;
}

/** Sends a message to a peer; it may be lost. */
export interface SendPeer {
  readonly kind: 'sendPeer';
  /** `host:port`. */
  readonly address: string;
  readonly message: PeerMessage;
}

/** Brings what callers may send into force at the listener. */
export interface ApplyCallerBounds {
  readonly kind: 'applyCallerBounds';
  readonly bounds: CallerBounds;
}

/** Asks a peer for the desired state that it has in force. */
export interface FetchDesiredState {
  readonly kind: 'fetchDesiredState';
  readonly address: string;
}

/** Reads the desired state in the store, of a version or newer. */
export interface ReadDesiredState {
  readonly kind: 'readDesiredState';
  readonly version: number;
}

/** Asks a peer for what it knows of the store. */
export interface FetchStoreView {
  readonly kind: 'fetchStoreView';
  readonly address: string;
}

/** Begins or ends the watches of the store. */
export interface SetStoreWatch {
  readonly kind: 'setStoreWatch';
  readonly isWatching: boolean;
}

/** Writes how a move ended or stands. */
export interface WriteMoveResult {
  readonly kind: 'writeMoveResult';
  readonly result: MoveResult;
}

/** Adds to a counter. */
export interface Count {
  readonly kind: 'count';
  readonly name: CounterName;
  readonly labels: Readonly<Record<string, string>>;
}

/** Adds a time to a histogram. */
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

/** The counters, each with its labels. */
export const counterLabels = {
  requests_received: ['tier'],
  requests_refused: ['reason', 'tier'],
  requests_ended: ['outcome', 'tier'],
  calls_started: ['tier'],
  calls_failed: ['failure'],
  calls_repeated: ['reason'],
  calls_not_repeated: ['reason'],
  slots_offered: [],
  slots_taken: [],
  desired_state_applied: [],
  endpoints_changed: ['change'],
  store_changes: ['state'],
} as const;

/** One of the counters. */
export type CounterName = keyof typeof counterLabels;

/** The histograms of times in ms, each with its labels. */
export const histogramLabels = {
  first_event_ms: ['tier'],
  waited_ms: ['tier'],
  request_ms: ['tier', 'outcome'],
} as const;

/** One of the histograms. */
export type HistogramName = keyof typeof histogramLabels;

/** Everything that a VM's decisions lead to. */
export type Effect =
  | StartCall
  | CancelCall
  | AnswerError
  | ForwardFailure
  | AbortResponse
  | SendPeer
  | FetchDesiredState
  | ReadDesiredState
  | FetchStoreView
  | SetStoreWatch
  | ApplyCallerBounds
  | WriteMoveResult
  | Count
  | Observe
  | Log;

/** Creates a counter effect. */
export function createCount(
  name: CounterName,
  labels: Readonly<Record<string, string>> = {},
): Count {
  return {kind: 'count', name, labels};
}

/** Creates a log effect. */
export function createLog(event: string, fields: Log['fields'] = {}): Log {
  return {kind: 'log', event, fields};
}
