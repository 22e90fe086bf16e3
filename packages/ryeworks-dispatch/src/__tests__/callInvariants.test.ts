import t, {Test} from 'tap';
import {isQuarantined} from '../crashes/isQuarantined.js';
import {CallFailure, DispatchState, Endpoint, Input} from '../index.js';
import {
  createDesiredState,
  createEndpoint,
  createReadyState,
  createRequest,
  listEffects,
  names,
  routes,
  runInput,
} from './fixtures.js';

/** Number of random runs, each from its own seed. */
const runs = 300;
/** Number of inputs in each run. */
const stepsPerRun = 400;
/** Maximum time between two inputs, in ms. */
const maxStepMs = 150;
const maxAttempts = 3;
/** Time after which the gateway gives up a connection, in ms. */
const connectTimeoutMs = 150;
const failures: readonly CallFailure[] = [
  'notSent',
  'refused',
  'wrongEndpoint',
  'failed',
  'cut',
];

/** Shared parts of the prompts, of which each request has some. */
const promptParts = ['c0', 'a1', 'a2', 'bad'];

/** A call as the gateway knows it. */
interface OpenCall {
  readonly requestId: string;
  readonly callNumber: number;
  readonly startedAtMs: number;
  isSent: boolean;
  hasStarted: boolean;
}

/** Creates a generator of reproducible random integers below a bound. */
function createRandom(seed: number): (bound: number) => number {
  let value = seed * 2_654_435_761;
  return bound => {
    value = (Math.imul(value, 1_664_525) + 1_013_904_223) >>> 0;
    return Math.floor((value / 2 ** 32) * bound);
  };
}

/** The gateway's side of the core: the open calls, and what their events may be. */
class RandomGateway {
  readonly state: DispatchState;
  readonly openCalls = new Map<string, OpenCall>();
  readonly begun = new Set<string>();
  /** Requests for which an answer has been sent or the caller has gone. */
  readonly ended = new Set<string>();
  readonly requestIds: string[] = [];
  readonly problems: string[] = [];
  /** Endpoints whose probes have not ended. */
  private readonly probed: Endpoint[] = [];
  private quarantinesSeen = 0;
  nowMs = 0;

  constructor(private readonly random: (bound: number) => number) {
    const endpoints = [1, 2, 3].map(n => createEndpoint(`m${n}`, names.model));
    const route = {...routes.urgent, maxAttempts};
    const desiredState = createDesiredState(1, {routes: [route]});
    this.state = createReadyState(endpoints, desiredState);
  }

  /** Passes an input to the core and applies its effects. */
  submit(input: Input): void {
    const effects = runInput(this.state, input, this.nowMs);
    for (const effect of effects) {
      if (effect.kind === 'startCall') {
        const {callNumber, requestId} = effect;
        if (this.ended.has(requestId)) this.problems.push('started after end');
        this.openCalls.set(`${requestId}/${callNumber}`, {
          requestId,
          callNumber,
          startedAtMs: this.nowMs,
          isSent: false,
          hasStarted: false,
        });
      }
      if (effect.kind === 'cancelCall') {
        const {callNumber, requestId} = effect;
        this.openCalls.delete(`${requestId}/${callNumber}`);
      }
    }
    for (const {callNumber, requestId} of listEffects(effects, 'startCall')) {
      // The same input may have withdrawn it.
      if (this.openCalls.has(`${requestId}/${callNumber}`)) {
        this.checkQuarantine(requestId);
      }
    }
    for (const {endpoint} of listEffects(effects, 'probeEndpoint')) {
      this.probed.push(endpoint);
    }
    for (const kind of ['answerError', 'abortResponse'] as const) {
      for (const {requestId} of listEffects(effects, kind)) {
        if (this.ended.has(requestId)) this.problems.push('ended twice');
        this.ended.add(requestId);
      }
    }
    for (const {requestId} of listEffects(effects, 'forwardFailure')) {
      this.ended.add(requestId);
    }
  }

