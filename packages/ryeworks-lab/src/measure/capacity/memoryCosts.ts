import {
  createSchedulerState,
  defaultSchedulerOptions,
  handleInput,
  SchedulerState,
} from '@ryeworks/scheduler';
import {
  aerolithPlan,
  createAllowancesList,
  createPlansList,
} from '../../deployment/deploymentPlan.js';
import {createLineFit, LineFit} from './createLineFit.js';

/** Kinds of scheduler state whose memory is measured. */
export const memoryItems = [
  'member',
  'endpoint',
  'customer',
  'claim',
  'waitingRequest',
] as const;

/** A kind of scheduler state whose memory is measured. */
export type MemoryItem = (typeof memoryItems)[number];

/** Returns the live heap after a forced garbage collection, in bytes. */
function readHeapBytes(): number {
  const runGc = (globalThis as {gc?: () => void}).gc;
  if (runGc === undefined) throw new Error('run node with --expose-gc');
  runGc();
  runGc();
  return process.memoryUsage().heapUsed;
}

/** Creates the state of a VM that has its plans and allowances lists. */
function createVmState(): SchedulerState {
  const state = createSchedulerState(
    {
      ...defaultSchedulerOptions,
      vm: 'vm-0',
      availabilityZone: 'lowland-1',
      availabilityZones: aerolithPlan.availabilityZones,
      peerAddress: '127.0.0.1:1',
      initialIncarnation: 1,
      seedPeers: [],
      seed: 1,
      services: [aerolithPlan.modelService, aerolithPlan.plainService],
    },
    0,
  );
  applyDocument(state, 'plans', 1, createPlansList(aerolithPlan));
  applyDocument(state, 'allowances', 2, createAllowancesList(aerolithPlan));
  return state;
}

/** Applies a document to the state of a VM. */
function applyDocument(
  state: SchedulerState,
  name: 'plans' | 'allowances' | 'endpoints',
  version: number,
  content: object,
): void {
  const contentJson = JSON.stringify(content);
  handleInput(state, {kind: 'documentRead', name, version, contentJson}, 0);
}

/** Creates an endpoints document with a number of engines. */
function createEndpoints(count: number): object {
  const endpoints = Array.from({length: count}, (_, index) => ({
    endpoint: `engine-${index}`,
    service: aerolithPlan.modelService.service,
    kind: 'model',
    version: 'v1',
    availabilityZone: aerolithPlan.availabilityZones[index % 4],
    address: `http://10.0.${index >> 8}.${index & 255}:8000`,
    engine: 'generation-1',
    generation: 1,
    state: 'live',
    checksFencing: true,
    canResume: true,
  }));
  return {endpoints};
}

/** Creates a plans list with a number of customers. */
export function createLargePlans(count: number): object {
  const {plans} = createPlansList(aerolithPlan);
  const customers = Array.from({length: count}, (_, index) => ({
    customer: `customer-${index}`,
    plan: 'small',
    keyHashes: [index.toString(16).padStart(64, '0')],
  }));
  return {plans, customers};
}

/** Functions that add a number of items of a kind to the state of a VM. */
const addHandlers: Record<
  MemoryItem,
  (state: SchedulerState, count: number) => void
> = {
  member: (state, count) => {
    for (let index = 1; index <= count; index++) {
      const vm = `vm-lowland-1-${index}`;
      const sender = {
        vm,
        availabilityZone: 'lowland-1',
        address: `10.1.${index >> 8}.${index & 255}:7000`,
        incarnation: 1,
        status: 'alive' as const,
      };
      const documents = {...state.documents.versions};
      const gossip = {incarnation: 1, updates: [], verdicts: [], documents};
      const ack = {kind: 'ack' as const, sequence: index, sender, ...gossip};
      handleInput(
        state,
        {kind: 'peerMessageReceived', from: vm, message: ack},
        0,
      );
    }
  },
  endpoint: (state, count) =>
    applyDocument(state, 'endpoints', 3, createEndpoints(count)),
  customer: (state, count) =>
    applyDocument(state, 'plans', 3, createLargePlans(count)),
  claim: (state, count) => {
    for (let index = 0; index < count; index++) {
      const message = {
        kind: 'claimAsk' as const,
        claimKey: `claim-key-22-char${index}`.padEnd(22, 'x'),
        requestId: `request${index}`.padEnd(16, 'x'),
        fingerprint: index,
        firstAttempt: true,
        keyAgeMs: -1,
      };
      const from = `vm-${index % 50}`;
      handleInput(state, {kind: 'peerMessageReceived', from, message}, 0);
    }
  },
  waitingRequest: (state, count) => {
    applyDocument(state, 'endpoints', 3, createEndpoints(1));
    for (let index = 0; index < count; index++) {
      handleInput(
        state,
        {
          kind: 'requestReceived',
          requestId: `request${index}`.padEnd(16, 'x'),
          customer: aerolithPlan.customers[0].customer,
          service: aerolithPlan.modelService.service,
          route: 'POST /v1/chat/completions',
          tier: 1,
          promptTokens: 1,
          maxTokens: 1,
          prefixHash: index,
          fingerprint: index,
          attempt: 1,
          deadlineInMs: 60_000,
        },
        index,
      );
    }
  },
};

/** The numbers of items with which each kind is measured. */
const itemCounts: Record<MemoryItem, readonly number[]> = {
  member: [100, 400, 1600],
  endpoint: [150, 600, 2400],
  customer: [325, 1300, 5200],
  claim: [1000, 4000, 16_000],
  waitingRequest: [200, 800, 1600],
};

/**
 * Measures the memory of a kind of state, in bytes, against the number of items.
 */
export function measureMemory(item: MemoryItem): LineFit {
  const points: [number, number][] = [];
  for (const count of itemCounts[item]) {
    const state = createVmState();
    const before = readHeapBytes();
    addHandlers[item](state, count);
    const after = readHeapBytes();
    points.push([count, after - before]);
    // Prevents the state from being collected before the second reading.
    if (state.draining) throw new Error('a new VM cannot be draining');
  }
  return createLineFit(points);
}
