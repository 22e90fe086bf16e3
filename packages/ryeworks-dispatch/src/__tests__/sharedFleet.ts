import {createRandomSource, RandomSource} from '@ryeworks/utils';
import {
  DesiredState,
  DispatchState,
  Effect,
  Endpoint,
  getNextDueMs,
  handleInput,
  Input,
  PeerMessage,
  startDispatch,
} from '../index.js';
import {createEndpoint, createState, names, routes} from './fixtures.js';

/** Length of a step of virtual time, in ms; a message arrives one step later. */
const stepMs = 5;
/** Time for which an endpoint runs a call, in ms. */
const runMs = 200;
const slots = 4;
const zoneCount = 3;
/** Start of what is measured, once queues and measurements have settled, in ms. */
export const warmUpMs = 2000;
/** End of what is measured, in ms; the load goes on. */
export const measuredUntilMs = 8000;
/** Work of each request that a customer states, in tokens. */
const requestTokens = 200;

/** A customer and the VMs that its callers are connected to. */
export interface SharedFleetCustomer {
  readonly name: string;
  readonly perSecond: number;
  /** Indexes of VMs; each gets an equal part of the requests. */
  readonly vms: readonly number[];
  /** When the customer begins to send, in ms; 0 if not set. */
  readonly fromMs?: number;
}

/** What happened to the requests of one customer after the warm-up. */
export interface CustomerResult {
  sent: number;
  served: number;
  readonly waitsMs: number[];
  readonly refusals: Map<string, number>;
}

/** A call that an endpoint runs or that waits in the endpoint's own queue. */
interface EndpointCall {
  readonly vm: number;
  readonly requestId: string;
  readonly callNumber: number;
  /** Undefined while it waits. */
  endsAtMs: number | undefined;
}

/** Returns the rate at which the endpoints of a fleet can serve, per second. */
export function getRoomPerSecond(endpoints: number): number {
  return (endpoints * slots * 1000) / runMs;
}

/** Returns a quantile of unsorted numbers; 0 if there are none. */
export function getQuantile(values: readonly number[], share: number): number {
  const sorted = [...values].sort((a, b) => a - b);
  return sorted[Math.floor(share * (sorted.length - 1))] ?? 0;
}

/** Returns the zone of a VM or an endpoint. */
function getZone(index: number): string {
  return `zone-${index % zoneCount}`;
}

/** Creates a desired state with one route of one service. */
function createSharedState(
  customers: readonly SharedFleetCustomer[],
): DesiredState {
  const targets = [{service: names.model, weight: 1}];
  const route = {...routes.reading, tier: 0, targets};
  return {
    version: 1,
    routes: [route],
    customers: customers.map(({name}) => ({
      name,
      apiKeys: [name],
      tier: undefined,
      limit: undefined,
    })),
    bounds: {
      maxHeaderBytes: 16_384,
      maxBodyBytes: 1_000_000,
      headerTimeoutMs: 3000,
      idleTimeoutMs: 15_000,
    },
  };
}

/**
 * Runs several VMs in front of shared endpoints in virtual time, with the load of
 * several customers. The same seed gives the same run.
 */
export class SharedFleet {
  readonly states: DispatchState[] = [];
  readonly results = new Map<string, CustomerResult>();
  private nowMs = 0;
  private readonly random: RandomSource;
  private messages: Array<{vm: number; message: PeerMessage}> = [];
  private readonly callsByEndpoint = new Map<string, EndpointCall[]>();
  private readonly customerByRequest = new Map<string, string>();
  /** Requests that were sent in the time that is measured. */
  private readonly measured = new Set<string>();
  private readonly nextSendMs = new Map<string, number>();

  constructor(
    vmCount: number,
    endpointCount: number,
    private readonly customers: readonly SharedFleetCustomer[],
    seed: number,
  ) {
    this.random = createRandomSource(seed);
    const endpoints = Array.from({length: endpointCount}, (_, index) =>
      createEndpoint(`m${index}`, names.model, {
        slots,
        availabilityZone: getZone(index),
      }),
    );
    for (let vm = 0; vm < vmCount; vm++) this.addVm(vm, endpoints);
    for (const [vm, state] of this.states.entries()) {
      for (let peer = 0; peer < vmCount; peer++) {
        if (peer === vm) continue;
        const listed = {vm: `vm-${peer}`, address: `${peer}`};
        const availabilityZone = getZone(peer);
        handleInput(state, {kind: 'vmListed', ...listed, availabilityZone}, 0);
      }
    }
    for (const {fromMs = 0, name, perSecond} of customers) {
      const firstMs = fromMs + (this.random.next() * 1000) / perSecond;
      this.nextSendMs.set(name, firstMs);
      const counts = {sent: 0, served: 0};
      this.results.set(name, {...counts, waitsMs: [], refusals: new Map()});
    }
  }

