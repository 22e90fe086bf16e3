import {DocumentName, Tier, VmRecord} from '@ryeworks/types';
import {PeerMessage} from './peerMessage.js';

/** A caller's request, authenticated and read. */
export interface RequestReceived {
  readonly kind: 'requestReceived';
  readonly requestId: string;
  readonly customer: string;
  readonly service: string;
  /** Key of the route, as `METHOD path`. */
  readonly route: string;
  /** Tier that the caller asked for. */
  readonly tier?: Tier;
  readonly promptTokens: number;
  readonly maxTokens: number;
  /** Hash of the prompt's first part, for prefix affinity. */
  readonly prefixHash: number;
  /** Hash of the whole request, to tell a reused key. */
  readonly fingerprint: number;
  /** The caller's idempotency key, made unique over customers. */
  readonly idempotencyKey?: string;
  /** 1 for a first attempt; undefined when the caller does not say. */
  readonly attempt?: number;
  /** Age of a time-ordered idempotency key, in ms. */
  readonly keyAgeMs?: number;
  /** Time for the whole call, in ms. */
  readonly deadlineInMs?: number;
}

/** The caller closed its connection. */
export interface CallerGone {
  readonly kind: 'callerGone';
  readonly requestId: string;
}

/** The first token or response byte arrived. */
export interface EndpointFirstToken {
  readonly kind: 'endpointFirstToken';
  readonly requestId: string;
}

/** More of the answer arrived. */
export interface EndpointProgress {
  readonly kind: 'endpointProgress';
  readonly requestId: string;
}

/** The whole answer arrived. */
export interface EndpointDone {
  readonly kind: 'endpointDone';
  readonly requestId: string;
  readonly outputTokens: number;
}

/** What is known of a call that failed. */
export const callFailure = {
  /** No connection could be made: nothing was sent. */
  notSent: 'notSent',
  /** The endpoint said that it refused the call before running it. */
  refused: 'refused',
  /** The endpoint ran the call and answered with a failure. */
  failed: 'failed',
  /** The connection failed after the request was sent. */
  cut: 'cut',
  /** The endpoint does not know the stream that was to be resumed. */
  streamUnknown: 'streamUnknown',
} as const;

/** One of the call failures. */
export type CallFailure = (typeof callFailure)[keyof typeof callFailure];

/** A call to an endpoint failed. */
export interface EndpointFailed {
  readonly kind: 'endpointFailed';
  readonly requestId: string;
  readonly failure: CallFailure;
}

/** A load report of an endpoint; it lags. */
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

/** The platform gave a version of a document. */
export interface DocumentRead {
  readonly kind: 'documentRead';
  readonly name: DocumentName;
  readonly version: number;
  readonly contentJson: string;
}

/** The platform listed the live VMs; the list lags. */
export interface VmsListed {
  readonly kind: 'vmsListed';
  readonly vms: readonly VmRecord[];
}

/**
 * The platform held no trace of an earlier start of this VM's zone, so no
 * idempotency key can have been claimed here before.
 */
export interface NewZoneDetected {
  readonly kind: 'newZoneDetected';
}

/** A platform call ended. `unknown`: its answer was lost. */
export interface PlatformCallEnded {
  readonly kind: 'platformCallEnded';
  readonly callId: string;
  readonly result: 'ok' | 'conflict' | 'failed' | 'unknown';
}

/** A timer is due. */
export interface TimerDue {
  readonly kind: 'timerDue';
}

/** A graceful stop was asked for. */
export interface StopRequested {
  readonly kind: 'stopRequested';
}

/** Everything that a VM's decisions react to. */
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

/** The input of one kind. */
export type InputOf<K extends Input['kind']> = Extract<Input, {kind: K}>;
