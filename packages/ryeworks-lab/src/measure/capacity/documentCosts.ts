import {
  createSchedulerState,
  defaultSchedulerOptions,
  findCustomerByKeyHash,
  handleInput,
} from '@ryeworks/scheduler';
import {gzipSync} from 'node:zlib';
import {createLineFit, LineFit} from './createLineFit.js';
import {createLargePlans} from './memoryCosts.js';

/** Number of changes over which the processor time is averaged. */
const repetitions = 20;

/** Costs of one change of the plans list, against the number of customers. */
export interface DocumentCosts {
  /** Size of the compressed document, in bytes. */
  readonly compressedBytes: LineFit;
  /** Processor time to apply the document, in ms. */
  readonly applyMs: LineFit;
}

/** Measures the costs of a change of the plans list for one VM. */
export function measureDocumentCosts(): DocumentCosts {
  const bytePoints: [number, number][] = [];
  const applyPoints: [number, number][] = [];
  for (const customers of [325, 650, 1300]) {
    const contentJson = JSON.stringify(createLargePlans(customers));
    bytePoints.push([customers, gzipSync(contentJson).length]);
    const state = createSchedulerState(
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
    for (let repetition = 1; repetition <= repetitions; repetition++) {
      const input = {kind: 'documentRead', name: 'plans'} as const;
      handleInput(state, {...input, version: repetition, contentJson}, 0);
      findCustomerByKeyHash(state.documents, '');
    }
    const used = process.cpuUsage(before);
    applyPoints.push([
      customers,
      (used.user + used.system) / 1000 / repetitions,
    ]);
  }
  return {
    compressedBytes: createLineFit(bytePoints),
    applyMs: createLineFit(applyPoints),
  };
}