  /** Whether a prompt was under quarantine at any time. */
  get hasSeenQuarantine(): boolean {
    return this.quarantinesSeen > 0;
  }

  /** Checks that the prompt of a call that starts is not under quarantine. */
  private checkQuarantine(requestId: string): void {
    const {crashes, requests} = this.state;
    const request = requests.get(requestId);
    if (request === undefined) return;
    if (isQuarantined(crashes, request, this.nowMs)) {
      this.problems.push('started in quarantine');
    }
  }

  /** Returns whether the prompt of a request is never answered completely. */
  private isCrashing(requestId: string): boolean {
    const {sharedParts = []} = this.state.requests.get(requestId) ?? {};
    return sharedParts.includes('bad');
  }

  /** Ends a probe. An endpoint that has crashed starts again. */
  private endProbe(): void {
    const endpoint = this.probed.shift();
    if (endpoint === undefined) return;
    const isListening = this.random(4) === 0;
    this.submit({kind: 'endpointProbed', endpoint, isListening});
    this.quarantinesSeen += this.state.crashes.quarantines.length;
    if (isListening) return;
    const startedAtMs = this.nowMs + 1;
    const restarted = {...endpoint, startedAtMs};
    this.submit({kind: 'endpointChanged', endpoint: restarted});
  }

  /** Makes one random step. */
  step(): void {
    const {random} = this;
    this.nowMs += random(maxStepMs);
    this.expireConnections();
    if (random(3) === 0) this.endProbe();
    const calls = [...this.openCalls.values()];
    const choice = random(10);
    if (choice < 2 || calls.length === 0) {
      this.submit({kind: 'timerDue'});
      if (random(3) > 0 || this.requestIds.length > 40) return;
      const sharedParts = promptParts.filter(() => random(2) === 0);
      const request = createRequest('urgent', this.nowMs, {sharedParts});
      this.requestIds.push(request.requestId);
      this.submit(request);
      return;
    }
    this.submitCallEvent(calls[random(calls.length)]);
    if (random(100) === 0) this.removeEndpoint();
  }

  private expireConnections(): void {
    for (const call of [...this.openCalls.values()]) {
      const isOld = this.nowMs - call.startedAtMs > connectTimeoutMs;
      if (isOld && !call.isSent) this.fail(call, 'notSent');
    }
  }

  private fail(call: OpenCall, failure: CallFailure): void {
    const {callNumber, requestId} = call;
    if (!this.openCalls.delete(`${requestId}/${callNumber}`)) return;
    this.submit({
      kind: 'callFailed',
      requestId,
      callNumber,
      failure,
      hasResponseStarted: this.begun.has(requestId),
      isConnectionLost: failure === 'cut' && this.random(4) > 0,
      detail: 'test',
    });
  }

  /** Removes an endpoint, or adds it again. */
  private removeEndpoint(): void {
    const id = `m${1 + this.random(3)}`;
    if (this.state.endpoints.byId.has(id)) {
      this.submit({kind: 'endpointRemoved', id});
    } else {
      const endpoint = createEndpoint(id, names.model);
      this.submit({kind: 'endpointChanged', endpoint});
    }
  }

