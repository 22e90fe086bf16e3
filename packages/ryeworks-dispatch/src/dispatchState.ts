import {
  createRandomSource,
  getOrCreate,
  RandomSource,
  TimerQueue,
} from '@ryeworks/utils';
import {DispatchRate} from './admission/dispatchRate.js';
import {FairQueue} from './admission/fairQueue.js';
import {StarvedRanks} from './admission/starvedRanks.js';
import {WaitingQueue} from './admission/waitingQueue.js';
import {
  createDesiredStateTracker,
  DesiredStateTracker,
} from './desired/desiredStateTracker.js';
import {CrashTable, createCrashTable} from './crashes/crashTable.js';
import {DispatchOptions} from './dispatchOptions.js';
import {createEndpointTable, EndpointTable} from './endpoints/endpointTable.js';
import {LastZoneResponses} from './endpoints/zoneCooldown.js';
import {createHedgingState, HedgingState} from './hedging/hedgingState.js';
import {RequestReceived} from './input.js';
import {UsageByCustomer} from './limits/customerUsage.js';
import {createMoveTable, MoveTable} from './moves/moveTable.js';
import {ProvenVersions} from './moves/provenVersions.js';
import {createPeerTable, PeerTable} from './peers/peerTable.js';
import {Digest} from './peers/peerMessage.js';
import {LimitOwners} from './rateLimits/limitOwnersState.js';
import {ActiveRequest} from './requests/activeRequest.js';
import {RetryBudget} from './retries/retryBudget.js';
import {createStoreEra, StoreEra} from './store/storeEra.js';
import {noPosition, StorePosition} from './store/storePosition.js';

/** Purpose of a timer; determines which handler runs when it expires. */
export type TimerPurpose =
  /** Ends a request whose deadline or route timeout has passed. */
  | 'requestTimeout'
  /** Starts a standby call for a call that made no progress for too long. */
  | 'silence'
  /** Starts a hedged request beside a call that is late. */
  | 'hedge'
  /** Retries a request whose retry was put off. */
  | 'retry'
  /** Refuses queued requests that have waited too long. */
  | 'sweepWaiting'
  /**
   * Refuses a request that arrived early and has waited for this VM to be
   * ready.
   */
  | 'earlyRequest'
  /** Sends this VM's digest to its peers. */
  | 'digest'
  /** Checks the endpoints that are missing from the store. */
  | 'sweepMissing'
  /** Grants permits of an endpoint with a rate limit. */
  | 'permits'
  /** Updates which prompts are kept from endpoints. */
  | 'quarantines'
  /** Checks the progress of the moves. */
  | 'moves'
  /** Ends the wait for peers to name their version of the desired state. */
  | 'versionCheck'
  /** Announces this VM again after the store came back from a copy. */
  | 'announce';

/** Times of a graceful stop. */
export interface StopPlan {
  readonly startedAtMs: number;
  /** Time by which the process must have exited, in ms. */
  readonly endAtMs: number;
}

/** The evacuation of a zone. */
export interface Evacuation {
  /** When this VM first read it, in ms. */
  readonly startedAtMs: number;
  /** Whether its object in the store disappeared, possibly only for a while. */
  isMissing: boolean;
}

/**
 * The complete state of one VM. It is kept in memory only and lost when the
 * process ends. Times are read from a monotonic clock that starts at 0 with the
 * process.
 */
export interface DispatchState {
  options: DispatchOptions;
  readonly random: RandomSource;
  readonly timers: TimerQueue<TimerPurpose>;
  readonly desiredState: DesiredStateTracker;
  readonly endpoints: EndpointTable;
  readonly lastZoneResponses: LastZoneResponses;
  readonly crashes: CrashTable;
  readonly peers: PeerTable;
  /** `host:port` of seed VMs to contact while no other VM is known. */
  readonly seedAddresses: string[];
  readonly usageByCustomer: UsageByCustomer;
  /** Requests that have not ended yet, by request id. */
  readonly requests: Map<string, ActiveRequest>;
  /** Queues of waiting requests by service. */
  readonly queues: Map<string, WaitingQueue>;
  /** Fair order of the customers' requests, by service. */
  readonly fairQueues: Map<string, FairQueue>;
  /** Dispatch rates by service. */
  readonly dispatchRates: Map<string, DispatchRate>;
  /** Ranks whose requests wait in vain, by service. */
  readonly starvedRanks: Map<string, StarvedRanks>;
  /** Retry budgets by service. */
  readonly retryBudgets: Map<string, RetryBudget>;
  readonly hedging: HedgingState;
  readonly moves: MoveTable;
  readonly provenVersions: ProvenVersions;
  /**
   * Whether the first desired state was compared with what peers have applied.
   */
  hasCheckedVersion: boolean;
  /** Whether a first complete list of endpoints has been read. */
  hasListedEndpoints: boolean;
  /** Whether the platform's store can be reached. */
  isStoreReachable: boolean;
  /** When the connection to the store was last lost, in ms. */
  storeLostAtMs: number;
  /** When the store last became reachable, in ms. */
  storeReachedAtMs: number;
  /** Requests that arrived before this VM was ready, by request id. */
  readonly earlyRequests: Map<string, RequestReceived>;
  /** The graceful stop in progress; undefined if there is none. */
  stop: StopPlan | undefined;
  /**
   * Whether this VM watches the store itself; otherwise its peers report
   * changes.
   */
  isWatchingStore: boolean;
  readonly storeEra: StoreEra;
  /** Position in the store up to which changes have been applied. */
  storePosition: StorePosition;
  /**
   * Position up to which those of the move orders have been; it may be earlier,
   * because each kind of objects is watched on its own.
   */
  ordersPosition: StorePosition;
  /** The same for the evacuations. */
  evacuationsPosition: StorePosition;
  /** Evacuations in force, by zone. */
  readonly evacuations: Map<string, Evacuation>;
  /** Whether the evacuations have been read. */
  hasListedEvacuations: boolean;
  /**
   * When a peer first reported a later store position, in ms; undefined if none
   * did.
   */
  laterPositionSeenAtMs: number | undefined;
  /** When a peer's view of the store was last requested, in ms. */
  storeViewRequestedAtMs: number;
  /** Whether a peer's store view is being fetched. */
  isFetchingStoreView: boolean;
  /** Ids of the endpoints with rate limits. */
  readonly limitedEndpoints: Set<string>;
  /** The VMs that can own limits; kept up to date while there are limits. */
  limitOwners: LimitOwners;
  /** Whether this VM last took itself for a relay of its zone. */
  isRelay: boolean;
  /** Digests that are to be relayed, by VM. */
  readonly digestsToRelay: Map<string, Digest>;
  /** Sequence number of the last digest that was sent. */
  digestSequence: number;
  /** Content of the last digest; unchanged content is sent less often. */
  lastDigestText: string;
  /** When the last digest was sent, in ms. */
  lastDigestAtMs: number;
  /** When a digest with the units of all customers was last sent, in ms. */
  allUnitsSentAtMs: number;
}

