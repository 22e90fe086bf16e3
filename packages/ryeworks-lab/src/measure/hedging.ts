import {
  callKind,
  CancelCall,
  Effect,
  Endpoint,
  StartCall,
} from '@ryeworks/dispatch';
import {createRandomSource} from '@ryeworks/utils';
import {createFleetRoute} from '../fleet/dispatchFleet.js';
import {FleetVm} from '../fleet/fleetVm.js';
import {EventQueue} from '../harness/eventQueue.js';

const service = 'readings';
const vmCount = 4;
const endpointCount = 8;
const slots = 4;
/** Median time of a call, in ms, and the deviation of its logarithm. */
const medianMs = 100;
const deviation = 0.35;
const linkDelayMs = 1;
/** Time before the measurement, in which delays are learned, in ms. */
const warmUpMs = 10_000;
const endMs = 50_000;
/** Delay of the strategy `fixed`, in ms: the 95th percentile without load. */
const fixedDelayMs = 180;

/** When a second call is made. */
export const hedgingStrategies = ['nothing', 'fixed', 'quantile'] as const;
/** One of the strategies. */
export type HedgingStrategy = (typeof hedgingStrategies)[number];

/** What is wrong with endpoints. */
export const hedgingFaults = ['flicker', 'hang', 'allSlow'] as const;
/** One of the faults. */
export type HedgingFault = (typeof hedgingFaults)[number];

/** One run. */
export interface HedgingRun {
  readonly strategy: HedgingStrategy;
  readonly fault: HedgingFault;
  /** Requests relative to what the endpoints serve without a fault. */
  readonly load: number;
  readonly seed: number;
}

/** What callers got in a run. */
export interface HedgingResult {
  readonly latenciesMs: readonly number[];
  readonly requests: number;
  /** Calls beyond the first one of each request. */
  readonly extraCalls: number;
}

/** A call at an endpoint. */
interface Call {
  readonly vm: FleetVm;
  readonly ids: {readonly requestId: string; readonly callNumber: number};
  readonly target: QueueingEndpoint;
  isCanceled: boolean;
  isRunning: boolean;
}

/** Endpoint that serves calls in order of arrival, a few at a time. */
class QueueingEndpoint {
  private readonly waiting: Call[] = [];
  private running = 0;

  constructor(
    private readonly events: EventQueue,
    /** Returns the time of a call that begins now, in ms. */
    private readonly sampleMs: () => number,
    private readonly handleDone: (call: Call) => void,
  ) {}

  addCall(call: Call): void {
    this.waiting.push(call);
    this.runNext();
  }

  /** Ends a call whose connection was closed. */
  cancelCall(call: Call): void {
    call.isCanceled = true;
    this.endCall(call);
  }

  private endCall(call: Call): void {
    if (!call.isRunning) return;
    call.isRunning = false;
    this.running -= 1;
    this.runNext();
  }

  private runNext(): void {
    while (this.running < slots && this.waiting.length > 0) {
      const call = this.waiting.shift()!;
      if (call.isCanceled) continue;
      call.isRunning = true;
      this.running += 1;
      this.events.schedule(this.sampleMs(), () => {
        if (call.isCanceled) return;
        this.handleDone(call);
        this.endCall(call);
      });
    }
  }
}

/**
 * Runs the dispatch cores of a few VMs in virtual time, in front of endpoints of
 * which some are slow or hang, and returns the latencies.
 */
