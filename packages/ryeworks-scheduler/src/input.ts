import {DocumentName, Tier, VmRecord} from '@ryeworks/types';
import {PeerMessage} from './peerMessage.js';

/** A caller's request, after it was authenticated and parsed. */
export interface RequestReceived {
  readonly kind: 'requestReceived';
  readonly requestId: string;
  readonly customer: string;
  readonly service: string;
  /** Key of the route, as `METHOD path`. */
  readonly route: string;
  /** Tier that the caller requested. */
  readonly tier?: Tier;
  readonly promptTokens: number;
  readonly maxTokens: number;
  /** Hash of the start of the prompt, for prefix affinity. */
  readonly prefixHash: number;
  /**
   * Hash of the whole request, to detect an idempotency key that is reused for
   * a different request.
   */
  readonly fingerprint: number;
  /** The caller's idempotency key, made unique across customers. */
  readonly idempotencyKey?: string;
  /** 1 for a first attempt; undefined when the caller does not specify it. */
  readonly attempt?: number;
  /** Age of an idempotency key that contains its creation time, in ms. */
  readonly keyAgeMs?: number;
  /** Time allowed for the whole call, in ms. */
  readonly deadlineInMs?: number;
}

/** The caller closed its connection. */
export interface CallerGone {
  readonly kind: 'callerGone';
  readonly requestId: string;
}

/** The first token or response byte arrived from the endpoint. */
export interface EndpointFirstToken {
  readonly kind: 'endpointFirstToken';
  readonly requestId: string;
}

/** More of the answer arrived from the endpoint. */
export interface EndpointProgress {
  readonly kind: 'endpointProgress';
  readonly requestId: string;
}

/** The endpoint completed its answer. */
export interface EndpointDone {
  readonly kind: 'endpointDone';
  readonly requestId: string;
  readonly outputTokens: number;
}

/** Reasons why a call to an endpoint failed. */
export const callFailure = {
  /** The connection could not be established, so nothing was sent. */
  notSent: 'notSent',
  /** The endpoint reported that it refused the call before running it. */
  refused: 'refused',
  /** The endpoint ran the call and returned a failure. */
  failed: 'failed',
  /** The connection failed after the request was sent. */
  cut: 'cut',
  /** The endpoint does not recognize the stream to resume. */
  streamUnknown: 'streamUnknown',
} as const;

/** Reason why a call to an endpoint failed. */
export type CallFailure = (typeof callFailure)[keyof typeof callFailure];

/** A call to an endpoint failed. */
export interface EndpointFailed {
  readonly kind: 'endpointFailed';
  readonly requestId: string;
  readonly failure: CallFailure;
}

/** A report of an endpoint's load, which may be out of date. */
export interface LoadReported {
  readonly kind: 'loadReported';
  readonly endpoint: string;
  readonly running: number;
  readonly queued: number;
}

/** A message from a peer. */
export interface PeerMessageReceived {
  readonly kind: 'peerMessageReceived';
  readonly from: string;
  readonly message: PeerMessage;
}

/** A version of a document was read from the platform. */
export interface DocumentRead {
  readonly kind: 'documentRead';
  readonly name: DocumentName;
  readonly version: number;
  readonly contentJson: string;
}

/** The platform listed the running VMs. The list may be out of date. */
export interface VmsListed {
  readonly kind: 'vmsListed';
  readonly vms: readonly VmRecord[];
}

/**
 * The platform has no record of an earlier start of this VM's zone, so no
 * idempotency key can have been claimed in it before.
 */
export interface NewZoneDetected {
  readonly kind: 'newZoneDetected';
}

/**
 * A call to the platform ended. The result is `unknown` when the answer was
 * lost.
 */
export interface PlatformCallEnded {
  readonly kind: 'platformCallEnded';
  readonly callId: string;
  readonly result: 'ok' | 'conflict' | 'failed' | 'unknown';
}

/** At least one timer is due. */
export interface TimerDue {
  readonly kind: 'timerDue';
}

/** A graceful stop was requested. */
export interface StopRequested {
  readonly kind: 'stopRequested';
}

/** An event that the scheduler handles. */
export type Input =
  | RequestReceived
  | CallerGone
  | EndpointFirstToken
  | EndpointProgress
  | EndpointDone
  | EndpointFailed
  | LoadReported
  | PeerMessageReceived
  | DocumentRead
  | VmsListed
  | NewZoneDetected
  | PlatformCallEnded
  | TimerDue
  | StopRequested;

/** The input type of one kind. */
export type InputOf<K extends Input['kind']> = Extract<Input, {kind: K}>;
