import {errorAnswers} from '@ryeworks/types';
import {FastifyReply} from 'fastify';
import {AnswerFailure, AnswerSink} from '../answers/answerSink.js';

/** Creates the JSON body of the answer to a failed request. */
export function createErrorBody(
  failure: AnswerFailure,
  requestId: string,
  detail?: string,
): object {
  const {message} = errorAnswers[failure.error];
  return {
    error: {
      type: failure.error,
      message: detail === undefined ? message : `${message} ${detail}`,
      ran: failure.ran,
      request_id: requestId,
      retry_after_ms: failure.retryAfterMs || undefined,
    },
  };
}

/** Creates the headers of the answer to a failed request. */
export function createErrorHeaders(
  failure: AnswerFailure,
): Record<string, string> {
  const headers: Record<string, string> = {'ryeworks-ran': failure.ran};
  if (failure.retryAfterMs > 0) {
    headers['retry-after'] = `${Math.ceil(failure.retryAfterMs / 1000)}`;
    headers['retry-after-ms'] = `${failure.retryAfterMs}`;
  }
  return headers;
}

/** Writes an answer to the HTTP reply of a caller. */
export class ReplySink implements AnswerSink {
  constructor(
    private readonly reply: FastifyReply,
    private readonly requestId: string,
  ) {}

  writeHead(status: number, contentType: string): void {
    this.reply.raw.writeHead(status, {
      'content-type': contentType,
      'x-request-id': this.requestId,
    });
  }

  writeBody(chunk: Buffer): void {
    this.reply.raw.write(chunk);
  }

  end(): void {
    this.reply.raw.end();
  }

  /**
   * Reports the failure to the caller. If the headers have been sent, writes an
   * error event and destroys the connection, so that the caller cannot mistake
   * the partial answer for a complete one.
   */
  fail(failure: AnswerFailure): void {
    const {raw} = this.reply;
    const body = JSON.stringify(createErrorBody(failure, this.requestId));
    if (raw.headersSent) {
      raw.write(`event: error\ndata: ${body}\n\n`, () => raw.destroy());
      return;
    }
    raw.writeHead(errorAnswers[failure.error].status, {
      ...createErrorHeaders(failure),
      'content-type': 'application/json',
      'x-request-id': this.requestId,
    });
    raw.end(body);
  }
}
