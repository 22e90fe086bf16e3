import {
  AnswerError,
  CrashReport,
  createStoreView,
  CustomerLimit,
  DesiredState,
  Effect,
  Endpoint,
  FetchStoreView,
  LimitBounds,
  ProbeEndpoint,
  RequestReceived,
  Route,
  SendPeer,
  ServiceWarmUp,
  StartCall,
} from '@ryeworks/dispatch';
import {createRandomSource, RandomSource} from '@ryeworks/utils';
import {EventQueue} from '../harness/eventQueue.js';
import {FleetCalls} from './fleetCalls.js';
import {fleetDrainMs, FleetEndpoint} from './fleetEndpoint.js';
import {FleetRequest} from './fleetRequest.js';
import {FleetStore} from './fleetStore.js';
import {FleetVm} from './fleetVm.js';

/** Time of a message between two VMs, in ms. */
const linkDelayMs = 1;
/** How long callers wait for an answer, in ms. */
export const callerDeadlineMs = 8000;
/** Longest time until a VM reads a change of the desired state, in ms. */
const maxReadDelayMs = 500;
const host = 'calls.example';
const apiKey = 'key-1';
/** Bounds of a customer's limit if a fleet names none. */
const defaultLimitBounds = {windowMs: 8000, overrunRatio: 0.1, allowance: 1000};

/** Units of the customer's limit that each request needs. */
export const fleetRequestUnits = 200;

/** Size and load of a fleet. */
export interface FleetOptions {
  readonly zones: readonly string[];
  readonly vmsPerZone: number;
  readonly endpoints: ReadonlyArray<
    Pick<Endpoint, 'id' | 'service' | 'availabilityZone'>
  >;
  readonly routes: readonly Route[];
  readonly seed: number;
  /** Limit of the customer that sends all requests; undefined if it has none. */
  readonly customerLimit?: CustomerLimit;
  readonly limitBounds?: LimitBounds;
  /** Services whose endpoints warm up; none if undefined. */
  readonly warmUps?: readonly ServiceWarmUp[];
  /** See `DispatchOptions`. */
  readonly evacuationMs?: number;
  readonly regionByZone?: Readonly<Record<string, string>>;
}

/** A caller that was told to come back later. */
export interface FleetRefusal {
  readonly atMs: number;
  readonly route: string;
  readonly retryAfterMs: number;
}

/** Counts of what callers and VMs did. */
export interface FleetCounts {
  sent: number;
  served: number;
  messages: number;
  messageBytes: number;
}

/** Creates a route of a fleet's desired state. */
export function createFleetRoute(
  name: string,
  service: string,
  changes: Partial<Route> = {},
): Route {
  return {
    name,
    host,
    pathPrefix: `/${name}/`,
    kind: 'idempotent',
    timeoutMs: callerDeadlineMs,
    latencyTargetMs: 1000,
    maxGapMs: 400,
    tier: 0,
    maxAttempts: 2,
    isAnonymous: false,
    isResumable: false,
    targets: [{service, weight: 1}],
    ...changes,
  };
}

/** Creates the desired state of a fleet. */
function createFleetDesiredState(
  routes: readonly Route[],
  version: number,
  limit: CustomerLimit | undefined,
  warmUps: readonly ServiceWarmUp[] | undefined,
): DesiredState {
  const customer = {name: 'clinic', apiKeys: [apiKey]};
  return {
    version,
    routes,
    customers: [{...customer, tier: undefined, limit}],
    warmUps,
    bounds: {
      maxHeaderBytes: 16_384,
      maxBodyBytes: 1_000_000,
      headerTimeoutMs: 3000,
      idleTimeoutMs: 15_000,
    },
  };
}

/**
 * Runs the dispatch cores of all VMs of a deployment in virtual time, with
 * stand-ins for the network, the endpoints and the callers. The same seed gives
 * the same run.
 */
export class DispatchFleet {
  readonly events = new EventQueue();
  readonly vms = new Map<string, FleetVm>();
  readonly endpoints = new Map<string, FleetEndpoint>();
  readonly refusals: FleetRefusal[] = [];
  readonly counts: FleetCounts = {
    sent: 0,
    served: 0,
    messages: 0,
    messageBytes: 0,
  };
  /** Whether messages are encoded to count their bytes. */
  countsBytes = false;
  private readonly random: RandomSource;
  /** Zones that are cut off from all others. */
  private readonly cutZones = new Set<string>();
  readonly requests = new Map<string, FleetRequest>();
  readonly calls = new FleetCalls(
    this.events,
    () => (this.counts.served += 1),
    target => this.passEndpoint(target),
  );
  /** Crash reports that a VM has written to the store. */
  private storedReports: readonly CrashReport[] = [];
  private desiredVersion = 1;
  private readonly store = new FleetStore(this.events);
  private nextRequestNumber = 1;

