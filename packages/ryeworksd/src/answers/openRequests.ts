import {ServiceKind} from '@ryeworks/types';
import {AnswerBuffer} from './answerBuffer.js';

/** A caller's request with the data needed to call an endpoint for it. */
export interface OpenRequest {
  readonly requestId: string;
  readonly kind: ServiceKind;
  readonly method: string;
  /** Path and query of the call to the endpoint. */
  readonly path: string;
  readonly contentType: string;
  readonly body: Buffer;
  readonly idempotencyKey?: string;
  /** Whether the caller requested the model's answer as a stream. */
  readonly isStreamed: boolean;
  /** Model that the caller requested; empty for a plain service. */
  readonly model: string;
  readonly answer: AnswerBuffer;
}

/** Requests by ID, from their arrival until their answer ends. */
export type OpenRequests = Map<string, OpenRequest>;
