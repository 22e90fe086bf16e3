import t from 'tap';
import {createFleet, FleetSize} from '../fleet/createFleet.js';
import {DispatchFleet} from '../fleet/dispatchFleet.js';

const seed = 3;
/** Time from the request of an evacuation until it must be in force, in ms. */
const evacuationMs = 5000;
const requestedAtMs = 4000;
const endMs = 16_000;

/** Counts the calls that endpoints of a zone got in a span of time. */
function countArrivals(
  fleet: DispatchFleet,
  zone: string,
  fromMs: number,
  toMs: number,
): number {
  let count = 0;
  for (const {arrivals, endpoint} of fleet.endpoints.values()) {
    if (endpoint.availabilityZone !== zone) continue;
    for (const {atMs} of arrivals) {
      if (atMs >= fromMs && atMs < toMs) count += 1;
    }
  }
  return count;
}

/** One case of the table: a fleet and what happens to it. */
interface EvacuationCase extends FleetSize {
  readonly name: string;
  /** Zones that are evacuated. */
  readonly zonesToEvacuate: readonly string[];
  /** When the last request of an evacuation follows the first, in ms. */
  readonly lastRequestMs?: number;
  /** Schedules further events. */
  readonly prepare?: (fleet: DispatchFleet) => void;
}

const one = {zonesToEvacuate: ['zone-0']};
const smallFleet = {zones: 4, vmsPerZone: 2, endpoints: 16};

const evacuationCases: readonly EvacuationCase[] = [
  {...smallFleet, ...one, name: '8 VMs'},
  {...one, name: '70 VMs', zones: 5, vmsPerZone: 14, endpoints: 20},
  {...one, name: '195 VMs', zones: 5, vmsPerZone: 39, endpoints: 20},
  {
    ...smallFleet,
    name: 'two zones',
    zonesToEvacuate: ['zone-0', 'zone-3'],
  },
  {
    ...smallFleet,
    ...one,
    name: 'a zone does not reach the store',
    prepare: fleet => fleet.setStoreCut('zone-1'),
  },
  {
    ...one,
    name: 'a zone of a large fleet does not reach the store',
    zones: 5,
    vmsPerZone: 14,
    endpoints: 20,
    prepare: fleet => fleet.setStoreCut('zone-1'),
  },
  {
    ...smallFleet,
    ...one,
    name: 'VMs start and a zone is cut off meanwhile',
    prepare: fleet => {
      for (const delayMs of [500, 3000, 6000]) {
        fleet.events.schedule(requestedAtMs + delayMs, () =>
          fleet.startVm(`zone-2-${delayMs}`, 'zone-2'),
        );
      }
      fleet.events.schedule(requestedAtMs + 2000, () =>
        fleet.setZoneCut('zone-1', true),
      );
      fleet.events.schedule(requestedAtMs + 6000, () => fleet.clearCuts());
    },
  },
  {
    ...smallFleet,
    ...one,
    name: 'removed and requested again within a second',
    lastRequestMs: 700,
    prepare: fleet => {
      fleet.events.schedule(requestedAtMs + 100, () =>
        fleet.setEvacuations([]),
      );
      fleet.events.schedule(requestedAtMs + 700, () =>
        fleet.setEvacuations(['zone-0']),
      );
    },
  },
];

for (const evacuationCase of evacuationCases) {
  // Guards against a VM or a call path that an evacuation does not reach.
  t.test(`EVAC: ${evacuationCase.name}`, async t => {
    const {prepare, zonesToEvacuate} = evacuationCase;
    const fleet = createFleet(evacuationCase, seed, {evacuationMs});
    fleet.startCallers('urgent', 100, endMs);
    fleet.startCallers('story', 40, endMs);
    fleet.startCallers('booking', 40, endMs);
    prepare?.(fleet);
    fleet.events.runUntil(requestedAtMs);
    fleet.setEvacuations(zonesToEvacuate);
    fleet.events.runUntil(endMs);
    const {lastRequestMs = 0} = evacuationCase;
    const fromMs = requestedAtMs + lastRequestMs + evacuationMs;
    for (const zone of zonesToEvacuate) {
      t.ok(countArrivals(fleet, zone, 0, requestedAtMs) > 0);
      t.equal(countArrivals(fleet, zone, fromMs, endMs), 0, zone);
    }
    const {sent, served} = fleet.counts;
    t.ok(served > 0.9 * sent, `${served} of ${sent} requests are served`);
    fleet.setEvacuations([]);
    fleet.startCallers('urgent', 100, endMs + 5000);
    fleet.events.runUntil(endMs + 5000);
    t.ok(countArrivals(fleet, 'zone-0', endMs, endMs + 5000) > 0);
  });
}
