import {callKind, CancelCall, StartCall} from '@ryeworks/dispatch';
import {EventQueue} from '../harness/eventQueue.js';
import {FleetEndpoint} from './fleetEndpoint.js';
import {FleetRequest} from './fleetRequest.js';
import {FleetVm} from './fleetVm.js';

/** Time until a call reaches its endpoint, in ms. */
const linkDelayMs = 1;
/** Time from a call's arrival until its answer begins and until it ends, in ms. */
const answerBeginsMs = 40;
const answerEndsMs = 120;
/** Number of events of a stream, and the time between two of them, in ms. */
const streamEvents = 20;
const eventGapMs = 20;
/** Time until another process replaces one that has crashed, in ms. */
const downMs = 3000;
/** Time after which a VM gives up connecting to an endpoint, in ms. */
const connectTimeoutMs = 150;

/** A call from a VM to an endpoint. */
interface FleetCall {
  readonly vm: FleetVm;
  readonly target: FleetEndpoint;
  /** Identifies the call in the inputs of the VM. */
  readonly ids: {readonly requestId: string; readonly callNumber: number};
  readonly request: FleetRequest;
  /** Whether the endpoint runs it, so that it takes one of the slots. */
  isRunning: boolean;
  /** Whether the VM has closed the connection. */
  isCanceled: boolean;
}

/** The crash of an endpoint. */
export interface FleetCrash {
  readonly endpointId: string;
  readonly atMs: number;
}

/** Runs the calls from the VMs of a fleet to its endpoints. */
export class FleetCalls {
  /**
   * Part of a prompt under which endpoints crash as soon as they begin to answer;
   * undefined if there is none.
   */
  crashingPart: string | undefined;
  /** The crashes under that part, in order. */
  readonly crashes: FleetCrash[] = [];
  private readonly callsByRequestId = new Map<string, FleetCall[]>();

  constructor(
    private readonly events: EventQueue,
    /** Called when the caller of a request has its complete answer. */
    private readonly handleServed: (request: FleetRequest) => void,
    /** Called when another process has started as a crashed endpoint. */
    private readonly handleRestarted: (target: FleetEndpoint) => void,
  ) {}

  /** Starts a call; without a path to the endpoint, it fails unsent. */
  start(
    vm: FleetVm,
    {callNumber, requestId}: StartCall,
    request: FleetRequest,
    target: FleetEndpoint,
    hasPath: boolean,
  ): void {
    const ids = {requestId, callNumber};
    const flags = {isRunning: false, isCanceled: false};
    const call = {vm, target, ids, request, ...flags};
    const calls = this.callsByRequestId.get(requestId) ?? [];
    this.callsByRequestId.set(requestId, [...calls, call]);
    if (!hasPath) {
      this.events.schedule(connectTimeoutMs, () => this.fail(call, 'notSent'));
      return;
    }
    this.events.schedule(linkDelayMs, () => {
      if (call.isCanceled) return;
      if (target.isDown) {
        this.fail(call, 'notSent');
        return;
      }
      vm.submit({kind: 'callSent', ...ids});
      target.runUnlessPaused(() => this.handleArrival(call));
    });
  }

  /** Closes the connection of one call of a request. */
  cancel({callNumber, requestId}: CancelCall): void {
    for (const call of this.callsByRequestId.get(requestId) ?? []) {
      if (call.ids.callNumber !== callNumber) continue;
      call.isCanceled = true;
      call.target.runUnlessPaused(() => this.release(call));
    }
  }

  /** Ends the process of an endpoint, which another process replaces after a while. */
  kill(target: FleetEndpoint): void {
    if (target.isDown) return;
    target.isDown = true;
    this.resetConnections(target);
    this.events.schedule(downMs, () => {
      target.startNextProcess(this.events.nowMs);
      this.handleRestarted(target);
    });
  }

  /** Resets all connections of an endpoint. */
  resetConnections(target: FleetEndpoint): void {
    for (const calls of [...this.callsByRequestId.values()]) {
      for (const call of calls) {
        if (call.target !== target || !call.isRunning) continue;
        this.release(call);
        this.fail(call, 'cut');
        call.isCanceled = true;
      }
    }
  }

