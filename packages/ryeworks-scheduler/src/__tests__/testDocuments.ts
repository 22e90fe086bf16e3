import {Endpoint} from '@ryeworks/types';
import {handleInput} from '../index.js';
import {SchedulerState} from '../schedulerState.js';

/** Creates an endpoint of the service of `createTestOptions`. */
export function createEndpoint(endpoint: string, canResume: boolean): Endpoint {
  return {
    endpoint,
    service: 'm',
    kind: 'model',
    version: 'v1',
    availabilityZone: 'a',
    address: `http://${endpoint}`,
    engine: 'g1',
    generation: 1,
    state: 'live',
    checksFencing: true,
    canResume,
  };
}

/** Reads the documents of a deployment with one customer and one endpoint. */
export function readDocuments(
  state: SchedulerState,
  endpoint: Endpoint,
  nowMs: number,
): void {
  const limits = {
    requestsPerSecond: 100,
    tokensPerSecond: 10_000,
    concurrency: 50,
  };
  const contents = {
    plans: {
      plans: [{plan: 'p', limits}],
      customers: [{customer: 'c', plan: 'p', keyHashes: []}],
    },
    allowances: {
      allowances: [
        {plan: 'p', service: '*', engines: ['*'], versions: ['*'], tiers: [2]},
      ],
      currentVersions: {m: 'v1'},
    },
    endpoints: {endpoints: [endpoint]},
  } as const;
  for (const [name, content] of Object.entries(contents)) {
    const contentJson = JSON.stringify(content);
    const read = {kind: 'documentRead', version: 1, contentJson} as const;
    handleInput(state, {...read, name: name as keyof typeof contents}, nowMs);
  }
}
