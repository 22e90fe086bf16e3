import t from 'tap';
import {createFleet, FleetSize} from '../fleet/createFleet.js';
import {DispatchFleet} from '../fleet/dispatchFleet.js';
import {FleetArrival} from '../fleet/fleetEndpoint.js';

const seed = 31;
/** When the first request with the crashing part is sent, in ms. */
const crashingFromMs = 4000;
const endMs = 18_000;
/** While a zone is cut off, in ms: as the first endpoints crash. */
const cutFromMs = 4100;
const cutUntilMs = 9000;
/** Time by which all VMs must know of the crashes that others have seen, in ms. */
const contactMs = 3000;
/** Crashes under one part after which no more requests may reach endpoints. */
const toleratedCrashes = 5;
/** Requests that may still reach endpoints, for all VMs together. */
const toleratedArrivals = 3;
/** Time between two looks at the quarantines, in ms. */
const collectPeriodMs = 50;
/** Load per endpoint, in requests per second: under half of what it can run. */
const requestsPerEndpoint = 12;

const commonPart = 'c0';
const topicPart = 'a1';
const crashingPart = 'bad0';
/** Number of topics that few requests are about. */
const rareTopics = 40;

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
  for (let index = 0; index < rareTopics; index++) {
    fleet.startCallers('story', 0.4, endMs, [commonPart, `d${index}`]);
  }
  return fleet;
}

/** Returns how many requests were refused for their prompts. */
function countQuarantined(fleet: DispatchFleet, part: string): number {
  const refused = [...fleet.requests.values()].filter(
    ({error, sharedParts}) =>
      error === 'crashingPrompt' && sharedParts.includes(part),
  );
  return refused.length;
}

/** Collects the parts that any VM puts under quarantine during a run. */
function collectQuarantinedParts(fleet: DispatchFleet): Set<string> {
  const parts = new Set<string>();
  const collect = () => {
    for (const {state} of fleet.vms.values()) {
      for (const part of state.crashes.quarantines.flat()) parts.add(part);
    }
  };
  for (let atMs = 0; atMs < endMs; atMs += collectPeriodMs) {
    fleet.events.schedule(atMs, collect);
  }
  return parts;
}