  constructor(private readonly options: FleetOptions) {
    this.random = createRandomSource(options.seed);
    for (const endpoint of options.endpoints) {
      const port = 8000 + this.endpoints.size;
      const listed: Endpoint = {
        ...endpoint,
        address: `10.0.0.1:${port}`,
        version: 'v1',
        slots: 8,
        isDraining: false,
        startedAtMs: 1,
        coldForMs: 0,
      };
      this.endpoints.set(endpoint.id, new FleetEndpoint(listed));
    }
    for (const zone of options.zones) {
      for (let index = 0; index < options.vmsPerZone; index++) {
        this.startVm(`${zone}-${index}`, zone);
      }
    }
  }

  /** Returns an endpoint. */
  getEndpoint(id: string): FleetEndpoint {
    return this.endpoints.get(id)!;
  }

  /** Starts a VM, which the others learn of from the store's list. */
  startVm(name: string, zone: string): FleetVm {
    const vm = new FleetVm(
      {
        vm: name,
        peerAddress: name,
        availabilityZone: zone,
        incarnation: 1 + Math.floor(this.events.nowMs),
        seed: this.random.nextInt(1_000_000),
        relayCapacity: 1,
        retryBounds: {ratio: 0.2, windowMs: 10_000, allowance: 50},
        limitBounds: this.options.limitBounds ?? defaultLimitBounds,
        drainMs: fleetDrainMs,
        trialRatio: 0.1,
        trialAllowance: 50,
        evacuationMs: this.options.evacuationMs,
        regionByZone: this.options.regionByZone,
        hedgeRatio: 0,
      },
      this.events,
      (sender, effect) => this.handleEffect(sender, effect),
    );
    this.vms.set(name, vm);
    vm.submit({kind: 'storeReachabilityChanged', isReachable: true});
    this.passDesiredState(vm);
    this.store.passEvacuations(vm, 0);
    const endpoints = [...this.endpoints.values()].map(item => item.endpoint);
    vm.submit({kind: 'endpointsListed', era: 1, endpoints});
    vm.submit({kind: 'crashReportsRead', reports: this.storedReports});
    for (const other of this.vms.values()) {
      const {availabilityZone, peerAddress} = other.options;
      const listed = {vm: other.options.vm, address: peerAddress};
      vm.submit({kind: 'vmListed', ...listed, availabilityZone});
    }
    // VMs do not all start, and send their digests, at the same moment.
    this.events.schedule(this.random.nextInt(100), () => vm.start());
    return vm;
  }

  /** Sets a new version of the desired state, which each VM reads later. */
  setNextDesiredState(): void {
    this.desiredVersion += 1;
    for (const vm of this.vms.values()) {
      const delayMs = this.random.nextInt(maxReadDelayMs);
      this.events.schedule(delayMs, () => this.passDesiredState(vm));
    }
  }

  /** Sets the zones that the operators want to be evacuated. */
  setEvacuations(zones: readonly string[]): void {
    this.store.setEvacuations(zones);
    for (const vm of this.vms.values()) {
      if (!vm.state.isWatchingStore) continue;
      this.store.passEvacuations(vm, this.random.nextInt(maxReadDelayMs));
    }
  }

  /** Cuts the VMs of a zone off from the store. */
  setStoreCut(zone: string): void {
    this.store.setCut(zone, this.vms.values());
  }

  /** Passes the store view of a peer to a VM. */
  private passStoreView(vm: FleetVm, {address}: FetchStoreView): void {
    const target = this.vms.get(address);
    this.events.schedule(2 * linkDelayMs, () => {
      const {availabilityZone: zone} = vm.options;
      const isReached =
        target?.isDead === false &&
        !this.isCut(zone, target.options.availabilityZone);
      if (isReached) vm.submit(createStoreView(target.state));
      vm.submit({kind: 'storeViewFetchEnded'});
    });
  }

  /** Ends the process of a VM. */
  killVm(name: string): void {
    this.vms.get(name)!.isDead = true;
  }

  /** Makes an endpoint cold for a time, as its entry in the store tells. */
  startWarmUp(id: string, coldForMs: number): void {
    const target = this.getEndpoint(id);
    target.endpoint = {...target.endpoint, coldForMs};
    this.passEndpoint(target);
  }

  /** Cuts a zone off from all others, or connects it again. */
  setZoneCut(zone: string, isCut: boolean): void {
    if (isCut) this.cutZones.add(zone);
    else this.cutZones.delete(zone);
  }

  /** Ends the process of an endpoint. */
  killEndpoint(id: string): void {
    this.calls.kill(this.getEndpoint(id));
  }

  /** Connects all zones again. */
  clearCuts(): void {
    this.cutZones.clear();
  }

  /** Sends requests on a route at a rate until a time, to random live VMs. */
  startCallers(
    routeName: string,
    perSecond: number,
    untilMs: number,
    sharedParts: readonly string[] = [],
  ): void {
    const intervalMs = 1000 / perSecond;
    const sendNext = () => {
      if (this.events.nowMs >= untilMs) return;
      this.sendRequest(routeName, sharedParts);
      const spread = 0.5 + this.random.next();
      this.events.schedule(intervalMs * spread, sendNext);
    };
    this.events.schedule(this.random.next() * intervalMs, sendNext);
  }

