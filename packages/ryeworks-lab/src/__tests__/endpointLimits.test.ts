import t from 'tap';
import {createFleet, FleetSize} from '../fleet/createFleet.js';
import {DispatchFleet} from '../fleet/dispatchFleet.js';

const seed = 11;
/** Limit that endpoints name, in requests per second. */
const limitPerSecond = 2;
/** When endpoints name their limits, in ms. */
const limitedAtMs = 4000;

/** Lists the windows in which endpoints got more calls than they allow. */
function listExceeded(fleet: DispatchFleet): string[] {
  const exceeded: string[] = [];
  for (const endpoint of fleet.endpoints.values()) {
    exceeded.push(...endpoint.exceeded);
  }
  return exceeded;
}

/** Counts the calls that endpoints got in a span of time. */
function countArrivals(
  fleet: DispatchFleet,
  fromMs: number,
  toMs: number,
): number {
  let count = 0;
  for (const {arrivals} of fleet.endpoints.values()) {
    for (const {atMs} of arrivals) {
      if (atMs >= fromMs && atMs < toMs) count += 1;
    }
  }
  return count;
}

/** One case of the table: a fleet, its load and what happens to it. */
interface LimitCase extends FleetSize {
  readonly name: string;
  /** Number of endpoints that name the limit. */
  readonly limited: number;
  readonly requestsPerSecond: number;
  readonly endMs: number;
  /** Schedules further events. */
  readonly prepare?: (fleet: DispatchFleet) => void;
}

const smallFleet = {zones: 4, vmsPerZone: 2, endpoints: 13, endMs: 20_000};

const limitCases: readonly LimitCase[] = [
  {...smallFleet, name: '8 VMs', limited: 1, requestsPerSecond: 90},
  {
    name: '91 VMs',
    zones: 7,
    vmsPerZone: 13,
    endpoints: 28,
    limited: 1,
    requestsPerSecond: 300,
    endMs: 16_000,
  },
  {
    name: '350 VMs',
    zones: 7,
    vmsPerZone: 50,
    endpoints: 70,
    limited: 2,
    requestsPerSecond: 900,
    endMs: 13_000,
  },
  {
    ...smallFleet,
    name: 'VMs that join and die all the time',
    limited: 3,
    requestsPerSecond: 90,
    prepare: fleet => {
      for (let index = 0; index < 16; index++) {
        const zone = `zone-${index % 4}`;
        fleet.events.schedule(3000 + index * 1000, () => {
          fleet.startVm(`${zone}-new-${index}`, zone);
        });
        fleet.events.schedule(3400 + index * 1000, () => {
          const [first] = [...fleet.vms].filter(([, vm]) => !vm.isDead);
          fleet.killVm(first[0]);
        });
      }
    },
  },
  {
    ...smallFleet,
    name: 'zones cut off and connected again',
    limited: 4,
    requestsPerSecond: 90,
    prepare: fleet => {
      for (const [index, atMs] of [6000, 9000, 12_000].entries()) {
        const zone = `zone-${index}`;
        fleet.events.schedule(atMs, () => fleet.setZoneCut(zone, true));
        fleet.events.schedule(atMs + 4000, () => fleet.setZoneCut(zone, false));
      }
    },
  },
  {
    ...smallFleet,
    name: 'most endpoints limited',
    limited: 11,
    requestsPerSecond: 90,
  },
  {
    ...smallFleet,
    name: 'a whole service limited',
    endpoints: 4,
    limited: 4,
    requestsPerSecond: 40,
  },
];

for (const limitCase of limitCases) {
  const {endMs, limited, name, requestsPerSecond} = limitCase;
  // Guards against VMs that ignore the limit of an endpoint, or that each keep
  // to it alone, so that the endpoint gets a multiple of what it takes.
  t.test(`a limit holds over all VMs: ${name}`, async t => {
    const fleet = createFleet(limitCase, seed);
    fleet.startCallers('urgent', requestsPerSecond / 2, endMs);
    fleet.startCallers('relaxed', requestsPerSecond / 2, endMs);
    fleet.events.schedule(limitedAtMs, () => {
      for (let index = 0; index < limited; index++) {
        fleet.getEndpoint(`e${index}`).setLimit(limitPerSecond, limitedAtMs);
      }
    });
    limitCase.prepare?.(fleet);
    fleet.events.runUntil(endMs);
    t.strictSame(listExceeded(fleet), []);
    t.ok(fleet.counts.served > fleet.counts.sent / 10, 'requests are served');
  });
}

