import {getHash, pickRandom} from '@ryeworks/utils';
import {CallKind} from '../deployment/deploymentPlan.js';
import {pickSize} from '../load/runLoad.js';
import {AttemptAnswer, CallerBehavior, CallRecord} from './callLedger.js';
import {HarnessParts} from './harnessParts.js';

/** Maximum number of attempts of a retrying caller. */
const maxAttempts = 4;
/** Time after which a retrying caller abandons an attempt, in ms. */
const attemptTimeoutMs = 2500;
/** Time until the load balancer excludes a VM that stops or dies, in ms. */
const balancerLagMs = 1000;

/** Simulates the callers of a scenario and their load balancer. */
export class FakeCallers {
  private nextCall = 1;
  /** Number of `not-run` answers to requests that had run. */
  wrongNotRun = 0;
  /** Number of concurrent operator updates that another one overwrote. */
  lostUpdates = 0;
  /** Requests that wait for the answer of another request, by that request. */
  private readonly attached = new Map<string, string[]>();
  /** The final answer to each request that has ended. */
  private readonly answerByRequestId = new Map<string, AttemptAnswer>();
  /**
   * VMs that are stopping or dead, with the time at which that began, in ms.
   * The load balancer excludes them after a delay.
   */
  readonly excludedVms = new Map<string, number>();

  constructor(private readonly harness: HarnessParts) {}

  /**
   * Makes calls of one kind at a mean rate until a point in time. The gaps
   * between the calls are random and exponentially distributed.
   */
  startLoad(
    kind: CallKind,
    callsPerSecond: number,
    untilMs: number,
    behavior: CallerBehavior,
  ): void {
    const {events, random} = this.harness;
    const gapSeconds = -Math.log(1 - random.next()) / callsPerSecond;
    events.schedule(gapSeconds * 1000, () => {
      if (events.nowMs > untilMs) return;
      this.makeCall(kind, behavior);
      this.startLoad(kind, callsPerSecond, untilMs, behavior);
    });
  }

  /** Starts one call with its first attempt. */
  makeCall(kind: CallKind, behavior: CallerBehavior): CallRecord {
    const {events, ledger, options, random} = this.harness;
    const callId = `call-${this.nextCall++}`;
    const call: CallRecord = {
      callId,
      kind,
      key: kind.hasIdempotencyKey ? `key-${callId}` : '',
      customer: pickRandom(random, options.plan.customers)!.customer,
      promptTokens: pickSize(kind.promptTokens, random),
      outputTokens: pickSize(kind.outputTokens, random),
      behavior,
      startedMs: events.nowMs,
      attempts: [],
      answers: [],
      firstTokenMs: 0,
      dispatchedMs: 0,
    };
    ledger.calls.push(call);
    this.startAttempt(call);
    return call;
  }

  /** Ends the open attempts at a dead VM with the outcome `lost`. */
  dropConnections(vm: string): void {
    const {events, ledger} = this.harness;
    this.excludedVms.set(vm, events.nowMs);
    for (const call of ledger.calls) {
      for (const {requestId, vm: attemptVm} of call.attempts) {
        if (attemptVm !== vm || this.answerByRequestId.has(requestId)) continue;
        this.recordCallerAnswer(vm, requestId, {
          outcome: 'lost',
          ran: 'unknown',
          retryAfterMs: 0,
          atMs: events.nowMs,
        });
      }
    }
  }

  /** Records when the first token of a request arrived. */
  recordFirstToken(requestId: string): void {
    const call = this.harness.ledger.callByRequestId.get(requestId);
    if (call === undefined || call.firstTokenMs > 0) return;
    call.firstTokenMs = this.harness.events.nowMs;
  }

  /**
   * Records the answer to a request and to the requests attached to it. A
   * retrying caller then schedules its next attempt unless the call succeeded.
   */
  recordCallerAnswer(
    vm: string,
    requestId: string,
    answer: AttemptAnswer,
  ): void {
    if (this.answerByRequestId.has(requestId)) return;
    this.answerByRequestId.set(requestId, answer);
    const call = this.harness.ledger.callByRequestId.get(requestId);
    if (call === undefined) return;
    const isCurrent =
      call.attempts[call.attempts.length - 1].requestId === requestId;
    if (isCurrent && !this.hasSucceeded(call)) {
      this.checkNotRun(call, requestId, answer);
      call.answers.push(answer);
      this.scheduleRetry(call, answer);
    }
    for (const attachedId of this.attached.get(requestId) ?? []) {
      this.recordCallerAnswer(vm, attachedId, answer);
    }
  }

