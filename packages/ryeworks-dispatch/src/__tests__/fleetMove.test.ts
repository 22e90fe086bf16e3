import {createRandomSource, RandomSource} from '@ryeworks/utils';
import t from 'tap';
import {
  DispatchState,
  Effect,
  handleInput,
  Input,
  MoveOrder,
  MoveResult,
  startDispatch,
} from '../index.js';
import {
  createDesiredState,
  createEndpoint,
  createRequest,
  createState,
  names,
} from './fixtures.js';

const stepMs = 10;
const requestPeriodMs = 40;
const maxCallMs = 2500;
/** Longest delay until a VM reads a change of the order, in ms. */
const maxReadDelayMs = 800;
const maxMessageDelayMs = 100;
const lossRate = 0.1;
/** When one VM is killed and started again, in ms. */
const restartAtMs = 6500;

const order: MoveOrder = {
  service: names.ledger,
  toVersion: 'v2',
  durationMs: 12_000,
  position: {era: 1, revision: 10},
  orderedAt: {era: 1, revision: 10},
  provenVersions: [],
  phase: undefined,
};
const endpoints = [
  createEndpoint('e1', names.ledger, {slots: 200}),
  createEndpoint('e2', names.ledger, {slots: 200, version: 'v2'}),
];

/** VMs that run a move in virtual time. */
class MovingFleet {
  private readonly vms = new Map<string, DispatchState>();
  private readonly due: {atMs: number; run: () => void}[] = [];
  private readonly random: RandomSource;
  private current = order;
  private nowMs = 0;
  /** Calls in progress at the old version, by the VM that makes them. */
  private readonly oldCalls = new Map<string, number>();
  /** When the move was completed, in ms. */
  completedAtMs = Number.POSITIVE_INFINITY;
  /** Calls that were at the old version then, or that started there later. */
  cutCalls = 0;

  constructor(seed: number) {
    this.random = createRandomSource(seed);
    for (const vm of ['vm-1', 'vm-2', 'vm-3']) this.startVm(vm, 1);
  }

  /** Starts a VM, in place of an earlier run of it. */
  startVm(vm: string, incarnation: number): void {
    const options = {...createState(vm).options, incarnation};
    const state = {...createState(vm, incarnation), options};
    state.hasCheckedVersion = true;
    this.vms.set(vm, state);
    this.oldCalls.set(vm, 0);
    const desiredState = createDesiredState();
    this.submit(vm, {kind: 'storeReachabilityChanged', isReachable: true});
    this.submit(vm, {kind: 'desiredStateRead', desiredState});
    this.submit(vm, {kind: 'endpointsListed', era: 1, endpoints});
    startDispatch(state, this.nowMs);
    for (const peer of this.vms.keys()) {
      const listed = {address: `${peer}:7600`, availabilityZone: 'zone-a'};
      this.submit(vm, {kind: 'vmListed', vm: peer, ...listed});
    }
    this.readOrder(vm);
  }

  /** Runs the fleet until the end of the move. */
  run(restarted: string): void {
    while (this.nowMs < order.durationMs) {
      this.nowMs += stepMs;
      const ready = this.due.filter(({atMs}) => atMs <= this.nowMs);
      for (const event of ready) {
        this.due.splice(this.due.indexOf(event), 1);
        event.run();
      }
      if (this.nowMs === restartAtMs) this.startVm(restarted, 2);
      for (const vm of this.vms.keys()) {
        this.submit(vm, {kind: 'timerDue'});
        if (this.nowMs % requestPeriodMs > 0) continue;
        this.submit(vm, createRequest('booking', this.nowMs));
      }
    }
  }

  private schedule(maxDelayMs: number, run: () => void): void {
    const delayMs = this.random.next() * maxDelayMs;
    this.due.push({atMs: this.nowMs + delayMs, run});
  }

  private submit(vm: string, input: Input): void {
    const state = this.vms.get(vm)!;
    this.runEffects(vm, handleInput(state, input, this.nowMs));
  }

  private readOrder(vm: string): void {
    this.schedule(maxReadDelayMs, () =>
      this.submit(vm, {kind: 'movesRead', era: 1, orders: [this.current]}),
    );
  }

  private runEffects(vm: string, effects: readonly Effect[]): void {
    for (const effect of effects) {
      if (effect.kind === 'startCall') this.runCall(vm, effect);
      if (effect.kind === 'sendPeer') {
        if (this.random.next() < lossRate) continue;
        const {message} = effect;
        const [to] = effect.address.split(':');
        this.schedule(maxMessageDelayMs, () =>
          this.submit(to, {kind: 'peerMessageReceived', message}),
        );
      }
      if (effect.kind === 'writeMoveResult') this.writeResult(effect.result);
    }
  }

  private runCall(
    vm: string,
    {callNumber, endpoint, requestId}: Extract<Effect, {kind: 'startCall'}>,
  ): void {
    const state = this.vms.get(vm);
    const isOld = endpoint.version !== order.toVersion;
    const addCalls = (change: number) =>
      this.oldCalls.set(vm, this.oldCalls.get(vm)! + change);
    if (isOld) addCalls(1);
    if (isOld && this.nowMs > this.completedAtMs) this.cutCalls += 1;
    const event = {requestId, callNumber};
    this.schedule(0, () => this.submit(vm, {kind: 'callSent', ...event}));
    this.schedule(maxCallMs, () => {
      if (this.vms.get(vm) !== state) return;
      if (isOld) addCalls(-1);
      this.submit(vm, {kind: 'callDone', ...event, status: 200});
    });
  }

  private writeResult({phase, position}: MoveResult): void {
    if (position.revision !== this.current.position.revision) return;
    const revision = position.revision + 1;
    this.current = {...order, phase, position: {era: 1, revision}};
    for (const vm of this.vms.keys()) this.readOrder(vm);
    if (phase !== 'completed') return;
    this.completedAtMs = this.nowMs;
    for (const calls of this.oldCalls.values()) this.cutCalls += calls;
  }
}

// Guards against calls that are cut when the old endpoints stop.
for (const restarted of ['vm-1', 'vm-2', 'vm-3']) {
  t.test(`a restart of ${restarted} in a move cuts no call`, async t => {
    for (let seed = 1; seed <= 5; seed++) {
      const fleet = new MovingFleet(seed);
      fleet.run(restarted);
      const {completedAtMs, cutCalls} = fleet;
      t.ok(completedAtMs < order.durationMs, `seed ${seed}: ${completedAtMs}`);
      t.equal(cutCalls, 0, `seed ${seed}`);
    }
  });
}
