import {getHash, pickRandom} from '@ryeworks/utils';
import {CallKind} from '../deployment/deploymentPlan.js';
import {pickSize} from '../load/runLoad.js';
import {AttemptAnswer, CallerBehavior, CallRecord} from './callLedger.js';
import type {ScenarioHarness} from './scenarioHarness.js';

/** Most attempts of a caller that tries again. */
const maxAttempts = 4;
/** Time after which a caller that tries again gives up an attempt, in ms. */
const attemptTimeoutMs = 2500;
/** Time for the balancer to leave out a VM that stops, in ms. */
const balancerLagMs = 1000;

/** The callers and the balancer of a scenario. */
export class FakeCallers {
  private nextCall = 1;
  /** Answers "not run" to a key that had run. */
  wrongNotRun = 0;
  /** Racing updates of which one overwrote the other. */
  lostUpdates = 0;
  /** Callers that wait for the answer of another request. */
  private readonly attached = new Map<string, string[]>();
  private readonly answerByRequestId = new Map<string, AttemptAnswer>();
  /** VMs that the balancer leaves out, and since when. */
  readonly excludedVms = new Map<string, number>();

  constructor(private readonly harness: ScenarioHarness) {}

  /** Makes calls of a kind at random times at a mean rate. */
  startLoad(
    kind: CallKind,
    callsPerSecond: number,
    untilMs: number,
    behavior: CallerBehavior,
  ): void {
    const {events, random} = this.harness;
    const gap = -Math.log(1 - random.next()) / callsPerSecond;
    events.schedule(gap * 1000, () => {
      if (events.nowMs > untilMs) return;
      this.makeCall(kind, behavior);
      this.startLoad(kind, callsPerSecond, untilMs, behavior);
    });
  }

  /** Makes one call. */
  makeCall(kind: CallKind, behavior: CallerBehavior): CallRecord {
    const {events, ledger, options, random} = this.harness;
    const callId = `call-${this.nextCall++}`;
    const call: CallRecord = {
      callId,
      kind,
      key: kind.isKeyed ? `key-${callId}` : '',
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

  /** Ends the attempts that wait at a VM that died. */
  dropConnections(vm: string): void {
    const {events, ledger} = this.harness;
    this.excludedVms.set(vm, events.nowMs);
    for (const call of ledger.calls) {
      for (const {requestId, vm: at} of call.attempts) {
        if (at !== vm || this.answerByRequestId.has(requestId)) continue;
        this.recordCallerAnswer(vm, requestId, {
          outcome: 'lost',
          ran: 'unknown',
          retryAfterMs: 0,
          atMs: events.nowMs,
        });
      }
    }
  }

  /** Notes the first token of a request. */
  recordFirstToken(requestId: string): void {
    const call = this.harness.ledger.callByRequestId.get(requestId);
    if (call === undefined || call.firstTokenMs > 0) return;
    call.firstTokenMs = this.harness.events.nowMs;
  }

  /** Gives an answer to its caller and to those attached to it. */
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
    for (const waiting of this.attached.get(requestId) ?? []) {
      this.recordCallerAnswer(vm, waiting, answer);
    }
  }

  /** Connects a retry to the request that holds its key. */
  attachAnswer(
    vm: string,
    requestId: string,
    holder: string,
    holderRequestId: string,
  ): void {
    const answer = this.answerByRequestId.get(holderRequestId);
    if (answer !== undefined && answer.outcome !== 'lost') {
      const {events} = this.harness;
      this.recordCallerAnswer(vm, requestId, {...answer, atMs: events.nowMs});
      return;
    }
    const isGone = this.harness.vms.get(holder)?.isDead !== false;
    if (isGone) {
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

  /** Checks an answer "not run" against the endpoints' ledgers. */
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

  /** Lists the VMs, of a zone or all, to which the balancer sends calls. */
  private listEligibleVms(zone = ''): string[] {
    const {events, vms} = this.harness;
    const open: string[] = [];
    for (const {vm, availabilityZone} of vms.values()) {
      if (zone !== '' && availabilityZone !== zone) continue;
      const sinceMs = this.excludedVms.get(vm);
      const isOut =
        sinceMs !== undefined && events.nowMs - sinceMs >= balancerLagMs;
      if (!isOut) open.push(vm);
    }
    return open;
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