// Guards against a limit that is kept at its first value, as when an endpoint
// that recovers slowly raises it step by step, or lowers it further.
t.test('a limit that changes is followed', async t => {
  const fleet = createFleet({zones: 4, vmsPerZone: 2, endpoints: 13}, seed);
  const endpoint = fleet.getEndpoint('e0');
  fleet.startCallers('urgent', 90, 20_000);
  for (const [atMs, perSecond] of [
    [4000, 6],
    [9000, 1],
  ]) {
    fleet.events.schedule(atMs, () => endpoint.setLimit(perSecond, atMs));
  }
  fleet.events.runUntil(20_000);
  const late = endpoint.arrivals.filter(({atMs}) => atMs >= 12_000).length;
  t.ok(late <= 8 * 1.5 + 5, `${late} calls in 8 s at a limit of 1 a second`);
  t.ok(late >= 4, `the endpoint still gets calls: ${late}`);
});

// Guards against limits that are kept by giving the endpoint almost no calls.
t.test('a limited endpoint gets most of what it takes', async t => {
  const fleet = createFleet({zones: 4, vmsPerZone: 2, endpoints: 4}, seed);
  fleet.startCallers('urgent', 40, 20_000);
  for (const endpoint of fleet.endpoints.values()) {
    fleet.events.schedule(limitedAtMs, () =>
      endpoint.setLimit(limitPerSecond, limitedAtMs),
    );
  }
  fleet.events.runUntil(20_000);
  const perSecond = countArrivals(fleet, 10_000, 20_000) / 10;
  const takenPerSecond = limitPerSecond * fleet.endpoints.size;
  t.ok(perSecond <= takenPerSecond * 1.1, `${perSecond} calls a second`);
  t.ok(perSecond >= takenPerSecond * 0.8, `${perSecond} calls a second`);
});

// Guards against a limited service that serves its lower tiers first.
t.test('a limited service serves its highest tier first', async t => {
  const fleet = createFleet({zones: 4, vmsPerZone: 2, endpoints: 4}, seed);
  fleet.startCallers('urgent', 6, 20_000);
  fleet.startCallers('relaxed', 40, 20_000);
  for (const endpoint of fleet.endpoints.values()) {
    fleet.events.schedule(limitedAtMs, () =>
      endpoint.setLimit(limitPerSecond, limitedAtMs),
    );
  }
  fleet.events.runUntil(20_000);
  const refused = fleet.refusals.filter(
    ({atMs, route}) => route === 'urgent' && atMs > 8000,
  ).length;
  t.ok(refused <= 6, `${refused} of 72 requests of the highest tier refused`);
});

// Guards against a rush of all VMs to an endpoint that has just recovered.
t.test('a limit that is lifted is followed by no rush', async t => {
  const fleet = createFleet({zones: 4, vmsPerZone: 2, endpoints: 4}, seed);
  const liftedAtMs = 14_000;
  fleet.startCallers('urgent', 60, 26_000);
  fleet.events.schedule(limitedAtMs, () => {
    for (const endpoint of fleet.endpoints.values()) {
      endpoint.setLimit(limitPerSecond, limitedAtMs);
    }
  });
  fleet.events.schedule(liftedAtMs, () => {
    for (const endpoint of fleet.endpoints.values()) {
      endpoint.setLimit(undefined, liftedAtMs);
    }
  });
  fleet.events.runUntil(26_000);
  const limitedCalls = countArrivals(fleet, liftedAtMs - 2000, liftedAtMs);
  const firstCalls = countArrivals(fleet, liftedAtMs, liftedAtMs + 2000);
  t.ok(limitedCalls <= 24, `${limitedCalls} calls in 2 s under the limits`);
  t.ok(firstCalls <= 4 * 16, `${firstCalls} calls in the 2 s after them`);
  const laterCalls = countArrivals(fleet, 22_000, 26_000);
  t.ok(laterCalls >= 0.9 * 60 * 4, `${laterCalls} calls in 4 s later`);
});

// Guards against refusals that give every caller the same time, or one at which
// the limit is still used up.
t.test('callers that come back when told are served', async t => {
  const fleet = createFleet({zones: 4, vmsPerZone: 2, endpoints: 4}, seed);
  for (const endpoint of fleet.endpoints.values()) {
    endpoint.setLimit(limitPerSecond, 0);
  }
  // A little load, so that all VMs know the limits.
  fleet.startCallers('urgent', 4, 6000);
  fleet.events.runUntil(8000);
  const burst = 40;
  const refusedBefore = fleet.refusals.length;
  for (let count = 0; count < burst; count++) fleet.sendRequest('urgent');
  fleet.events.runUntil(9000);
  const first = fleet.refusals.slice(refusedBefore);
  t.ok(first.length >= 15, `${first.length} of ${burst} are refused`);
  let latestMs = 0;
  for (const {atMs, retryAfterMs} of first) {
    latestMs = Math.max(latestMs, retryAfterMs);
    fleet.events.schedule(atMs + retryAfterMs - 9000, () =>
      fleet.sendRequest('urgent'),
    );
  }
  t.ok(latestMs <= 10_000, `the last comes back after ${latestMs} ms`);
  fleet.events.runUntil(30_000);
  const again = fleet.refusals.length - refusedBefore - first.length;
  t.ok(again <= 0.1 * first.length, `${again} are refused again`);
  t.strictSame(listExceeded(fleet), []);
});
