import {ServiceKind} from '@ryeworks/types';
import {AnswerBuffer} from './answerBuffer.js';

/** What an endpoint call needs of a caller's request. */
export interface OpenRequest {
  readonly requestId: string;
  readonly kind: ServiceKind;
  readonly method: string;
  /** Path and query at the endpoint. */
  readonly path: string;
  readonly contentType: string;
  readonly body: Buffer;
  readonly idempotencyKey?: string;
  /** Whether the caller wants a model's answer as a stream. */
  readonly isStreamed: boolean;
  /** Model that the caller named; empty for a plain service. */
  readonly model: string;
  readonly answer: AnswerBuffer;
}

/** Requests by id, from their arrival to the end of their answer. */
export type OpenRequests = Map<string, OpenRequest>;