/** Lists the requests with a part that reached endpoints. */
function listArrivals(
  fleet: DispatchFleet,
  part: string,
  isWanted: (arrival: FleetArrival) => boolean,
): FleetArrival[] {
  const all = [...fleet.endpoints.values()].flatMap(({arrivals}) => arrivals);
  return all.filter(
    arrival => arrival.sharedParts.includes(part) && isWanted(arrival),
  );
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

/** Starts requests with the crashing part, as streams and as plain calls. */
function startCrashing(fleet: DispatchFleet): void {
  const parts = [commonPart, topicPart, crashingPart];
  fleet.startCallers('story', 5, endMs, parts);
  fleet.startCallers('relaxed', 3, endMs, [commonPart, crashingPart]);
}

/** Counts the requests with the crashing part that reach endpoints too late. */
function countLateArrivals(fleet: DispatchFleet): number {
  const {atMs: fifthMs} = fleet.calls.crashes[toleratedCrashes - 1];
  const late = listArrivals(
    fleet,
    crashingPart,
    ({atMs}) => atMs > fifthMs + contactMs,
  );
  return late.length;
}

for (const size of fleetSizes.slice(0, 2)) {
  // Guards against a fleet that forgets with its processes which prompts crash
  // endpoints.
  t.test(`a restart of all of ${size.name} forgets no prompt`, async t => {
    const fleet = startFleet(size);
    fleet.calls.crashingPart = crashingPart;
    fleet.events.schedule(crashingFromMs, () => startCrashing(fleet));
    const all = [...fleet.vms.values()].map(({options}) => options);
    fleet.events.schedule(11_000, () => {
      for (const {vm} of all) fleet.killVm(vm);
    });
    fleet.events.schedule(12_000, () => {
      for (const {availabilityZone, vm} of all) {
        fleet.startVm(vm, availabilityZone);
      }
    });
    fleet.events.runUntil(endMs);
    const late = countLateArrivals(fleet);
    t.ok(late <= toleratedArrivals, `${late} arrive later`);
  });

  // Guards against a VM that starts later and does not hear of the crashes.
  t.test(`a VM that starts beside ${size.name} is told`, async t => {
    const fleet = startFleet(size);
    fleet.calls.crashingPart = crashingPart;
    fleet.events.schedule(crashingFromMs, () => startCrashing(fleet));
    fleet.events.runUntil(12_000);
    fleet.startVm('zone-0-new', 'zone-0');
    fleet.events.runUntil(endMs);
    const late = countLateArrivals(fleet);
    t.ok(late <= toleratedArrivals, `${late} arrive later`);
    const {state} = fleet.vms.get('zone-0-new')!;
    t.strictSame(state.crashes.quarantines, [[crashingPart]]);
  });
}

for (const size of fleetSizes) {
  // Guards against requests that crash one endpoint after the other: each VM sees
  // one or two of the crashes.
  t.test(`prompts that crash endpoints are kept from ${size.name}`, async t => {
    const fleet = startFleet(size);
    fleet.calls.crashingPart = crashingPart;
    fleet.events.runUntil(crashingFromMs);
    startCrashing(fleet);
    fleet.events.runUntil(endMs);
    const {crashes} = fleet.calls;
    t.ok(crashes.length >= 3, 'endpoints have crashed');
    const lastMs = crashes[toleratedCrashes - 1]?.atMs ?? crashes.at(-1)!.atMs;
    const late = listArrivals(
      fleet,
      crashingPart,
      ({atMs}) => atMs > lastMs + contactMs,
    );
    t.ok(late.length <= toleratedArrivals, `${late.length} arrive later`);
    const share = getServedShare(fleet, lastMs + 2 * contactMs, endMs - 500);
    t.ok(share >= 0.97, `${share} of the sound requests are served`);
    const refused = countQuarantined(fleet, commonPart);
    t.equal(refused, countQuarantined(fleet, crashingPart), 'no sound prompt');
  });
}

for (const size of fleetSizes) {
  // Guards against what VMs learn too late while a zone is cut off and a VM starts
  // again. VMs of that zone are excused until they had time to hear of it.
  t.test(`beside a cut zone and a restart: ${size.name}`, async t => {
    const fleet = startFleet(size);
    fleet.calls.crashingPart = crashingPart;
    fleet.events.schedule(crashingFromMs, () => startCrashing(fleet));
    fleet.events.schedule(cutFromMs, () => fleet.setZoneCut('zone-1', true));
    fleet.events.schedule(cutUntilMs, () => fleet.clearCuts());
    fleet.events.schedule(cutFromMs, () => fleet.killVm('zone-2-0'));
    fleet.events.schedule(cutFromMs + 1000, () =>
      fleet.startVm('zone-2-0', 'zone-2'),
    );
    fleet.events.runUntil(endMs);
    const {atMs: fifthMs} = fleet.calls.crashes[toleratedCrashes - 1];
    const late = listArrivals(fleet, crashingPart, ({atMs, vm}) => {
      if (atMs <= fifthMs + contactMs) return false;
      if (vm.startsWith('zone-1-')) return atMs > cutUntilMs + contactMs;
      return vm !== 'zone-2-0' || atMs > cutFromMs + 1000 + contactMs;
    });
    t.ok(late.length <= toleratedArrivals, `${late.length} arrive later`);
  });
}

/** Troubles that have nothing to do with prompts. */
const ordinaryTroubles: Record<string, (fleet: DispatchFleet) => void> = {
  'one endpoint after the other crashes': fleet => {
    for (const [index, id] of [...fleet.endpoints.keys()].entries()) {
      fleet.events.schedule(4000 + 150 * index, () => fleet.killEndpoint(id));
    }
  },
  'all endpoints crash twice': fleet => {
    for (const atMs of [5000, 10_000]) {
      fleet.events.schedule(atMs, () => {
        for (const id of fleet.endpoints.keys()) fleet.killEndpoint(id);
      });
    }
  },
  'connections are reset': fleet => {
    for (let atMs = 4000; atMs < 12_000; atMs += 100) {
      fleet.events.schedule(atMs, () => {
        for (const endpoint of fleet.endpoints.values()) {
          fleet.calls.resetConnections(endpoint);
        }
      });
    }
  },
  'VMs and endpoints restart and a zone is cut off': fleet => {
    const [first, second] = fleet.vms.values();
    for (const {options} of [first, second]) {
      fleet.events.schedule(4000, () => fleet.killVm(options.vm));
      fleet.events.schedule(6000, () =>
        fleet.startVm(options.vm, options.availabilityZone),
      );
    }
    fleet.events.schedule(7000, () => fleet.setZoneCut('zone-1', true));
    for (const [index, id] of [...fleet.endpoints.keys()].entries()) {
      fleet.events.schedule(7000 + 100 * index, () => fleet.killEndpoint(id));
    }
    fleet.events.schedule(10_000, () => fleet.clearCuts());
  },
  'a bad version crashes under each prompt': fleet => {
    fleet.events.schedule(4000, () => {
      for (const [index, endpoint] of [...fleet.endpoints.values()].entries()) {
        endpoint.isFaulty = index % 4 === 0;
      }
    });
  },
  'all endpoints crash as a topic becomes hot': fleet => {
    fleet.events.schedule(6000, () =>
      fleet.startCallers('story', 30, endMs, [commonPart, 'e1']),
    );
    fleet.events.schedule(6150, () => {
      for (const id of fleet.endpoints.keys()) fleet.killEndpoint(id);
    });
  },
};

for (const size of fleetSizes.slice(0, 2)) {
  for (const [trouble, cause] of Object.entries(ordinaryTroubles)) {
    // Guards against sound prompts that are refused because endpoints crash, or
    // lose connections, for another reason.
    t.test(`no prompt is blamed at ${size.name} if ${trouble}`, async t => {
      const fleet = startFleet(size);
      cause(fleet);
      const parts = collectQuarantinedParts(fleet);
      fleet.events.runUntil(endMs);
      t.equal(countQuarantined(fleet, commonPart), 0);
      t.strictSame([...parts], []);
    });
  }
}

// Guards against a quarantine of the part that all prompts have, which could not
// end once the endpoints are mended.
t.test('endpoints that crash under each prompt blame none', async t => {
  const fleet = createFleet(fleetSizes[0], seed);
  const mendedMs = 80_000;
  fleet.startCallers('story', 60, mendedMs + 9000, [commonPart]);
  fleet.events.runUntil(crashingFromMs);
  fleet.calls.crashingPart = commonPart;
  fleet.events.runUntil(mendedMs);
  fleet.calls.crashingPart = undefined;
  fleet.events.runUntil(mendedMs + 10_000);
  t.equal(countQuarantined(fleet, commonPart), 0);
  const share = getServedShare(fleet, mendedMs + 4000, mendedMs + 9000);
  t.ok(share >= 0.97, `${share} are served once they are mended`);
});

// Guards against a wave of crashes that keeps itself going: so few endpoints are up
// for so short a time that no prompt is answered completely.
t.test('a wave of crashes is stopped though nothing is answered', async t => {
  const fleet = createFleet({zones: 2, vmsPerZone: 2, endpoints: 3}, seed);
  fleet.calls.crashingPart = crashingPart;
  fleet.startCallers('story', 40, endMs, [commonPart]);
  fleet.events.runUntil(crashingFromMs);
  fleet.startCallers('story', 30, endMs, [commonPart, crashingPart]);
  fleet.events.runUntil(endMs);
  const late = countLateArrivals(fleet);
  t.ok(late <= toleratedArrivals, `${late} arrive later`);
});
