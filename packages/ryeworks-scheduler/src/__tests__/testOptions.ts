import {
  defaultSchedulerOptions,
  SchedulerOptions,
} from '../schedulerOptions.js';

/**
 * Creates the options of a VM in a deployment of one zone with one model service.
 */
export function createTestOptions(vm: string): SchedulerOptions {
  return {
    ...defaultSchedulerOptions,
    vm,
    availabilityZone: 'a',
    availabilityZones: ['a'],
    peerAddress: vm,
    initialIncarnation: 1,
    seedPeers: [],
    seed: 1,
    services: [
      {
        service: 'm',
        kind: 'model',
        routes: [{method: 'POST', path: '/x', class: 'dispatchOnce'}],
        defaultTier: 2,
        defaultDeadlineMs: 10_000,
        firstTokenTargetMs: 490,
        interTokenTargetMs: 36,
        initialConcurrency: 8,
      },
    ],
  };
}
