import {
  DocumentName,
  Endpoint,
  ErrorKind,
  RunStatus,
  ZoneStatus,
} from '@ryeworks/types';
import {PeerMessage} from './peerMessage.js';

/** Sends a message to a peer. Delivery is not guaranteed. */
export interface SendPeer {
  readonly kind: 'sendPeer';
  readonly to: string;
  readonly address: string;
  readonly message: PeerMessage;
}

/** Sends a request to an endpoint. */
export interface Dispatch {
  readonly kind: 'dispatch';
  readonly requestId: string;
  readonly endpoint: Endpoint;
  /** Remaining time for the call, in ms. */
  readonly deadlineInMs: number;
}

/**
 * Resumes a disconnected or silent stream on the same endpoint, over a new
 * connection.
 */
export interface Resume {
  readonly kind: 'resume';
  readonly requestId: string;
  readonly endpoint: Endpoint;
  /** ID by which the endpoint identifies the stream. */
  readonly streamId: string;
}

/** Cancels the call to an endpoint. */
export interface CancelDispatch {
  readonly kind: 'cancelDispatch';
  readonly requestId: string;
}

/** Sends the caller an error as its final answer. */
export interface AnswerError {
  readonly kind: 'answerError';
  readonly requestId: string;
  readonly error: ErrorKind;
  readonly ran: RunStatus;
  readonly retryAfterMs: number;
}

/**
 * Sends the caller the answer of another request, the one that holds the same
 * idempotency key.
 */
export interface AttachAnswer {
  readonly kind: 'attachAnswer';
  readonly requestId: string;
  readonly holder: string;
  readonly holderAddress: string;
  readonly holderRequestId: string;
}

/** Marks the caller's answer as complete and ends it. */
export interface CompleteAnswer {
  readonly kind: 'completeAnswer';
  readonly requestId: string;
}

/**
 * Writes a document to the platform if its version is still
 * `expectedVersion`.
 */
export interface WriteDocument {
  readonly kind: 'writeDocument';
  readonly callId: string;
  readonly name: DocumentName;
  readonly expectedVersion: number;
  readonly contentJson: string;
}

/** Reads a document from the platform. */
export interface ReadDocument {
  readonly kind: 'readDocument';
  readonly name: DocumentName;
}

/** Writes the status of this VM's zone to the platform. */
export interface WriteStatus {
  readonly kind: 'writeStatus';
  readonly status: ZoneStatus;
}

/** Starts or stops watching the platform on behalf of this VM's zone. */
export interface SetWatching {
  readonly kind: 'setWatching';
  readonly watching: boolean;
}

/** Increments a counter by an amount. */
export interface Count {
  readonly kind: 'count';
  readonly name: string;
  readonly tags: Readonly<Record<string, string>>;
  readonly amount: number;
}

/** Logs an event. */
export interface Log {
  readonly kind: 'log';
  readonly event: string;
  readonly fields: Readonly<Record<string, string | number | boolean>>;
}

/** An action that the host process carries out for the scheduler. */
export type Effect =
  | SendPeer
  | Dispatch
  | Resume
  | CancelDispatch
  | AnswerError
  | AttachAnswer
  | CompleteAnswer
  | WriteDocument
  | ReadDocument
  | WriteStatus
  | SetWatching
  | Count
  | Log;

/** Creates a counter effect. */
export function createCount(
  name: string,
  tags: Readonly<Record<string, string>> = {},
  amount = 1,
): Count {
  return {kind: 'count', name, tags, amount};
}

/** Creates a log effect. */
export function createLog(
  event: string,
  fields: Readonly<Record<string, string | number | boolean>> = {},
): Log {
  return {kind: 'log', event, fields};
}