  /** Runs the fleet until a time. */
  runUntil(endMs: number): void {
    for (; this.nowMs < endMs; this.nowMs += stepMs) {
      const {messages} = this;
      this.messages = [];
      for (const {message, vm} of messages) {
        this.submit(vm, {kind: 'peerMessageReceived', message});
      }
      this.runCalls();
      for (const [vm, state] of this.states.entries()) {
        const dueMs = getNextDueMs(state) ?? Number.POSITIVE_INFINITY;
        if (dueMs <= this.nowMs) this.submit(vm, {kind: 'timerDue'});
      }
      for (const customer of this.customers) this.sendRequests(customer);
    }
  }

  private addVm(vm: number, endpoints: readonly Endpoint[]): void {
    const created = createState(`vm-${vm}`, 7 + vm);
    created.options = {
      ...created.options,
      peerAddress: `${vm}`,
      availabilityZone: getZone(vm),
    };
    created.hasCheckedVersion = true;
    const desiredState = createSharedState(this.customers);
    handleInput(created, {kind: 'desiredStateRead', desiredState}, 0);
    handleInput(created, {kind: 'endpointsListed', era: 1, endpoints}, 0);
    // Digests of the VMs are not sent at the same moment.
    startDispatch(created, this.random.nextInt(100));
    this.states.push(created);
  }

  /** Sends the requests of a customer that are due. */
  private sendRequests({name, perSecond, vms}: SharedFleetCustomer): void {
    for (;;) {
      const dueMs = this.nextSendMs.get(name)!;
      if (dueMs > this.nowMs) return;
      const gapMs = (-Math.log(1 - this.random.next()) * 1000) / perSecond;
      this.nextSendMs.set(name, dueMs + gapMs);
      const requestId = `q${this.customerByRequest.size}`;
      this.customerByRequest.set(requestId, name);
      if (this.isMeasured(this.nowMs)) {
        this.measured.add(requestId);
        this.results.get(name)!.sent += 1;
      }
      this.submit(vms[this.random.nextInt(vms.length)], {
        kind: 'requestReceived',
        requestId,
        attemptId: requestId,
        host: names.host,
        path: '/reading/1',
        apiKey: name,
        receivedAtMs: this.nowMs,
        deadlineInMs: 8000,
        promptTokens: 100,
        totalTokens: requestTokens,
        sharedParts: [],
      });
    }
  }

  private submit(vm: number, input: Input): void {
    for (const effect of handleInput(this.states[vm], input, this.nowMs)) {
      this.runEffect(vm, effect);
    }
  }

  private runEffect(vm: number, effect: Effect): void {
    if (effect.kind === 'sendPeer') {
      const {address, message} = effect;
      this.messages.push({vm: Number(address), message});
    } else if (effect.kind === 'startCall') {
      this.startCall(vm, effect.requestId, effect.callNumber, effect.endpoint);
    } else if (effect.kind === 'cancelCall') {
      const {callNumber, requestId} = effect;
      for (const calls of this.callsByEndpoint.values()) {
        const index = calls.findIndex(
          call =>
            call.requestId === requestId && call.callNumber === callNumber,
        );
        if (index >= 0) calls.splice(index, 1);
      }
    } else if (
      effect.kind === 'answerError' &&
      this.measured.has(effect.requestId)
    ) {
      const {refusals} = this.getResult(effect.requestId);
      refusals.set(effect.reason, (refusals.get(effect.reason) ?? 0) + 1);
    }
  }

  private isMeasured(atMs: number): boolean {
    return atMs >= warmUpMs && atMs < measuredUntilMs;
  }

  private getResult(requestId: string): CustomerResult {
    return this.results.get(this.customerByRequest.get(requestId)!)!;
  }

  /** Adds a call to an endpoint, which runs the first ones, up to its slots. */
  private startCall(
    vm: number,
    requestId: string,
    callNumber: number,
    {id}: Endpoint,
  ): void {
    const calls = this.callsByEndpoint.get(id) ?? [];
    this.callsByEndpoint.set(id, calls);
    calls.push({vm, requestId, callNumber, endsAtMs: undefined});
    this.submit(vm, {kind: 'callSent', requestId, callNumber});
  }

  /** Ends the calls that have run long enough, and runs the next ones. */
  private runCalls(): void {
    for (const calls of this.callsByEndpoint.values()) {
      const ended = calls.filter(
        ({endsAtMs = Number.POSITIVE_INFINITY}) => endsAtMs <= this.nowMs,
      );
      for (const call of ended) calls.splice(calls.indexOf(call), 1);
      for (const call of calls.slice(0, slots)) {
        if (call.endsAtMs !== undefined) continue;
        call.endsAtMs = this.nowMs + runMs;
        this.recordRun(call);
      }
      for (const {callNumber, requestId, vm} of ended) {
        if (this.measured.has(requestId)) this.getResult(requestId).served += 1;
        this.submit(vm, {kind: 'callDone', requestId, callNumber, status: 200});
      }
    }
  }

  private recordRun({callNumber, requestId, vm}: EndpointCall): void {
    const request = this.states[vm].requests.get(requestId);
    if (request !== undefined && this.measured.has(requestId)) {
      const waitedMs = this.nowMs - request.receivedAtMs;
      this.getResult(requestId).waitsMs.push(waitedMs);
    }
    const call = {requestId, callNumber};
    this.submit(vm, {kind: 'callProgressed', ...call, events: 1});
  }
}
