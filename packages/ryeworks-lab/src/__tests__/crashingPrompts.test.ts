import t from 'tap';
import {createFleet, FleetSize} from '../fleet/createFleet.js';
import {DispatchFleet} from '../fleet/dispatchFleet.js';

const seed = 31;
/** When the first request with the crashing part is sent, in ms. */
const crashingFromMs = 4000;
const endMs = 18_000;
/** Time by which all VMs must know of the crashes that others have seen, in ms. */
const contactMs = 3000;
/** Crashes under one part after which no more requests may reach endpoints. */
const toleratedCrashes = 5;
/** Requests that may still reach endpoints, for all VMs together. */
const toleratedArrivals = 3;
/** Load per endpoint, in requests per second: under half of what it can run. */
const requestsPerEndpoint = 12;

const commonPart = 'c0';
const topicPart = 'a1';
const crashingPart = 'bad0';

const fleetSizes: ReadonlyArray<FleetSize & {readonly name: string}> = [
  {name: '8 VMs', zones: 4, vmsPerZone: 2, endpoints: 13},
  {name: '70 VMs', zones: 5, vmsPerZone: 14, endpoints: 42},
  {name: '195 VMs', zones: 5, vmsPerZone: 39, endpoints: 84},
];

/** Starts a fleet with a steady load whose prompts share their first part. */
function startFleet(size: FleetSize): DispatchFleet {
  const fleet = createFleet(size, seed);
  const perSecond = (size.endpoints * requestsPerEndpoint) / 3;
  fleet.startCallers('story', perSecond, endMs, [commonPart]);
  fleet.startCallers('relaxed', perSecond, endMs, [commonPart, topicPart]);
  fleet.startCallers('urgent', perSecond, endMs, [commonPart]);
  return fleet;
}

/** Lists when VMs sent requests with a part to endpoints, in ms. */
function listArrivals(fleet: DispatchFleet, part: string): number[] {
  const timesMs: number[] = [];
  for (const {arrivals} of fleet.endpoints.values()) {
    for (const {atMs, sharedParts} of arrivals) {
      if (sharedParts.includes(part)) timesMs.push(atMs);
    }
  }
  return timesMs;
}

/** Returns the share of the sound requests sent in a span that were served. */
function getServedShare(fleet: DispatchFleet, fromMs: number, toMs: number) {
  const sound = [...fleet.requests.values()].filter(
    ({sentAtMs, sharedParts}) =>
      sentAtMs >= fromMs &&
      sentAtMs < toMs &&
      !sharedParts.includes(crashingPart),
  );
  const served = sound.filter(({outcome}) => outcome === 'done');
  return served.length / sound.length;
}

for (const size of fleetSizes) {
  // Guards against requests that crash one endpoint after the other: each VM sees
  // one or two of the crashes.
  t.test(`prompts that crash endpoints are kept from ${size.name}`, async t => {
    const fleet = startFleet(size);
    fleet.calls.crashingPart = crashingPart;
    fleet.events.runUntil(crashingFromMs);
    // As streams that are resumed, and as calls that are retried.
    const parts = [commonPart, topicPart, crashingPart];
    fleet.startCallers('story', 5, endMs, parts);
    fleet.startCallers('relaxed', 3, endMs, [commonPart, crashingPart]);
    fleet.events.runUntil(endMs);
    const {crashes} = fleet.calls;
    t.ok(crashes.length >= 3, 'endpoints have crashed');
    const lastMs = crashes[toleratedCrashes - 1]?.atMs ?? crashes.at(-1)!.atMs;
    const late = listArrivals(fleet, crashingPart).filter(
      atMs => atMs > lastMs + contactMs,
    );
    t.ok(late.length <= toleratedArrivals, `${late.length} arrive later`);
    const share = getServedShare(fleet, lastMs + 2 * contactMs, endMs - 500);
    t.ok(share >= 0.97, `${share} of the sound requests are served`);
  });
}