  private submitCallEvent(call: OpenCall): void {
    const {random} = this;
    const {callNumber, requestId} = call;
    const ids = {requestId, callNumber};
    const choice = random(12);
    if (choice === 0) {
      this.ended.add(requestId);
      this.submit({kind: 'callerGone', requestId});
      return;
    }
    if (!call.isSent && choice > 1) {
      call.isSent = true;
      this.submit({kind: 'callSent', ...ids});
      return;
    }
    const canRefuse = !call.hasStarted;
    if (choice < 4) {
      const allowed = call.isSent
        ? canRefuse
          ? failures.slice(1)
          : (['cut'] as const)
        : (['notSent'] as const);
      this.fail(call, allowed[random(allowed.length)]);
      return;
    }
    if (choice === 4 && this.isCrashing(requestId)) {
      this.fail(call, 'cut');
      return;
    }
    if (choice === 4) {
      this.submit({kind: 'callProgressed', ...ids, events: 9});
      if (!this.openCalls.has(`${requestId}/${callNumber}`)) return;
      this.openCalls.delete(`${requestId}/${callNumber}`);
      this.ended.add(requestId);
      this.submit({kind: 'callDone', ...ids, status: 200});
      return;
    }
    if (choice < 8) {
      call.hasStarted = true;
      this.begun.add(requestId);
      this.submit({kind: 'callProgressed', ...ids, events: 1});
      return;
    }
    if (choice < 10 && call.hasStarted) {
      this.submit({kind: 'callPaused', ...ids, isPaused: random(2) === 0});
    }
  }
}

/** Checks the state of the core against the open calls of the gateway. */
function findProblems(gateway: RandomGateway): string[] {
  const {openCalls, state} = gateway;
  const problems = [...gateway.problems];
  let knownCalls = 0;
  const waiting = new Set([...state.queues.values()].flat());
  for (const request of state.requests.values()) {
    const {calls, possibleRuns, requestId} = request;
    knownCalls += calls.length;
    for (const {callNumber} of calls) {
      if (!openCalls.has(`${requestId}/${callNumber}`))
        problems.push('a call that is not open');
    }
    if (calls.length > 0 && waiting.has(request))
      problems.push('a request in call waits');
    const timers = state.timers as unknown as {
      timersByKey: Map<string, unknown>;
    };
    const hasRetry = timers.timersByKey.has(`retry/${requestId}`);
    if (calls.length === 0 && !waiting.has(request) && !hasRetry)
      problems.push('a request that nothing goes on with');
    if (!timers.timersByKey.has(`requestTimeout/${requestId}`))
      problems.push('a request without time limit');
    if (possibleRuns < 0) problems.push('possibleRuns below 0');
    if (possibleRuns > maxAttempts) problems.push('too many possible runs');
  }
  if (knownCalls !== openCalls.size)
    problems.push(`${openCalls.size} open calls, ${knownCalls} known`);
  let inFlight = 0;
  for (const entry of state.endpoints.byId.values()) inFlight += entry.inFlight;
  if (inFlight > knownCalls) problems.push(`${inFlight} slots, ${knownCalls}`);
  return problems;
}

/** Returns the problems of a run, with the step of the first. */
function playRun(gateway: RandomGateway): string[] {
  for (let step = 0; step < stepsPerRun; step++) {
    gateway.step();
    const problems = findProblems(gateway);
    if (problems.length > 0) return [`step ${step}`, ...problems];
  }
  gateway.nowMs += 20_000;
  gateway.submit({kind: 'timerDue'});
  const {openCalls, state} = gateway;
  if (state.requests.size > 0) return ['requests left'];
  if (openCalls.size > 0) return ['calls left'];
  const unanswered = gateway.requestIds.filter(id => !gateway.ended.has(id));
  if (unanswered.length > 0) return ['unanswered requests'];
  return [...state.endpoints.byId.values()]
    .filter(({inFlight}) => inFlight !== 0)
    .map(({inFlight}) => `${inFlight} slots left`);
}

// Guards against calls, slots, timers and requests that are left behind, whatever
// happens to the calls of a request in whatever order.
t.test('random events leave nothing behind', (t: Test) => {
  let quarantined = 0;
  for (let seed = 1; seed <= runs; seed++) {
    const gateway = new RandomGateway(createRandom(seed));
    const problems = playRun(gateway);
    if (problems.length > 0) t.same(problems, [], `seed ${seed}`);
    if (gateway.hasSeenQuarantine) quarantined += 1;
  }
  t.pass(`${runs} runs`);
  t.ok(quarantined > runs / 10, `${quarantined} runs with quarantines`);
  t.end();
});
