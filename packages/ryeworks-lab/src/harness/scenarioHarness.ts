import {
  defaultSchedulerOptions,
  Effect,
  SchedulerOptions,
} from '@ryeworks/scheduler';
import {DocumentName, Endpoint, errorAnswers} from '@ryeworks/types';
import {createRandomSource, getHash, RandomSource} from '@ryeworks/utils';
import {
  CallKind,
  createAllowancesList,
  createPlansList,
  DeploymentPlan,
} from '../deployment/deploymentPlan.js';
import {getMessageBytes} from '@ryeworks/protocol';
import {FakeCallers} from './fakeCallers.js';
import {CallLedger} from './callLedger.js';
import {EventQueue} from './eventQueue.js';
import {EndpointCalls} from './endpointCalls.js';
import {FakeEndpoint} from './fakeEndpoint.js';
import {FakeNetwork, platformLocation} from './fakeNetwork.js';
import {FakePlatform} from './fakePlatform.js';
import {FakeVm} from './fakeVm.js';

/**
 * Time until a VM receives a document from the platform or the result of its
 * write, in ms.
 */
const watchDelayMs = 5;
/** Interval of the retries while the platform cannot be reached, in ms. */
const readRetryMs = 500;
/** Interval of the endpoints' load reports and the delay of each, in ms. */
const loadReportPeriodMs = 500;
const loadReportLagMs = 1000;

/** Options of {@link ScenarioHarness}. */
export interface HarnessOptions {
  readonly plan: DeploymentPlan;
  readonly seed: number;
  readonly scheduler?: Partial<SchedulerOptions>;
  /** Whether to count the messages between VMs and their bytes. */
  readonly countsMessages?: boolean;
}

/**
 * Runs the schedulers of several VMs in virtual time, with fakes of the
 * network, the endpoints, the platform and the callers. The same seed gives the
 * same run.
 */
export class ScenarioHarness {
  readonly events = new EventQueue();
  readonly random: RandomSource;
  readonly network: FakeNetwork;
  readonly platform = new FakePlatform();
  readonly ledger = new CallLedger();
  readonly vms = new Map<string, FakeVm>();
  readonly endpoints = new Map<string, FakeEndpoint>();
  readonly callers: FakeCallers;
  private readonly calls: EndpointCalls;

  constructor(readonly options: HarnessOptions) {
    this.random = createRandomSource(options.seed);
    this.network = new FakeNetwork(this.events, this.random);
    this.callers = new FakeCallers(this);
    this.calls = new EndpointCalls(this);
    this.platform.onChange = name => this.pushChange(name);
    const {plan} = options;
    this.addEndpoints('v1', plan.enginesPerZone, plan.servicesPerZone);
    this.platform.setContent('plans', createPlansList(plan));
    this.platform.setContent('allowances', createAllowancesList(plan));
    this.platform.setContent('moves', {moves: []});
    for (const zone of plan.availabilityZones) {
      for (let index = 0; index < plan.vmsPerZone; index++) {
        this.startVm(`${zone}-${index}`, zone);
      }
    }
  }

  /** Adds endpoints of a version in every zone. */
  addEndpoints(
    version: string,
    engines: readonly number[],
    services: number,
  ): void {
    const {plan} = this.options;
    const added: Endpoint[] = [];
    for (const availabilityZone of plan.availabilityZones) {
      const common = {
        version,
        availabilityZone,
        address: 'http://endpoint',
        state: 'live' as const,
        checksFencing: true,
      };
      for (const [index, generation] of engines.entries()) {
        added.push({
          ...common,
          endpoint: `engine-${version}-${availabilityZone}-${index}`,
          service: plan.modelService.service,
          kind: 'model',
          engine: `generation-${generation}`,
          generation,
          canResume: true,
        });
      }
      for (let index = 0; index < services; index++) {
        added.push({
          ...common,
          endpoint: `service-${version}-${availabilityZone}-${index}`,
          service: plan.plainService.service,
          kind: 'plain',
          engine: 'plain',
          generation: 1,
          canResume: false,
        });
      }
    }
    for (const endpoint of added) {
      const seed = getHash(`${endpoint.endpoint}/${this.options.seed}`);
      const fake = new FakeEndpoint(endpoint, this.events, seed);
      this.endpoints.set(endpoint.endpoint, fake);
    }
    const all = [...this.endpoints.values()].map(fake => fake.endpoint);
    this.platform.setContent('endpoints', {endpoints: all});
  }

