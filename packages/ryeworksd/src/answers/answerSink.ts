import {ErrorKind, RunStatus} from '@ryeworks/types';

/** Why an answer ended without being whole. */
export interface AnswerFailure {
  readonly error: ErrorKind;
  readonly ran: RunStatus;
  /** When to come back, in ms from now; 0 for never. */
  readonly retryAfterMs: number;
}

/** Receives one answer, part by part. */
export interface AnswerSink {
  /** Starts the answer. */
  writeHead(status: number, contentType: string): void;
  /** Adds to the body. */
  writeBody(chunk: Buffer): void;
  /** Ends the answer as whole. */
  end(): void;
  /** Ends the answer as not whole. */
  fail(failure: AnswerFailure): void;
}
