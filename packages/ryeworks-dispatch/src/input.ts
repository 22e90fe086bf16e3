import {DesiredState} from './desired/desiredState.js';
import {DispatchBounds} from './dispatchOptions.js';
import {Endpoint} from './endpoints/endpoint.js';
import {MoveOrder} from './moves/moveOrder.js';
import {PeerMessage} from './peers/peerMessage.js';

/** A caller's request, read whole. */
export interface RequestReceived {
  readonly kind: 'requestReceived';
  /** Unique on this VM. */
  readonly requestId: string;
  /** Id that the caller gave its attempt. */
  readonly attemptId: string;
  readonly host: string;
  readonly path: string;
  /** Undefined when the caller sent none. */
  readonly apiKey: string | undefined;
  /** When its headers were read, in ms. */
  readonly receivedAtMs: number;
  /** How long the caller waits, in ms; undefined when it does not say. */
  readonly deadlineInMs: number | undefined;
  /** Tokens of the prompt; 0 when the caller states none. */
  readonly promptTokens: number;
  /** Prompt and most output tokens; undefined when the caller states none. */
  readonly totalTokens: number | undefined;
}

/** The caller closed its connection before the answer ended. */
export interface CallerGone {
  readonly kind: 'callerGone';
  readonly requestId: string;
}

/** Which call of a request an event is about. */
interface CallEvent {
  readonly requestId: string;
  readonly callNumber: number;
}

/** The request was written to an endpoint: it may run. */
export interface CallSent extends CallEvent {
  readonly kind: 'callSent';
}

/** Events of the answer, or bytes of a plain one, arrived. */
export interface CallProgressed extends CallEvent {
  readonly kind: 'callProgressed';
  /** Events so far in this call. */
  readonly events: number;
}

/** The whole answer arrived and was passed on. */
export interface CallDone extends CallEvent {
  readonly kind: 'callDone';
  readonly status: number;
}

/** What is known of a call that failed. */
export const callFailure = {
  /** No connection could be made: nothing was sent. */
  notSent: 'notSent',
  /** The endpoint said that it did not run the call. */
  refused: 'refused',
  /** Another endpoint has the address and did not run the call. */
  wrongEndpoint: 'wrongEndpoint',
  /** The endpoint ran the call and answered with a failure. */
  failed: 'failed',
  /** The connection or the answer broke off; the call may have run. */
  cut: 'cut',
} as const;

/** One of the call failures. */
export type CallFailure = (typeof callFailure)[keyof typeof callFailure];

/** A call failed. */
export interface CallFailed extends CallEvent {
  readonly kind: 'callFailed';
  readonly failure: CallFailure;
  /** Whether the caller has part of the answer. */
  readonly hasResponseStarted: boolean;
  /** For logs. */
  readonly detail: string;
}

/** A version of the desired state was read, here or by a peer. */
export interface DesiredStateRead {
  readonly kind: 'desiredStateRead';
  readonly desiredState: DesiredState;
}

/** All endpoints were listed. */
export interface EndpointsListed {
  readonly kind: 'endpointsListed';
  readonly endpoints: readonly Endpoint[];
}

/** An endpoint appeared or changed. */
export interface EndpointChanged {
  readonly kind: 'endpointChanged';
  readonly endpoint: Endpoint;
}

/** The entry of an endpoint was removed. */
export interface EndpointRemoved {
  readonly kind: 'endpointRemoved';
  readonly id: string;
}

/** The platform's store was lost or came back. */
export interface StoreReachabilityChanged {
  readonly kind: 'storeReachabilityChanged';
  readonly isReachable: boolean;
}

/** A VM is listed in the store. */
export interface VmListed {
  readonly kind: 'vmListed';
  readonly vm: string;
  readonly address: string;
  readonly availabilityZone: string;
}

/** The settings name a peer to greet. */
export interface SeedListed {
  readonly kind: 'seedListed';
  /** `host:port`. */
  readonly address: string;
}

/** The operators' orders to move services to other versions. */
export interface MovesRead {
  readonly kind: 'movesRead';
  readonly orders: readonly MoveOrder[];
}

/** What the store told was taken in up to a revision. */
export interface StoreRevisionRead {
  readonly kind: 'storeRevisionRead';
  readonly revision: number;
}

/** A peer told what it knows of the store. */
export interface StoreViewRead {
  readonly kind: 'storeViewRead';
  readonly revision: number;
  readonly endpoints: readonly Endpoint[];
  readonly orders: readonly MoveOrder[];
}

/** A peer's message came. */
export interface PeerMessageReceived {
  readonly kind: 'peerMessageReceived';
  readonly message: PeerMessage;
}

/** A graceful stop was asked for. */
export interface StopRequested {
  readonly kind: 'stopRequested';
  /** When the process is to have ended, in ms. */
  readonly endAtMs: number;
}

/** The settings of this process were read again. */
export interface BoundsChanged {
  readonly kind: 'boundsChanged';
  readonly bounds: DispatchBounds;
}

/** A timer is due. */
export interface TimerDue {
  readonly kind: 'timerDue';
}

/** Everything that a VM's decisions react to. */
export type Input =
  | RequestReceived
  | CallerGone
  | CallSent
  | CallProgressed
  | CallDone
  | CallFailed
  | DesiredStateRead
  | EndpointsListed
  | EndpointChanged
  | EndpointRemoved
  | StoreReachabilityChanged
  | VmListed
  | SeedListed
  | MovesRead
  | StoreRevisionRead
  | StoreViewRead
  | PeerMessageReceived
  | StopRequested
  | BoundsChanged
  | TimerDue;

/** The input of one kind. */
export type InputOf<K extends Input['kind']> = Extract<Input, {kind: K}>;
