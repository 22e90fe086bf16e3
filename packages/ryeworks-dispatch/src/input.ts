import {DesiredState} from './desired/desiredState.js';
import {DispatchBounds} from './dispatchOptions.js';
import {Endpoint} from './endpoints/endpoint.js';
import {EndpointNotice} from './endpoints/endpointNotice.js';
import {MoveOrder} from './moves/moveOrder.js';
import {CrashReport, PeerMessage} from './peers/peerMessage.js';
import {LimitStatement} from './rateLimits/limitStatement.js';
import {StorePosition} from './store/storePosition.js';

/** A caller's request was read completely. */
export interface RequestReceived {
  readonly kind: 'requestReceived';
  /** Unique on this VM. */
  readonly requestId: string;
  /** Id that the caller assigned to this attempt. */
  readonly attemptId: string;
  readonly host: string;
  readonly path: string;
  /** Undefined if the caller sent none. */
  readonly apiKey: string | undefined;
  /** When the request headers were read, in ms. */
  readonly receivedAtMs: number;
  /** How long the caller will wait, in ms; undefined if not stated. */
  readonly deadlineInMs: number | undefined;
  /** Tokens in the prompt; 0 if the caller does not state them. */
  readonly promptTokens: number;
  /**
   * Tokens in the prompt plus the maximum of output tokens; undefined if the
   * caller does not state them.
   */
  readonly totalTokens: number | undefined;
  /**
   * IDs of the parts of the prompt that other prompts may share: all but the
   * last, in order; empty if the caller names none.
   */
  readonly sharedParts: readonly string[];
}

/** The caller's connection closed before the response was complete. */
export interface CallerGone {
  readonly kind: 'callerGone';
  readonly requestId: string;
  /** Whether this VM closed the connection, not the caller; false if not set. */
  readonly isClosedHere?: boolean;
}

/** This VM cannot go on with a request: a fault, or the end of the process. */
export interface RequestInterrupted {
  readonly kind: 'requestInterrupted';
  readonly requestId: string;
  /** Why, for logs and counters. */
  readonly reason: string;
  /** Whether the last call of the request was started. */
  readonly isCallStarted: boolean;
}

/** Identifies the call of a request that an event refers to. */
interface CallEvent {
  readonly requestId: string;
  readonly callNumber: number;
}

/** The request was written to an endpoint, so it may run there. */
export interface CallSent extends CallEvent {
  readonly kind: 'callSent';
}

/** The head of an endpoint's answer arrived. */
export interface CallAnswered extends CallEvent {
  readonly kind: 'callAnswered';
  /** Undefined if the answer is not verifiably to this call. */
  readonly limitStatement: LimitStatement | undefined;
  readonly notice: EndpointNotice;
}

/**
 * Part of the response arrived: events of a stream or bytes of a plain
 * response.
 */
export interface CallProgressed extends CallEvent {
  readonly kind: 'callProgressed';
  /** Events received so far in this call. */
  readonly events: number;
}

/**
 * The response is no longer read, because the caller reads more slowly, or is
 * read again.
 */
export interface CallPaused extends CallEvent {
  readonly kind: 'callPaused';
  readonly isPaused: boolean;
}

/** The complete response arrived and was forwarded to the caller. */
export interface CallDone extends CallEvent {
  readonly kind: 'callDone';
  readonly status: number;
  /**
   * Whether only the end of the connection marked the end of the response, as the
   * end of the endpoint would; undefined, like false, if not.
   */
  readonly isUnframed?: boolean;
}

/** The ways in which a call can fail. */
export const callFailure = {
  /** No connection could be established, so nothing was sent. */
  notSent: 'notSent',
  /** The endpoint reported that it did not run the call. */
  refused: 'refused',
  /** A different endpoint now has this address; it did not run the call. */
  wrongEndpoint: 'wrongEndpoint',
  /** The endpoint ran the call and responded with a failure. */
  failed: 'failed',
  /**
   * The connection was lost or the response is incomplete; the call may have
   * run.
   */
  cut: 'cut',
} as const;

/** One of the ways in which a call can fail. */
export type CallFailure = (typeof callFailure)[keyof typeof callFailure];

/** A call failed. */
export interface CallFailed extends CallEvent {
  readonly kind: 'callFailed';
  readonly failure: CallFailure;
  /** Whether the caller has received part of the response. */
  readonly hasResponseStarted: boolean;
  /**
   * Whether the endpoint ended the connection before its answer was complete;
   * undefined, like false, if the call failed in another way.
   */
  readonly isConnectionLost?: boolean;
  /** Description of the failure, for logs. */
  readonly detail: string;
}

/**
 * A probe showed whether an endpoint accepts connections. Follows each
 * `probeEndpoint` effect.
 */
export interface EndpointProbed {
  readonly kind: 'endpointProbed';
  /** The endpoint as it was listed when the probe was asked for. */
  readonly endpoint: Endpoint;
  readonly isListening: boolean;
}

/** A version of the desired state was read from the store or from a peer. */
export interface DesiredStateRead {
  readonly kind: 'desiredStateRead';
  readonly desiredState: DesiredState;
}

