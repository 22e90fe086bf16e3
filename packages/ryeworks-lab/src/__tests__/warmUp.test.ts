import t from 'tap';
import {createFleet, FleetSize, service} from '../fleet/createFleet.js';
import {DispatchFleet} from '../fleet/dispatchFleet.js';

const seed = 5;
/** Requests per second that a cold endpoint tolerates. */
const coldPerSecond = 4;
/** Most requests of a cold endpoint in a second: 1.5 times that, and 5 more. */
const maxInSecond = coldPerSecond * 1.5 + 5;
/** When endpoints become cold, and for how long, in ms. */
const coldAtMs = 4000;
const coldForMs = 6000;
/** Longest time until a VM reads that, in ms; see `DispatchFleet`. */
const readDelayMs = 500;

/** Returns the most calls that an endpoint got in a second of a span of time. */
function findMostInSecond(
  fleet: DispatchFleet,
  id: string,
  fromMs: number,
  toMs: number,
): number {
  const times: number[] = [];
  for (const {atMs} of fleet.getEndpoint(id).arrivals) {
    if (atMs >= fromMs && atMs < toMs) times.push(atMs);
  }
  let most = 0;
  let first = 0;
  for (const [index, atMs] of times.entries()) {
    while (times[first] <= atMs - 1000) first += 1;
    most = Math.max(most, index - first + 1);
  }
  return most;
}

/** One case of the table: a fleet, its load and what happens to it. */
interface WarmUpCase extends FleetSize {
  readonly name: string;
  readonly requestsPerSecond: number;
  /** Schedules further events. */
  readonly prepare?: (fleet: DispatchFleet) => void;
}

const smallFleet = {zones: 4, vmsPerZone: 2, endpoints: 16};
const load = {requestsPerSecond: 400};

const warmUpCases: readonly WarmUpCase[] = [
  {...smallFleet, ...load, name: '8 VMs'},
  {name: '70 VMs', zones: 5, vmsPerZone: 14, endpoints: 20, ...load},
  {name: '195 VMs', zones: 5, vmsPerZone: 39, endpoints: 20, ...load},
  {
    ...smallFleet,
    ...load,
    name: 'the owners crash and others start',
    prepare: fleet => {
      fleet.events.schedule(coldAtMs + 1500, () => fleet.killVm('zone-0-0'));
      fleet.events.schedule(coldAtMs + 2000, () =>
        fleet.startVm('zone-0-2', 'zone-0'),
      );
      fleet.events.schedule(coldAtMs + 3500, () => fleet.killVm('zone-0-1'));
      fleet.events.schedule(coldAtMs + 4000, () =>
        fleet.startVm('zone-0-3', 'zone-0'),
      );
    },
  },
  {
    ...smallFleet,
    ...load,
    name: 'zones cut off and connected again',
    prepare: fleet => {
      for (const [index, zone] of ['zone-0', 'zone-2'].entries()) {
        const atMs = coldAtMs + 1000 + index * 500;
        fleet.events.schedule(atMs, () => fleet.setZoneCut(zone, true));
        fleet.events.schedule(atMs + 2500, () => fleet.setZoneCut(zone, false));
      }
    },
  },
];

for (const warmUpCase of warmUpCases) {
  // Guards against VMs that send a zone of cold endpoints its share of the load at
  // once, or that each keep to the rate alone.
  t.test(`FAILBACK: a zone is cold at once: ${warmUpCase.name}`, async t => {
    const {name, prepare, requestsPerSecond, zones} = warmUpCase;
    const warmUps = [{service, coldPerSecond, coldStartMs: coldForMs}];
    const fleet = createFleet(warmUpCase, seed, {warmUps});
    fleet.startCallers('urgent', requestsPerSecond / 2, 15_000);
    fleet.startCallers('relaxed', requestsPerSecond / 2, 15_000);
    const cold = [...fleet.endpoints.keys()].filter(
      (_, index) => index % zones === 0,
    );
    fleet.events.schedule(coldAtMs, () => {
      for (const id of cold) fleet.startWarmUp(id, coldForMs);
    });
    prepare?.(fleet);
    fleet.events.runUntil(15_000);
    const fromMs = coldAtMs + readDelayMs;
    const endMs = coldAtMs + coldForMs;
    for (const id of cold) {
      const most = findMostInSecond(fleet, id, fromMs, endMs);
      t.ok(most <= maxInSecond, `${id}: ${most} calls in a second`);
      if (prepare !== undefined) continue;
      const arrivals = fleet.getEndpoint(id).arrivals;
      const used = arrivals.filter(
        ({atMs}) => atMs >= fromMs + 1500 && atMs < endMs,
      ).length;
      // Requests that other endpoints take at once ask for no permit.
      t.ok(used >= 1, `${name}: ${id} is used, ${used} calls`);
    }
    t.ok(fleet.counts.served > fleet.counts.sent * 0.6, 'requests are served');
  });
}