export function measureHedging(run: HedgingRun): HedgingResult {
  const {fault, load, seed, strategy} = run;
  const events = new EventQueue();
  const random = createRandomSource(seed);
  // Apart, so that all strategies meet the same requests and faults.
  const arrivalRandom = createRandomSource(seed + 1000);
  const faultRandom = createRandomSource(seed + 2000);
  const startedAtMs = new Map<string, number>();
  const latenciesMs: number[] = [];
  let requests = 0;
  let extraCalls = 0;
  const calls = new Map<string, Call>();
  const vms = new Map<string, FleetVm>();
  const slowUntilMs = new Map<string, number>();

  const sampleServiceMs = (id: string): number => {
    const uniform = Math.max(1e-9, random.next());
    const angle = 2 * Math.PI * random.next();
    const normal = Math.sqrt(-2 * Math.log(uniform)) * Math.cos(angle);
    const ordinaryMs = medianMs * Math.exp(deviation * normal);
    const slowForMs = (slowUntilMs.get(id) ?? 0) - events.nowMs;
    if (slowForMs <= 0) return ordinaryMs;
    return fault === 'hang' ? ordinaryMs + slowForMs : ordinaryMs * 2.5;
  };
  const handleDone = ({ids, vm}: Call): void => {
    const sentAtMs = startedAtMs.get(ids.requestId)!;
    if (sentAtMs >= warmUpMs) latenciesMs.push(events.nowMs - sentAtMs);
    vm.submit({kind: 'callProgressed', ...ids, events: 1});
    vm.submit({kind: 'callDone', ...ids, status: 200});
  };
  const endpoints = new Map<string, QueueingEndpoint>();
  const listed: Endpoint[] = [];
  for (let index = 0; index < endpointCount; index++) {
    const id = `e${index}`;
    const sampleMs = () => sampleServiceMs(id);
    endpoints.set(id, new QueueingEndpoint(events, sampleMs, handleDone));
    const availabilityZone = `zone-${index % 2}`;
    const address = `10.0.0.1:${8000 + index}`;
    const process = {version: 'v1', startedAtMs: 1, coldForMs: 0};
    const place = {id, service, address, availabilityZone};
    listed.push({...place, ...process, slots, isDraining: false});
  }

  const startCall = (vm: FleetVm, effect: StartCall): void => {
    const {callNumber, endpoint, requestId} = effect;
    const ids = {requestId, callNumber};
    const target = endpoints.get(endpoint.id)!;
    const call = {vm, ids, target, isCanceled: false, isRunning: false};
    calls.set(`${requestId} ${callNumber}`, call);
    if (callNumber > 1 && events.nowMs >= warmUpMs) extraCalls += 1;
    events.schedule(linkDelayMs, () => {
      if (call.isCanceled) return;
      vm.submit({kind: 'callSent', ...ids});
      target.addCall(call);
    });
  };
  const cancelCall = ({callNumber, requestId}: CancelCall): void => {
    const call = calls.get(`${requestId} ${callNumber}`);
    call?.target.cancelCall(call);
  };
  const runEffect = (vm: FleetVm, effect: Effect): void => {
    if (effect.kind === 'startCall') startCall(vm, effect);
    if (effect.kind === 'cancelCall') cancelCall(effect);
    if (effect.kind !== 'sendPeer') return;
    const {address, message} = effect;
    events.schedule(linkDelayMs, () =>
      vms.get(address)?.submit({kind: 'peerMessageReceived', message}),
    );
  };

  const createVm = (index: number): FleetVm => {
    const options = {
      vm: `vm-${index}`,
      peerAddress: `vm-${index}`,
      availabilityZone: `zone-${index % 2}`,
      incarnation: 1,
      seed: seed * 100 + index,
      relayCapacity: 1,
      retryBounds: {ratio: 0.2, windowMs: 10_000, allowance: 50},
      limitBounds: {windowMs: 8000, overrunRatio: 0.1, allowance: 1000},
      drainMs: 2000,
      trialRatio: 0.1,
      trialAllowance: 50,
      hedgeRatio: strategy === 'nothing' ? 0 : 0.05,
    };
    return new FleetVm(options, events, runEffect);
  };
  const route = createFleetRoute('read', service, {
    kind: callKind.idempotent,
    isAnonymous: true,
  });
  for (let index = 0; index < vmCount; index++) {
    vms.set(`vm-${index}`, createVm(index));
  }
  for (const vm of vms.values()) {
    vm.state.hasCheckedVersion = true;
    const bounds = {maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeoutMs: 1};
    const desiredState = {
      version: 1,
      routes: [route],
      customers: [],
      bounds: {...bounds, idleTimeoutMs: 1},
    };
    vm.submit({kind: 'desiredStateRead', desiredState});
    vm.submit({kind: 'endpointsListed', era: 1, endpoints: listed});
    for (const {options} of vms.values()) {
      const {availabilityZone, vm: name} = options;
      const other = {vm: name, address: name, availabilityZone};
      vm.submit({kind: 'vmListed', ...other});
    }
    if (strategy === 'fixed') {
      const {delays} = vm.state.hedging;
      const getDelayMs = () => fixedDelayMs;
      const fixed = {getDelayMs, recordSample: () => {}};
      delays.set('0 read', fixed as never);
    }
    events.schedule(random.nextInt(100), () => vm.start());
  }

  const ids = [...endpoints.keys()];
  const startFault = (): void => {
    const nowMs = events.nowMs;
    if (fault === 'allSlow') {
      for (const id of ids) slowUntilMs.set(id, nowMs + 2000);
      events.schedule(10_000, startFault);
      return;
    }
    const id = ids[faultRandom.nextInt(ids.length)];
    const durationMs = fault === 'hang' ? 1000 : 200 + faultRandom.nextInt(400);
    slowUntilMs.set(id, nowMs + durationMs);
    events.schedule(fault === 'hang' ? 5000 : 1000, startFault);
  };
  // Delays are learned without a fault for half of the warm-up.
  events.schedule(warmUpMs / 2, startFault);

  const meanMs = medianMs * Math.exp(deviation ** 2 / 2);
  const perMs = (load * endpointCount * slots) / meanMs;
  const sendNext = (): void => {
    if (events.nowMs > endMs) return;
    const vm = vms.get(`vm-${arrivalRandom.nextInt(vmCount)}`)!;
    const requestId = `r${startedAtMs.size}`;
    startedAtMs.set(requestId, events.nowMs);
    if (events.nowMs >= warmUpMs) requests += 1;
    vm.submitRequest({
      kind: 'requestReceived',
      requestId,
      attemptId: requestId,
      host: route.host,
      path: `${route.pathPrefix}1`,
      apiKey: undefined,
      deadlineInMs: undefined,
      promptTokens: 0,
      totalTokens: undefined,
      sharedParts: [],
    });
    const gapMs = -Math.log(Math.max(1e-9, arrivalRandom.next())) / perMs;
    events.schedule(gapMs, sendNext);
  };
  sendNext();
  events.runUntil(endMs + 10_000);
  return {latenciesMs, requests, extraCalls};
}