  /** Starts an entry VM. Its name may be that of a VM that died. */
  startVm(name: string, availabilityZone: string): FakeVm {
    const {plan, scheduler, seed} = this.options;
    const vm = new FakeVm(
      {
        ...defaultSchedulerOptions,
        ...scheduler,
        vm: name,
        availabilityZone,
        availabilityZones: plan.availabilityZones,
        peerAddress: name,
        seedPeers: [...this.vms.keys()],
        initialIncarnation: 1 + Math.floor(this.events.nowMs),
        services: [plan.modelService, plan.plainService],
        seed: getHash(`${name}/${seed}/${this.events.nowMs}`),
      },
      this.events,
      (sender, effect) => this.runEffect(sender, effect),
      1000 + this.random.nextInt(100_000),
    );
    this.vms.set(name, vm);
    vm.start();
    this.readPlatform(vm, true);
    if (vm.options.routing === 'leastLoadedOfTwo') this.sendLoadReports(vm);
    return vm;
  }

  /** Kills a VM. Its callers lose their connections. */
  killVm(name: string): void {
    const vm = this.vms.get(name)!;
    vm.isDead = true;
    this.callers.dropConnections(name);
  }

  /** Runs the simulation up to a point in virtual time. */
  runUntil(endMs: number): void {
    this.events.runUntil(endMs);
  }

  /** Returns the number of runs of a run key over all endpoints. */
  countRuns(key: string): number {
    let sum = 0;
    for (const endpoint of this.endpoints.values()) {
      sum += endpoint.runs.get(key) ?? 0;
    }
    return sum;
  }

  /** Finds a kind of call of the deployment by name. */
  findCallKind(name: string): CallKind {
    const kind = this.options.plan.calls.find(call => call.name === name);
    if (kind === undefined) throw new Error(`unknown kind of call "${name}"`);
    return kind;
  }

  /**
   * Sends a VM the list of VMs and all documents, with retries while the
   * platform cannot be reached.
   */
  private readPlatform(vm: FakeVm, isStart: boolean): void {
    if (vm.isDead) return;
    const zone = vm.availabilityZone;
    const isCut = this.network.isCut(zone, platformLocation);
    this.platform.calls.reads += 1;
    if (this.platform.isDown || isCut) {
      this.events.schedule(readRetryMs, () => this.readPlatform(vm, isStart));
      return;
    }
    if (isStart && !this.platform.knownZones.has(zone)) {
      this.platform.knownZones.add(zone);
      vm.submit({kind: 'newZoneDetected'});
    }
    const vms = [...this.vms.values()]
      .filter(peer => !peer.isDead)
      .map(peer => ({
        vm: peer.vm,
        availabilityZone: peer.availabilityZone,
        peerAddress: peer.vm,
      }));
    vm.submit({kind: 'vmsListed', vms});
    for (const name of this.platform.listDocuments()) {
      vm.submit({
        kind: 'documentRead',
        name,
        ...this.platform.readDocument(name),
      });
    }
  }

  /** Sends a changed document to the VMs that watch the platform. */
  private pushChange(name: DocumentName): void {
    const {version} = this.platform.readDocument(name);
    this.ledger.documentChangedAtMs.set(
      `${name}@${version}`,
      this.events.nowMs,
    );
    for (const vm of this.vms.values()) this.pushChangeTo(vm, name);
  }

  private pushChangeTo(vm: FakeVm, name: DocumentName): void {
    if (vm.isDead || !vm.isWatching) return;
    const zone = vm.availabilityZone;
    const {isDown} = this.platform;
    if (isDown || this.network.isCut(zone, platformLocation)) {
      this.events.schedule(readRetryMs, () => this.pushChangeTo(vm, name));
      return;
    }
    this.events.schedule(watchDelayMs, () => {
      const document = this.platform.readDocument(name);
      vm.submit({kind: 'documentRead', name, ...document});
    });
  }

  private sendLoadReports(vm: FakeVm): void {
    if (vm.isDead) return;
    for (const {endpoint, model} of this.endpoints.values()) {
      const load = {
        running: model.running.length,
        queued: model.waiting.length,
      };
      this.events.schedule(loadReportLagMs, () =>
        vm.submit({
          kind: 'loadReported',
          endpoint: endpoint.endpoint,
          ...load,
        }),
      );
    }
    this.events.schedule(loadReportPeriodMs, () => this.sendLoadReports(vm));
  }

