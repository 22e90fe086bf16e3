import {createRandomSource, RandomSource, TimerQueue} from '@ryeworks/utils';
import {DispatchRate} from './admission/dispatchRate.js';
import {WaitingQueue} from './admission/waitingQueue.js';
import {
  createDesiredStateTracker,
  DesiredStateTracker,
} from './desired/desiredStateTracker.js';
import {DispatchOptions} from './dispatchOptions.js';
import {createEndpointTable, EndpointTable} from './endpoints/endpointTable.js';
import {LastZoneAnswers} from './endpoints/zoneCooldown.js';
import {RequestReceived} from './input.js';
import {UsageByCustomer} from './limits/customerUsage.js';
import {createMoveTable, MoveTable} from './moves/moveTable.js';
import {createPeerTable, PeerTable} from './peers/peerTable.js';
import {Digest} from './peers/peerMessage.js';
import {ActiveRequest} from './requests/activeRequest.js';
import {RetryBudget} from './retries/retryBudget.js';

/** Purpose of a timer; selects its handler. */
export type TimerPurpose =
  /** A request's caller or route gives it up. */
  | 'requestTimeout'
  /** A call has been silent for too long. */
  | 'silence'
  /** Requests have waited for a while. */
  | 'sweepWaiting'
  /** A request has waited for this VM to start. */
  | 'earlyRequest'
  /** The other VMs are told of this one. */
  | 'digest'
  /** Endpoints that are missing from the store are looked at. */
  | 'sweepMissing'
  /** The moves are looked at. */
  | 'moves';

/** A graceful stop. */
export interface StopPlan {
  readonly startedAtMs: number;
  /** When the process is to have ended, in ms. */
  readonly endAtMs: number;
}

/**
 * Everything that one VM knows; nothing of it outlives the process. Times are of
 * a monotonic clock that begins with the process.
 */
export interface DispatchState {
  options: DispatchOptions;
  readonly random: RandomSource;
  readonly timers: TimerQueue<TimerPurpose>;
  readonly desiredState: DesiredStateTracker;
  readonly endpoints: EndpointTable;
  readonly lastZoneAnswers: LastZoneAnswers;
  readonly peers: PeerTable;
  /** `host:port` of peers to greet while none has been heard. */
  readonly seedAddresses: string[];
  readonly usageByCustomer: UsageByCustomer;
  readonly requests: Map<string, ActiveRequest>;
  /** Waiting requests by service. */
  readonly queues: Map<string, WaitingQueue>;
  readonly dispatchRates: Map<string, DispatchRate>;
  readonly retryBudgets: Map<string, RetryBudget>;
  readonly moves: MoveTable;
  /** Whether the endpoints have been listed once. */
  hasListedEndpoints: boolean;
  /** Whether the store answers. */
  isStoreReachable: boolean;
  /** When the store was last lost, in ms. */
  storeLostAtMs: number;
  /** When the store last became reachable, in ms. */
  storeReachedAtMs: number;
  /** Requests that came before this VM knew enough to serve them. */
  readonly earlyRequests: Map<string, RequestReceived>;
  /** The graceful stop under way; undefined: none. */
  stop: StopPlan | undefined;
  /** Whether this VM watches the store itself. */
  isWatchingStore: boolean;
  /** Revision of the store up to which its news are known; 0: none. */
  storeRevision: number;
  /** When a peer first told of a newer revision, in ms; undefined: none. */
  newerRevisionSeenAtMs: number | undefined;
  /** When a peer was last asked for its view, in ms. */
  storeViewRequestedAtMs: number;
  /** Digests of other zones that are to be passed on here, by VM. */
  readonly relayedDigests: Map<string, Digest>;
  digestSequence: number;
  /** The last digest's content, to send less often what did not change. */
  lastDigestText: string;
  lastDigestAtMs: number;
}

/** Creates the state of a VM that starts now. */
export function createDispatchState(options: DispatchOptions): DispatchState {
  return {
    options,
    random: createRandomSource(options.seed),
    timers: new TimerQueue(),
    desiredState: createDesiredStateTracker(),
    endpoints: createEndpointTable(),
    lastZoneAnswers: new Map(),
    peers: createPeerTable(),
    seedAddresses: [],
    usageByCustomer: new Map(),
    requests: new Map(),
    queues: new Map(),
    dispatchRates: new Map(),
    retryBudgets: new Map(),
    moves: createMoveTable(),
    hasListedEndpoints: false,
    isStoreReachable: false,
    storeLostAtMs: Number.NEGATIVE_INFINITY,
    storeReachedAtMs: Number.NEGATIVE_INFINITY,
    earlyRequests: new Map(),
    stop: undefined,
    isWatchingStore: true,
    storeRevision: 0,
    newerRevisionSeenAtMs: undefined,
    storeViewRequestedAtMs: Number.NEGATIVE_INFINITY,
    relayedDigests: new Map(),
    digestSequence: 0,
    lastDigestText: '',
    lastDigestAtMs: Number.NEGATIVE_INFINITY,
  };
}

/** Tells whether this VM knows enough to serve callers. */
export function isReady(state: DispatchState): boolean {
  return state.desiredState.current !== undefined && state.hasListedEndpoints;
}

/** Returns the waiting requests of a service. */
export function getQueue(state: DispatchState, service: string): WaitingQueue {
  const existing = state.queues.get(service);
  if (existing !== undefined) return existing;
  const queue: WaitingQueue = [];
  state.queues.set(service, queue);
  return queue;
}

/** Returns the rate at which requests of a service are dispatched. */
export function getDispatchRate(
  state: DispatchState,
  service: string,
): DispatchRate {
  const existing = state.dispatchRates.get(service);
  if (existing !== undefined) return existing;
  const rate = new DispatchRate();
  state.dispatchRates.set(service, rate);
  return rate;
}

/** Returns the budget of repeats to a service. */
export function getRetryBudget(
  state: DispatchState,
  service: string,
): RetryBudget {
  const existing = state.retryBudgets.get(service);
  if (existing !== undefined) return existing;
  const budget = new RetryBudget();
  state.retryBudgets.set(service, budget);
  return budget;
}