  /**
   * Begins to answer a call, unless that crashes the endpoint.
   *
   * @param answer sends the beginning of the answer
   */
  private startAnswer(call: FleetCall, answer: () => void): void {
    const {request, target} = call;
    const {crashingPart} = this;
    const isCrashing =
      crashingPart !== undefined && request.sharedParts.includes(crashingPart);
    if (!isCrashing && !target.isFaulty) {
      this.submitHead(call);
      answer();
      return;
    }
    const {id} = target.endpoint;
    if (isCrashing) {
      this.crashes.push({endpointId: id, atMs: this.events.nowMs});
    }
    this.kill(target);
  }

  /**
   * Handles a call that an endpoint reads, which may have been canceled since it
   * was sent.
   */
  private handleArrival(call: FleetCall): void {
    const {request, target, vm} = call;
    const {tier} = request.route;
    const atMs = this.events.nowMs;
    const {sentAtMs, sharedParts} = request;
    target.addArrival({atMs, vm: vm.options.vm, tier, sentAtMs, sharedParts});
    const isFull = target.running >= target.endpoint.slots;
    if (isFull || target.isRefusing) {
      this.submitHead(call, true);
      this.fail(call, 'refused');
      return;
    }
    request.runs += 1;
    target.running += 1;
    call.isRunning = true;
    if (request.route.kind === callKind.stream) {
      const firstEvent = request.events + 1;
      this.schedule(call, answerBeginsMs, () =>
        this.startAnswer(call, () => this.sendEvents(call, firstEvent)),
      );
      return;
    }
    this.schedule(call, answerBeginsMs, () =>
      this.startAnswer(call, () => {
        call.vm.submit({kind: 'callProgressed', ...call.ids, events: 1});
      }),
    );
    this.schedule(call, answerEndsMs, () => this.finish(call));
  }

  /** Schedules a step of an endpoint's work on a call. */
  private schedule(call: FleetCall, delayMs: number, run: () => void): void {
    const runStep = () => {
      if (!call.isCanceled) run();
      else this.release(call);
    };
    this.events.schedule(delayMs, () => call.target.runUnlessPaused(runStep));
  }

  private submitHead({ids, target, vm}: FleetCall, isRefusal = false): void {
    const {nowMs} = this.events;
    const name = vm.options.vm;
    const limitStatement = target.createStatement(name, nowMs);
    const notice = target.createNotice(name, isRefusal, nowMs);
    vm.submit({kind: 'callAnswered', ...ids, limitStatement, notice});
  }

  /** Sends an event of a stream and the ones after it. */
  private sendEvents(call: FleetCall, event: number): void {
    const {ids, request, vm} = call;
    if (event > streamEvents) {
      this.finish(call);
      return;
    }
    vm.submit({kind: 'callProgressed', ...ids, events: event});
    // The input may have canceled this call, if another one was in progress.
    if (call.isCanceled) return;
    request.events = Math.max(request.events, event);
    this.schedule(call, eventGapMs, () => this.sendEvents(call, event + 1));
  }

  private finish(call: FleetCall): void {
    const {ids, request, vm} = call;
    this.release(call);
    if (vm.isDead || request.outcome !== 'open') return;
    request.outcome = 'done';
    this.handleServed(request);
    vm.submit({kind: 'callDone', ...ids, status: 200});
    this.callsByRequestId.delete(ids.requestId);
  }

  private fail(call: FleetCall, failure: 'notSent' | 'refused' | 'cut'): void {
    const {ids, request, vm} = call;
    if (call.isCanceled) return;
    const hasResponseStarted = request.events > 0;
    const detail = failure;
    vm.submit({
      kind: 'callFailed',
      ...ids,
      failure,
      hasResponseStarted,
      isConnectionLost: failure === 'cut',
      detail,
    });
  }

  /** Frees the slot of a call that has ended. */
  private release(call: FleetCall): void {
    if (!call.isRunning) return;
    call.isRunning = false;
    call.target.running -= 1;
  }
}
