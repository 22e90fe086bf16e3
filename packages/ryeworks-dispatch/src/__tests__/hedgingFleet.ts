import {createRandomSource} from '@ryeworks/utils';
import {DispatchState, Input, startDispatch} from '../index.js';
import {
  createDesiredState,
  createEndpoint,
  createRequest,
  createState,
  names,
  runInput,
} from './fixtures.js';

/** Ratio of hedged requests in tests. */
export const hedgeRatio = 0.1;
/** Length of the retry window, in ms. */
export const windowMs = 10_000;
/** Time to the first event of an ordinary answer, in ms. */
export const answerMs = 50;

/** Creates endpoints of the idempotent service with four slots each. */
export function createLedgers(count: number, zones = ['zone-a']) {
  return Array.from({length: count}, (_, index) =>
    createEndpoint(`e${index}`, names.ledger, {
      slots: 4,
      availabilityZone: zones[index % zones.length],
    }),
  );
}

/** Fraction of a fleet's calls that are late in some seconds; the budget binds. */
const lateCalls = 0.2;

/** Returns whether calls of a fleet are answered late at a time. */
function hasLateCalls(nowMs: number): boolean {
  return (nowMs > 15_000 && nowMs < 22_000) || nowMs > 32_000;
}

/** Runs VMs under a load of which a part is answered late at times. */
export class HedgingFleet {
  readonly requestTimes: number[] = [];
  readonly hedgeTimes: number[] = [];
  private readonly random = createRandomSource(3);
  private readonly states = new Map<string, DispatchState>();
  private due: Array<{atMs: number; run: () => void}> = [];
  private isPartitioned = false;
  private nowMs = 0;

  constructor(private readonly vmCount: number) {
    for (let index = 0; index < vmCount; index++) this.startVm(index);
  }

  startVm(index: number): void {
    const vm = `vm-${index}`;
    const state = createState(vm, index + 1);
    const retryBounds = {...state.options.retryBounds, windowMs};
    state.options = {...state.options, hedgeRatio, retryBounds};
    state.hasCheckedVersion = true;
    this.states.set(vm, state);
    const desiredState = createDesiredState();
    this.submit(vm, {kind: 'desiredStateRead', desiredState});
    const endpoints = createLedgers(40);
    this.submit(vm, {kind: 'endpointsListed', era: 1, endpoints});
    for (let other = 0; other < this.vmCount; other++) {
      const peer = {vm: `vm-${other}`, address: `vm-${other}:7600`};
      this.submit(vm, {kind: 'vmListed', ...peer, availabilityZone: 'zone-a'});
    }
    startDispatch(state, this.nowMs);
  }

  /** Runs for 40 s; returns the largest excess of the budget in any window. */
  run(perSecond: number): number {
    const stepMs = 10;
    let excess = Number.NEGATIVE_INFINITY;
    for (; this.nowMs < 40_000; this.nowMs += stepMs) {
      this.isPartitioned = this.nowMs > 12_000 && this.nowMs < 35_000;
      const isRestart = this.nowMs === 18_000 && this.vmCount > 1;
      for (let vm = 0; isRestart && vm < this.vmCount; vm += 3) {
        this.startVm(vm);
      }
      const steps = this.due.filter(({atMs}) => atMs <= this.nowMs);
      this.due = this.due.filter(({atMs}) => atMs > this.nowMs);
      for (const {run} of steps) run();
      for (const vm of this.states.keys()) {
        this.submit(vm, {kind: 'timerDue'});
      }
      const count = Math.floor(
        (perSecond * stepMs) / 1000 + this.random.next(),
      );
      for (let index = 0; index < count; index++) {
        const vm = `vm-${this.random.nextInt(this.vmCount)}`;
        this.requestTimes.push(this.nowMs);
        this.submit(vm, createRequest('reading', this.nowMs));
      }
      const isInWindow = (atMs: number) => atMs > this.nowMs - windowMs;
      const hedges = this.hedgeTimes.filter(isInWindow).length;
      const requests = this.requestTimes.filter(isInWindow).length;
      excess = Math.max(excess, hedges - hedgeRatio * requests);
    }
    return excess;
  }

  private submit(vm: string, input: Input): void {
    const state = this.states.get(vm)!;
    const half = (name: string) => Number(name.slice(3)) % 2;
    for (const effect of runInput(state, input, this.nowMs)) {
      if (effect.kind === 'sendPeer') {
        const [target] = effect.address.split(':');
        if (this.isPartitioned && half(target) !== half(vm)) continue;
        const {message} = effect;
        this.schedule(1, () =>
          this.submit(target, {kind: 'peerMessageReceived', message}),
        );
      }
      if (effect.kind !== 'startCall') continue;
      const {callNumber, requestId} = effect;
      const call = {requestId, callNumber};
      // No call fails or is silent: each second one is a hedged request.
      if (callNumber > 1) this.hedgeTimes.push(this.nowMs);
      const lateFraction = hasLateCalls(this.nowMs) ? lateCalls : 0;
      const isLate = callNumber === 1 && this.random.next() < lateFraction;
      const elapsedMs = isLate ? answerMs * 8 : answerMs;
      this.submit(vm, {kind: 'callSent', ...call});
      this.schedule(elapsedMs, () => {
        if (this.states.get(vm) !== state) return;
        this.submit(vm, {kind: 'callProgressed', ...call, events: 1});
        this.submit(vm, {kind: 'callDone', ...call, status: 200});
      });
    }
  }

  private schedule(delayMs: number, run: () => void): void {
    this.due.push({atMs: this.nowMs + delayMs, run});
  }
}
