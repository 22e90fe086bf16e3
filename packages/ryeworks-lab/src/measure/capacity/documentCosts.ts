import {
  createNodeState,
  defaultSchedulerOptions,
  findCustomerByKeyHash,
  handleInput,
} from '@ryeworks/scheduler';
import {gzipSync} from 'node:zlib';
import {createLineFit, LineFit} from './createLineFit.js';
import {createLargePlans} from './memoryCosts.js';

/** Repetitions of each measurement. */
const repetitions = 20;

/** Costs of one change of the plans against the number of customers. */
export interface DocumentCosts {
  /** Bytes on the wire, compressed. */
  readonly compressedBytes: LineFit;
  /** Processor time to put it in force, in ms. */
  readonly applyMs: LineFit;
}

/** Measures what a change of the plans costs one VM. */
export function measureDocumentCosts(): DocumentCosts {
  const bytes: [number, number][] = [];
  const times: [number, number][] = [];
  for (const customers of [325, 650, 1300]) {
    const contentJson = JSON.stringify(createLargePlans(customers));
    bytes.push([customers, gzipSync(contentJson).length]);
    const state = createNodeState(
      {
        ...defaultSchedulerOptions,
        vm: 'vm-0',
        availabilityZone: 'lowland-1',
        availabilityZones: ['lowland-1'],
        peerAddress: '',
        initialIncarnation: 1,
        seedPeers: [],
        seed: 1,
        services: [],
      },
      0,
    );
    const before = process.cpuUsage();
    for (let round = 1; round <= repetitions; round++) {
      const read = {kind: 'documentRead', name: 'plans'} as const;
      handleInput(state, {...read, version: round, contentJson}, 0);
      findCustomerByKeyHash(state.documents, '');
    }
    const used = process.cpuUsage(before);
    times.push([customers, (used.user + used.system) / 1000 / repetitions]);
  }
  return {
    compressedBytes: createLineFit(bytes),
    applyMs: createLineFit(times),
  };
}
