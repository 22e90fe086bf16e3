import {ErrorKind, RunStatus} from '@ryeworks/types';

/** Why an answer ended without being complete. */
export interface AnswerFailure {
  readonly error: ErrorKind;
  readonly ran: RunStatus;
  /** Time after which the caller may retry, in ms; 0 if it should not retry. */
  readonly retryAfterMs: number;
}

/** Receives one answer in parts. */
export interface AnswerSink {
  /** Starts the answer with its HTTP status and content type. */
  writeHead(status: number, contentType: string): void;
  /** Appends a chunk to the body. */
  writeBody(chunk: Buffer): void;
  /** Ends the answer as complete. */
  end(): void;
  /** Ends the answer as failed. */
  fail(failure: AnswerFailure): void;
}