/**
 * A fetch of the desired state from a peer or the store ended, successfully or
 * not. Follows each `fetchDesiredState` and `readDesiredState` effect.
 */
export interface DesiredStateFetchEnded {
  readonly kind: 'desiredStateFetchEnded';
}

/** The complete list of endpoints was read. */
export interface EndpointsListed {
  readonly kind: 'endpointsListed';
  /** Era of the store in which they were listed. */
  readonly era: number;
  readonly endpoints: readonly Endpoint[];
}

/** An endpoint was added or changed in the store. */
export interface EndpointChanged {
  readonly kind: 'endpointChanged';
  readonly endpoint: Endpoint;
}

/** The entry of an endpoint was removed from the store. */
export interface EndpointRemoved {
  readonly kind: 'endpointRemoved';
  readonly id: string;
}

/** The platform's store became reachable or unreachable. */
export interface StoreReachabilityChanged {
  readonly kind: 'storeReachabilityChanged';
  readonly isReachable: boolean;
}

/** A VM was found in the store's list of VMs. */
export interface VmListed {
  readonly kind: 'vmListed';
  readonly vm: string;
  readonly address: string;
  readonly availabilityZone: string;
}

/** The settings name a VM to contact while no other VM is known. */
export interface SeedListed {
  readonly kind: 'seedListed';
  /** `host:port`. */
  readonly address: string;
}

/** The operators' orders to move services to other versions were read. */
export interface MovesRead {
  readonly kind: 'movesRead';
  /** Era of the store in which they were read. */
  readonly era: number;
  readonly orders: readonly MoveOrder[];
}

/** The zones that the operators want to be evacuated were read. */
export interface EvacuationsRead {
  readonly kind: 'evacuationsRead';
  /** Era of the store in which they were read. */
  readonly era: number;
  readonly zones: readonly string[];
}

/** What earlier processes of the VMs know of crashes was read from the store. */
export interface CrashReportsRead {
  readonly kind: 'crashReportsRead';
  readonly reports: readonly CrashReport[];
}

/** A write of crash reports to the store ended, successfully or not. */
export interface CrashReportsWritten {
  readonly kind: 'crashReportsWritten';
  readonly isWritten: boolean;
}

/** An answer of the store named its era. */
export interface StoreEraRead {
  readonly kind: 'storeEraRead';
  readonly era: number;
}

/** The changes of the store up to a position were read. */
export interface StorePositionRead {
  readonly kind: 'storePositionRead';
  readonly position: StorePosition;
  /** Position up to which the move orders were read, which may be earlier. */
  readonly ordersPosition: StorePosition;
  /** The same for the evacuations; undefined if they were not read. */
  readonly evacuationsPosition?: StorePosition;
}

/** Evacuations in a store view. */
export interface EvacuationsView {
  /** Position up to which the peer has read them. */
  readonly position: StorePosition;
  readonly zones: readonly string[];
}

/** A peer's view of the store was read. */
export interface StoreViewRead {
  readonly kind: 'storeViewRead';
  readonly position: StorePosition;
  /** Position up to which the peer has read the move orders. */
  readonly ordersPosition: StorePosition;
  readonly endpoints: readonly Endpoint[];
  readonly orders: readonly MoveOrder[];
  /** Undefined if the peer has read none, or from a build that knows none. */
  readonly evacuations?: EvacuationsView;
}

/**
 * A fetch of a peer's store view ended, successfully or not. Follows each
 * `fetchStoreView` effect.
 */
export interface StoreViewFetchEnded {
  readonly kind: 'storeViewFetchEnded';
}

/** A message from a peer arrived. */
export interface PeerMessageReceived {
  readonly kind: 'peerMessageReceived';
  readonly message: PeerMessage;
}

/** A graceful stop was requested, or is to end at another time. */
export interface StopRequested {
  readonly kind: 'stopRequested';
  /** Time by which the process must have exited, in ms. */
  readonly endAtMs: number;
}

/** The settings were read again, with possibly changed bounds. */
export interface BoundsChanged {
  readonly kind: 'boundsChanged';
  readonly bounds: DispatchBounds;
}

/** At least one timer is due. */
export interface TimerDue {
  readonly kind: 'timerDue';
}

/** An event that a VM's decisions depend on. */
export type Input =
  | RequestReceived
  | CallerGone
  | RequestInterrupted
  | CallSent
  | CallAnswered
  | CallProgressed
  | CallPaused
  | CallDone
  | CallFailed
  | EndpointProbed
  | CrashReportsRead
  | CrashReportsWritten
  | DesiredStateRead
  | DesiredStateFetchEnded
  | EndpointsListed
  | EndpointChanged
  | EndpointRemoved
  | StoreReachabilityChanged
  | VmListed
  | SeedListed
  | MovesRead
  | EvacuationsRead
  | StoreEraRead
  | StorePositionRead
  | StoreViewRead
  | StoreViewFetchEnded
  | PeerMessageReceived
  | StopRequested
  | BoundsChanged
  | TimerDue;

/** The input type with a given kind. */
export type InputOf<K extends Input['kind']> = Extract<Input, {kind: K}>;