  /**
   * Gives a retry the answer of the request that holds its idempotency key, now
   * or when that request ends. The outcome is unknown if the VM of that request
   * is dead.
   */
  attachAnswer(
    vm: string,
    requestId: string,
    holderVm: string,
    holderRequestId: string,
  ): void {
    const answer = this.answerByRequestId.get(holderRequestId);
    if (answer !== undefined && answer.outcome !== 'lost') {
      const {events} = this.harness;
      this.recordCallerAnswer(vm, requestId, {...answer, atMs: events.nowMs});
      return;
    }
    const isHolderDead = this.harness.vms.get(holderVm)?.isDead !== false;
    if (isHolderDead) {
      this.recordCallerAnswer(vm, requestId, {
        outcome: 'outcomeUnknown',
        ran: 'unknown',
        retryAfterMs: 1000,
        atMs: this.harness.events.nowMs,
      });
      return;
    }
    const waiting = this.attached.get(holderRequestId) ?? [];
    waiting.push(requestId);
    this.attached.set(holderRequestId, waiting);
  }

  /** Checks a `not-run` answer against the runs that the endpoints counted. */
  private checkNotRun(
    call: CallRecord,
    requestId: string,
    answer: AttemptAnswer,
  ): void {
    if (answer.ran !== 'not-run') return;
    if (this.harness.countRuns(call.key || requestId) > 0) {
      this.wrongNotRun += 1;
    }
  }

  private hasSucceeded(call: CallRecord): boolean {
    const last = call.answers[call.answers.length - 1];
    return last?.outcome === 'done';
  }

  /** Lists the VMs, of one zone or of all, that the load balancer uses. */
  private listEligibleVms(zone = ''): string[] {
    const {events, vms} = this.harness;
    const eligible: string[] = [];
    for (const {vm, availabilityZone} of vms.values()) {
      if (zone !== '' && availabilityZone !== zone) continue;
      const excludedAtMs = this.excludedVms.get(vm);
      const isExcluded =
        excludedAtMs !== undefined &&
        events.nowMs - excludedAtMs >= balancerLagMs;
      if (!isExcluded) eligible.push(vm);
    }
    return eligible;
  }

  private startAttempt(call: CallRecord): void {
    const {events, ledger, options, random, vms} = this.harness;
    const attempt = call.attempts.length + 1;
    const requestId = `${call.callId}.${attempt}`;
    const vm = pickRandom(random, this.listEligibleVms(call.behavior.zone))!;
    call.attempts.push({requestId, vm, startedMs: events.nowMs});
    ledger.callByRequestId.set(requestId, call);
    const target = vms.get(vm)!;
    if (target.isDead) {
      events.schedule(1, () => this.dropConnections(vm));
      return;
    }
    const {kind} = call;
    const isModel = kind.path === '';
    const {modelService} = options.plan;
    const path = isModel ? modelService.routes[0].path : kind.path;
    target.submit({
      kind: 'requestReceived',
      requestId,
      customer: call.customer,
      service: kind.service,
      route: `${kind.method} ${path}`,
      tier: kind.tier,
      promptTokens: call.promptTokens,
      maxTokens: call.outputTokens,
      prefixHash: getHash(kind.name),
      fingerprint: getHash(call.callId),
      idempotencyKey: call.key === '' ? undefined : call.key,
      attempt: call.behavior.marksAttempts ? attempt : undefined,
      deadlineInMs: kind.deadlineMs,
    });
    if (!call.behavior.isRetrying) return;
    events.schedule(attemptTimeoutMs, () => {
      if (
        this.answerByRequestId.has(requestId) ||
        call.attempts.length !== attempt
      )
        return;
      target.submit({kind: 'callerGone', requestId});
      this.startRetry(call);
    });
  }

  private startRetry(call: CallRecord): void {
    if (call.attempts.length >= maxAttempts) return;
    this.startAttempt(call);
  }

  private scheduleRetry(call: CallRecord, answer: AttemptAnswer): void {
    if (!call.behavior.isRetrying || answer.outcome === 'done') return;
    const delayMs = Math.max(50, answer.retryAfterMs);
    const attempts = call.attempts.length;
    this.harness.events.schedule(delayMs, () => {
      if (call.attempts.length === attempts) this.startRetry(call);
    });
  }
}