  private runEffect(vm: FakeVm, effect: Effect): void {
    const handler = this.effectHandlers[effect.kind] as (
      vm: FakeVm,
      effect: Effect,
    ) => void;
    handler(vm, effect);
  }

  private readonly effectHandlers: {
    [K in Effect['kind']]: (
      vm: FakeVm,
      effect: Extract<Effect, {kind: K}>,
    ) => void;
  } = {
    sendPeer: (vm, effect) => {
      const target = this.vms.get(effect.to || effect.address);
      if (target === undefined) return;
      if (this.options.countsMessages === true) {
        const {kind} = effect.message;
        this.ledger.countMessage(kind, getMessageBytes(effect.message));
      }
      const message = structuredClone(effect.message);
      const from = vm.vm;
      this.network.send(vm.availabilityZone, target.availabilityZone, () =>
        target.submit({kind: 'peerMessageReceived', from, message}),
      );
    },
    dispatch: (vm, effect) => this.calls.dispatch(vm, effect),
    resume: (vm, effect) => this.calls.resume(vm, effect),
    cancelDispatch: (_vm, effect) => this.calls.cancel(effect.requestId),
    answerError: (vm, effect) => {
      const {requestId, error, ran, retryAfterMs} = effect;
      this.callers.recordCallerAnswer(vm.vm, requestId, {
        outcome: error,
        ran,
        retryAfterMs,
        atMs: this.events.nowMs,
      });
    },
    attachAnswer: (vm, effect) =>
      this.callers.attachAnswer(
        vm.vm,
        effect.requestId,
        effect.holder,
        effect.holderRequestId,
      ),
    completeAnswer: (vm, effect) =>
      this.callers.recordCallerAnswer(vm.vm, effect.requestId, {
        outcome: 'done',
        ran: errorAnswers.endpointFailed.ran,
        retryAfterMs: 0,
        atMs: this.events.nowMs,
      }),
    writeDocument: (vm, effect) => {
      const {callId, name, expectedVersion, contentJson} = effect;
      const zone = vm.availabilityZone;
      const isCut = this.network.isCut(zone, platformLocation);
      const written = isCut
        ? {result: 'unknown' as const}
        : this.platform.writeDocument(name, expectedVersion, contentJson);
      this.events.schedule(watchDelayMs, () => {
        const {result} = written;
        if ('version' in written) {
          const {version} = written;
          vm.submit({kind: 'documentRead', name, version, contentJson});
        }
        vm.submit({kind: 'platformCallEnded', callId, result});
      });
    },
    readDocument: (vm, {name}) => this.pushChangeTo(vm, name),
    writeStatus: () => {
      this.platform.calls.writes += 1;
    },
    setWatching: (vm, {watching}) => {
      vm.isWatching = watching;
      if (watching) this.readPlatform(vm, false);
    },
    count: (_vm, {name, tags, amount}) =>
      this.ledger.addCount(name, tags, amount),
    log: (vm, {event, fields}) => {
      if (event === 'document_applied') this.recordApplied(vm, fields);
      if (event === 'move_withdrawn') this.recordVerdict(vm, fields);
    },
  };

  private recordApplied(
    vm: FakeVm,
    fields: Readonly<Record<string, unknown>>,
  ): void {
    const key = `${fields['document']}@${fields['version']}`;
    const byVm = this.ledger.appliedAtMs.get(key) ?? new Map<string, number>();
    byVm.set(vm.vm, this.events.nowMs);
    const document = String(fields['document']);
    const version = Number(fields['version']);
    const lastVersion = vm.appliedVersions.get(document) ?? 0;
    if (version < lastVersion) this.ledger.revertedVersions += 1;
    vm.appliedVersions.set(document, version);
    this.ledger.appliedAtMs.set(key, byVm);
  }

  private recordVerdict(
    vm: FakeVm,
    fields: Readonly<Record<string, unknown>>,
  ): void {
    const move = `${fields['move']}`;
    const byVm = this.ledger.verdictAtMs.get(move) ?? new Map<string, number>();
    byVm.set(vm.vm, this.events.nowMs);
    this.ledger.verdictAtMs.set(move, byVm);
  }
}