// Guards against a bound that is kept by giving cold endpoints almost no calls.
t.test('FAILBACK: a cold service is used as far as it may be', async t => {
  const warmUps = [{service, coldPerSecond, coldStartMs: coldForMs}];
  const size = {zones: 4, vmsPerZone: 2, endpoints: 4};
  const fleet = createFleet(size, seed, {warmUps});
  fleet.startCallers('urgent', 60, 10_000);
  const ids = [...fleet.endpoints.keys()];
  fleet.events.schedule(coldAtMs, () => {
    for (const id of ids) fleet.startWarmUp(id, coldForMs);
  });
  fleet.events.runUntil(coldAtMs + coldForMs);
  let used = 0;
  for (const id of ids) {
    const most = findMostInSecond(fleet, id, coldAtMs + readDelayMs, 10_000);
    t.ok(most <= maxInSecond, `${id}: ${most} calls in a second`);
    const {arrivals} = fleet.getEndpoint(id);
    used += arrivals.filter(({atMs}) => atMs >= coldAtMs + 2000).length;
  }
  const possible = ids.length * coldPerSecond * 4;
  t.ok(used >= 0.7 * possible, `${used} of ${possible} calls in 4 s`);
  const early = fleet.refusals.filter(({retryAfterMs}) => retryAfterMs <= 0);
  t.equal(early.length, 0, 'each refusal tells when to come back');
});

// Guards against a restart during warm-up that starts a second source of permits.
t.test('FAILBACK: an endpoint restarts during warm-up', async t => {
  const warmUps = [{service, coldPerSecond, coldStartMs: coldForMs}];
  const fleet = createFleet(smallFleet, seed, {warmUps});
  fleet.startCallers('urgent', 400, 16_000);
  const endpoint = fleet.getEndpoint('e0');
  endpoint.coldStartMs = coldForMs;
  for (const atMs of [coldAtMs, coldAtMs + 5000]) {
    fleet.events.schedule(atMs, () => fleet.killEndpoint('e0'));
  }
  fleet.events.runUntil(16_000);
  for (const startMs of [coldAtMs + 3000, coldAtMs + 8000]) {
    const fromMs = startMs + readDelayMs;
    const most = findMostInSecond(fleet, 'e0', fromMs, startMs + 2000);
    t.ok(most <= maxInSecond, `${most} calls in a second`);
  }
});

// Guards against a rush of all VMs when the cold period ends.
t.test('FAILBACK: the rate rises step by step afterwards', async t => {
  const warmUps = [{service, coldPerSecond, coldStartMs: coldForMs}];
  const fleet = createFleet(smallFleet, seed, {warmUps});
  fleet.startCallers('urgent', 400, 22_000);
  fleet.events.schedule(coldAtMs, () => fleet.startWarmUp('e0', coldForMs));
  fleet.events.runUntil(22_000);
  // VMs know of the end at most `readDelayMs` later than of the start.
  const endMs = coldAtMs + coldForMs;
  const first = findMostInSecond(fleet, 'e0', endMs, endMs + 1000);
  t.ok(first <= 3 * coldPerSecond + 2, `${first} calls in the first second`);
  const last = findMostInSecond(fleet, 'e0', endMs + 7000, 22_000);
  t.ok(last > 2 * maxInSecond, `${last} calls in a second at last`);
});