  /** Sends one request to a random live VM, if there is one. */
  sendRequest(routeName: string, sharedParts: readonly string[] = []): void {
    const live = [...this.vms.values()].filter(vm => !vm.isDead);
    if (live.length === 0) return;
    const vm = live[this.random.nextInt(live.length)];
    const requestId = `r${this.nextRequestNumber++}`;
    this.requests.set(requestId, {
      route: this.options.routes.find(({name}) => name === routeName)!,
      sharedParts,
      vm: vm.options.vm,
      sentAtMs: this.events.nowMs,
      events: 0,
      runs: 0,
      outcome: 'open',
      error: undefined,
    });
    this.counts.sent += 1;
    const input: Omit<RequestReceived, 'receivedAtMs'> = {
      kind: 'requestReceived',
      requestId,
      attemptId: requestId,
      host,
      path: `/${routeName}/1`,
      apiKey,
      deadlineInMs: callerDeadlineMs,
      promptTokens: 100,
      totalTokens: fleetRequestUnits,
      sharedParts,
    };
    vm.submitRequest(input);
  }

  private handleEffect(vm: FleetVm, effect: Effect): void {
    const handlers: {
      [K in Effect['kind']]?: (effect: Extract<Effect, {kind: K}>) => void;
    } = {
      sendPeer: sent => this.sendMessage(vm, sent),
      startCall: call => this.startCall(vm, call),
      cancelCall: call => this.calls.cancel(call),
      fetchStoreView: fetch => this.passStoreView(vm, fetch),
      setStoreWatch: ({isWatching}) => {
        if (isWatching) this.store.passEvacuations(vm, maxReadDelayMs);
      },
      writeCrashReports: ({reports}) => {
        this.storedReports = reports;
        vm.submit({kind: 'crashReportsWritten', isWritten: true});
      },
      probeEndpoint: probe => this.probeEndpoint(vm, probe),
      answerError: answer => this.recordRefusal(answer),
      abortResponse: ({requestId}) => {
        this.requests.get(requestId)!.outcome = 'cut';
      },
    };
    const handler = handlers[effect.kind] as
      ((effect: Effect) => void) | undefined;
    handler?.(effect);
  }

  private isCut(zone: string, other: string): boolean {
    if (zone === other) return false;
    return this.cutZones.has(zone) || this.cutZones.has(other);
  }

  private sendMessage(sender: FleetVm, {address, message}: SendPeer): void {
    const target = this.vms.get(address);
    if (target === undefined) return;
    this.counts.messages += 1;
    if (this.countsBytes) {
      this.counts.messageBytes += JSON.stringify(message).length;
    }
    const {availabilityZone: from} = sender.options;
    if (this.isCut(from, target.options.availabilityZone)) return;
    this.events.schedule(linkDelayMs, () =>
      target.submit({kind: 'peerMessageReceived', message}),
    );
  }

  private passDesiredState(vm: FleetVm): void {
    const {customerLimit, routes, warmUps} = this.options;
    const desiredState = createFleetDesiredState(
      routes,
      this.desiredVersion,
      customerLimit,
      warmUps,
    );
    vm.submit({kind: 'desiredStateRead', desiredState});
  }

  /** Tells all VMs of a new process of an endpoint. */
  private passEndpoint({endpoint}: FleetEndpoint): void {
    for (const vm of this.vms.values()) {
      const delayMs = this.random.nextInt(maxReadDelayMs);
      this.events.schedule(delayMs, () =>
        vm.submit({kind: 'endpointChanged', endpoint}),
      );
    }
  }

  private startCall(vm: FleetVm, effect: StartCall): void {
    const {endpoint, requestId} = effect;
    const {availabilityZone: zone} = vm.options;
    const hasPath = !this.isCut(zone, endpoint.availabilityZone);
    const request = this.requests.get(requestId)!;
    const target = this.getEndpoint(endpoint.id);
    this.calls.start(vm, effect, request, target, hasPath);
  }

  private probeEndpoint(vm: FleetVm, probe: ProbeEndpoint): void {
    const {delayMs, endpoint} = probe;
    this.events.schedule(delayMs, () => {
      const {endpoint: running, isDown} = this.getEndpoint(endpoint.id);
      const isSame = running.startedAtMs === endpoint.startedAtMs;
      const isListening = isSame && !isDown;
      vm.submit({kind: 'endpointProbed', endpoint, isListening});
    });
  }

  private recordRefusal({error, requestId, retryAfterMs}: AnswerError): void {
    const request = this.requests.get(requestId)!;
    Object.assign(request, {outcome: 'failed', error});
    const route = request.route.name;
    this.refusals.push({atMs: this.events.nowMs, route, retryAfterMs});
  }
}
