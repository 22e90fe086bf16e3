import {callKind} from '@ryeworks/dispatch';
import {
  createFleetRoute,
  DispatchFleet,
  FleetOptions,
} from './dispatchFleet.js';

/** Name of the service of all endpoints of a fleet. */
export const service = 'narratives';

/** Size of a fleet. */
export interface FleetSize {
  readonly zones: number;
  readonly vmsPerZone: number;
  readonly endpoints: number;
}

/**
 * Creates a fleet with the routes `urgent` and `relaxed`, `story` (a stream that
 * can be resumed) and `booking` (which may run only once) to one service. Its
 * endpoints `e0`, `e1` and so on are spread over the zones `zone-0`, `zone-1` and
 * so on.
 */
export function createFleet(
  size: FleetSize,
  seed: number,
  limits: Partial<Omit<FleetOptions, 'zones' | 'vmsPerZone' | 'seed'>> = {},
): DispatchFleet {
  const zones = Array.from({length: size.zones}, (_, index) => `zone-${index}`);
  const endpoints = Array.from({length: size.endpoints}, (_, index) => ({
    id: `e${index}`,
    service,
    availabilityZone: zones[index % zones.length],
  }));
  const routes = [
    createFleetRoute('urgent', service),
    createFleetRoute('relaxed', service, {tier: 2}),
    createFleetRoute('story', service, {
      kind: callKind.stream,
      isResumable: true,
    }),
    createFleetRoute('booking', service, {kind: callKind.nonIdempotent}),
  ];
  const {vmsPerZone} = size;
  return new DispatchFleet({
    zones,
    vmsPerZone,
    endpoints,
    routes,
    seed,
    ...limits,
  });
}
