import {
  DocumentName,
  Endpoint,
  ErrorKind,
  RunStatus,
  ZoneStatus,
} from '@ryeworks/types';
import {PeerMessage} from './peerMessage.js';

/** Sends a message to a peer; it may be lost. */
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
  /** Time left for the call, in ms. */
  readonly deadlineInMs: number;
}

/** Resumes a cut or silent stream on the same endpoint, over a new connection. */
export interface Resume {
  readonly kind: 'resume';
  readonly requestId: string;
  readonly endpoint: Endpoint;
  /** Id under which the endpoint knows the stream. */
  readonly streamId: string;
}

/** Cancels a call to an endpoint. */
export interface CancelDispatch {
  readonly kind: 'cancelDispatch';
  readonly requestId: string;
}

/** Gives the caller its final answer when it is not the endpoint's. */
export interface AnswerError {
  readonly kind: 'answerError';
  readonly requestId: string;
  readonly error: ErrorKind;
  readonly ran: RunStatus;
  readonly retryAfterMs: number;
}

/** Gives the caller the answer of the request that holds its key. */
export interface AttachAnswer {
  readonly kind: 'attachAnswer';
  readonly requestId: string;
  readonly holder: string;
  readonly holderAddress: string;
  readonly holderRequestId: string;
}

/** Ends the caller's answer as complete. */
export interface CompleteAnswer {
  readonly kind: 'completeAnswer';
  readonly requestId: string;
}

/** Writes a document with a conditional update. */
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

/** Writes the status of this VM's zone. */
export interface WriteStatus {
  readonly kind: 'writeStatus';
  readonly status: ZoneStatus;
}

/** Tells the shell whether this VM watches the platform for its zone. */
export interface SetWatching {
  readonly kind: 'setWatching';
  readonly watching: boolean;
}

/** Adds to a counter. */
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

/** Everything that a VM's decisions lead to. */
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