/** Creates the initial state of a VM. */
export function createDispatchState(options: DispatchOptions): DispatchState {
  return {
    options,
    random: createRandomSource(options.seed),
    timers: new TimerQueue(),
    desiredState: createDesiredStateTracker(),
    endpoints: createEndpointTable(),
    lastZoneResponses: new Map(),
    crashes: createCrashTable(),
    peers: createPeerTable(),
    seedAddresses: [],
    usageByCustomer: new Map(),
    requests: new Map(),
    queues: new Map(),
    fairQueues: new Map(),
    dispatchRates: new Map(),
    starvedRanks: new Map(),
    retryBudgets: new Map(),
    hedging: createHedgingState(),
    moves: createMoveTable(),
    provenVersions: new Map(),
    hasCheckedVersion: false,
    hasListedEndpoints: false,
    isStoreReachable: false,
    storeLostAtMs: Number.NEGATIVE_INFINITY,
    storeReachedAtMs: Number.NEGATIVE_INFINITY,
    earlyRequests: new Map(),
    stop: undefined,
    isWatchingStore: true,
    storeEra: createStoreEra(),
    storePosition: noPosition,
    ordersPosition: noPosition,
    evacuationsPosition: noPosition,
    evacuations: new Map(),
    hasListedEvacuations: false,
    laterPositionSeenAtMs: undefined,
    storeViewRequestedAtMs: Number.NEGATIVE_INFINITY,
    isFetchingStoreView: false,
    limitedEndpoints: new Set(),
    limitOwners: {all: [], byZone: new Map(), knownRatio: 1},
    isRelay: false,
    digestsToRelay: new Map(),
    digestSequence: 0,
    lastDigestText: '',
    lastDigestAtMs: Number.NEGATIVE_INFINITY,
    allUnitsSentAtMs: Number.NEGATIVE_INFINITY,
  };
}

/**
 * Returns whether this VM can serve callers: it has a desired state that is not
 * older than that of its peers, a list of endpoints, and the evacuations if the
 * deployment has any.
 */
export function isReady(state: DispatchState): boolean {
  const {desiredState, hasCheckedVersion, hasListedEndpoints} = state;
  const hasDesiredState = desiredState.current !== undefined;
  const hasEvacuations =
    state.options.evacuationMs === undefined || state.hasListedEvacuations;
  return (
    hasDesiredState && hasCheckedVersion && hasListedEndpoints && hasEvacuations
  );
}

/** Returns the waiting queue of a service; creates it on first use. */
export function getQueue(state: DispatchState, service: string): WaitingQueue {
  return getOrCreate(state.queues, service, () => []);
}

/** Returns the fair queue of a service; creates it on first use. */
export function getFairQueue(state: DispatchState, service: string): FairQueue {
  return getOrCreate(state.fairQueues, service, () => new FairQueue());
}

/** Returns the dispatch rate of a service; creates it on first use. */
export function getDispatchRate(
  state: DispatchState,
  service: string,
): DispatchRate {
  return getOrCreate(state.dispatchRates, service, () => new DispatchRate());
}

/** Returns the starved ranks of a service; creates them on first use. */
export function getStarvedRanks(
  state: DispatchState,
  service: string,
): StarvedRanks {
  return getOrCreate(state.starvedRanks, service, () => new StarvedRanks());
}

/** Returns the retry budget of a service; creates it on first use. */
export function getRetryBudget(
  state: DispatchState,
  service: string,
): RetryBudget {
  return getOrCreate(state.retryBudgets, service, () => new RetryBudget());
}
