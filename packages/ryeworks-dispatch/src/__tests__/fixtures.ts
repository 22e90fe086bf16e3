import {
  createDispatchState,
  DesiredState,
  Digest,
  DispatchState,
  Effect,
  Endpoint,
  handleInput,
  Input,
  PeerMessage,
  RequestReceived,
  Route,
  SendPeer,
  StorePositionRead,
} from '../index.js';

/** Names in the test deployment. */
export const names = {
  host: 'calls.example',
  model: 'narratives',
  ledger: 'ledger',
  key: 'key-1',
  customer: 'clinic',
} as const;

const route = {
  host: names.host,
  timeoutMs: 8000,
  latencyTargetMs: 1000,
  maxGapMs: 400,
  maxAttempts: 2,
  isAnonymous: false,
  isResumable: false,
};

/** Routes of all call kinds and tiers; `/urgent/` has the highest tier. */
export const routes = {
  urgent: {
    ...route,
    name: 'urgent',
    pathPrefix: '/urgent/',
    kind: 'stream',
    tier: 0,
    isResumable: true,
    targets: [{service: names.model, weight: 1}],
  },
  relaxed: {
    ...route,
    name: 'relaxed',
    pathPrefix: '/relaxed/',
    kind: 'stream',
    tier: 2,
    targets: [{service: names.model, weight: 1}],
  },
  booking: {
    ...route,
    name: 'booking',
    pathPrefix: '/booking/',
    kind: 'nonIdempotent',
    tier: 1,
    maxAttempts: 1,
    targets: [{service: names.ledger, weight: 1}],
  },
  reading: {
    ...route,
    name: 'reading',
    pathPrefix: '/reading/',
    kind: 'idempotent',
    tier: 1,
    targets: [{service: names.ledger, weight: 1}],
  },
} as const satisfies Record<string, Route>;

/** Creates a desired state of the test deployment. */
export function createDesiredState(
  version = 1,
  changes: Partial<DesiredState> = {},
): DesiredState {
  return {
    version,
    routes: Object.values(routes),
    customers: [
      {
        name: names.customer,
        apiKeys: [names.key],
        tier: undefined,
        limit: undefined,
      },
    ],
    bounds: {
      maxHeaderBytes: 16_384,
      maxBodyBytes: 1_000_000,
      headerTimeoutMs: 3000,
      idleTimeoutMs: 15_000,
    },
    ...changes,
  };
}

/** Creates an endpoint of a service. */
export function createEndpoint(
  id: string,
  service: string,
  changes: Partial<Endpoint> = {},
): Endpoint {
  return {
    id,
    service,
    address: `10.0.0.1:${8000 + Number(id.replace(/\D/g, '') || 0)}`,
    availabilityZone: 'zone-a',
    version: 'v1',
    slots: 2,
    isDraining: false,
    startedAtMs: 1,
    coldForMs: 0,
    ...changes,
  };
}

/** Creates the state of a VM that is not ready yet. */
export function createState(vm = 'vm-1', seed = 7): DispatchState {
  return createDispatchState({
    vm,
    peerAddress: `${vm}:7600`,
    availabilityZone: 'zone-a',
    incarnation: 1,
    seed,
    relayCapacity: 1,
    retryBounds: {ratio: 0.2, windowMs: 10_000, allowance: 50},
    limitBounds: {windowMs: 8000, overrunRatio: 0.1, allowance: 1000},
    drainMs: 2000,
    trialRatio: 0.1,
    trialAllowance: 50,
    hedgeRatio: 0,
  });
}

/** Creates the state of a VM that is ready to serve the test deployment. */
export function createReadyState(
  endpoints: readonly Endpoint[],
  desiredState = createDesiredState(),
  seed = 7,
): DispatchState {
  const state = createState('vm-1', seed);
  state.hasCheckedVersion = true;
  handleInput(state, {kind: 'desiredStateRead', desiredState}, 0);
  handleInput(state, {kind: 'endpointsListed', era: 1, endpoints}, 0);
  return state;
}

let nextRequest = 1;

/** Creates a request to one of the routes. */
export function createRequest(
  routeName: keyof typeof routes,
  nowMs: number,
  changes: Partial<RequestReceived> = {},
): RequestReceived {
  const requestId = `r${nextRequest++}`;
  return {
    kind: 'requestReceived',
    requestId,
    attemptId: `attempt-${requestId}`,
    host: names.host,
    path: `/${routeName}/1`,
    apiKey: names.key,
    receivedAtMs: nowMs,
    deadlineInMs: 8000,
    promptTokens: 100,
    totalTokens: 200,
    sharedParts: [],
    ...changes,
  };
}

/** Returns the effects of one kind. */
export function listEffects<K extends Effect['kind']>(
  effects: readonly Effect[],
  kind: K,
): Array<Extract<Effect, {kind: K}>> {
  const matching = effects.filter(effect => effect.kind === kind);
  return matching as Array<Extract<Effect, {kind: K}>>;
}

/** Handles an input and returns the effects other than logs and metrics. */
export function runInput(
  state: DispatchState,
  input: Input,
  nowMs: number,
): Effect[] {
  const reportKinds = new Set(['log', 'count', 'observe']);
  const effects = handleInput(state, input, nowMs);
  return effects.filter(effect => !reportKinds.has(effect.kind));
}

/** Delivers a message of a peer; returns the effects as `runInput` does. */
export function deliver(
  state: DispatchState,
  message: PeerMessage,
  nowMs: number,
): Effect[] {
  return runInput(state, {kind: 'peerMessageReceived', message}, nowMs);
}

/** Runs the digest timer. */
export function runDigestTimer(state: DispatchState, nowMs: number): Effect[] {
  state.timers.set('digest', '', nowMs);
  return runInput(state, {kind: 'timerDue'}, nowMs);
}

/** Runs the digest timer and returns the messages that were sent. */
export function sendDigests(state: DispatchState, nowMs: number): SendPeer[] {
  return listEffects(runDigestTimer(state, nowMs), 'sendPeer');
}

/** Creates a digest from another VM. */
export function createDigest(changes: Partial<Digest> = {}): Digest {
  return {
    kind: 'digest',
    vm: 'vm-2',
    address: 'vm-2:7600',
    availabilityZone: 'zone-a',
    incarnation: 1,
    sequence: 1,
    desiredVersion: 1,
    storeRevision: 0,
    storeReachedForMs: 1000,
    inFlight: {},
    heads: {},
    unitsTaken: {},
    evidence: {},
    ...changes,
  };
}

/**
 * Creates the input for a position in the store that was read.
 *
 * @param ordersRevision revision up to which the move orders were read
 */
export function createPositionRead(
  era: number,
  revision: number,
  ordersRevision = revision,
): StorePositionRead {
  return {
    kind: 'storePositionRead',
    position: {era, revision},
    ordersPosition: {era, revision: ordersRevision},
  };
}
