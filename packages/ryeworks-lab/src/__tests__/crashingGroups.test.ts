import t from 'tap';
import {createFleet, FleetSize} from '../fleet/createFleet.js';
import {DispatchFleet} from '../fleet/dispatchFleet.js';

const seed = 37;
/** When the first group of requests with the crashing part is sent, in ms. */
const crashingFromMs = 4000;
const endMs = 15_000;
/** Time between two groups, in ms: crashed endpoints are back by then. */
const groupPeriodMs = 3500;
/** Time by which all VMs must know of the crashes that others have seen, in ms. */
const contactMs = 3000;
/** Crashes under one part after which no more requests may reach endpoints. */
const toleratedCrashes = 5;
/** Requests that may still reach endpoints, for all VMs together. */
const toleratedArrivals = 3;
/** Load per endpoint, in requests per second: a quarter of what it can run. */
const requestsPerEndpoint = 6;

const commonPart = 'c0';
const crashingPart = 'bad0';

const sizes: ReadonlyArray<FleetSize & {readonly name: string}> = [
  {name: '1 VM', zones: 1, vmsPerZone: 1, endpoints: 13},
  {name: '8 VMs', zones: 4, vmsPerZone: 2, endpoints: 24},
  {name: '70 VMs', zones: 5, vmsPerZone: 14, endpoints: 42},
  {name: '195 VMs', zones: 5, vmsPerZone: 39, endpoints: 84},
];

/** Starts a fleet with a steady load of sound requests. */
function startFleet(size: FleetSize): DispatchFleet {
  const fleet = createFleet(size, seed);
  const perSecond = (size.endpoints * requestsPerEndpoint) / 2;
  fleet.startCallers('story', perSecond, endMs, [commonPart]);
  fleet.startCallers('urgent', perSecond, endMs, [commonPart]);
  return fleet;
}

let nextOwnPart = 0;

/** Creates the parts of a prompt: some of its own, with another among them. */
function createParts(ownParts: number, part: string): string[] {
  const own = Array.from({length: ownParts}, () => `own${nextOwnPart++}`);
  own.splice(nextOwnPart % (ownParts + 1), 0, part);
  return [commonPart, ...own];
}

/** Schedules groups of requests that come together, each with parts of its own. */
function startGroups(
  fleet: DispatchFleet,
  groupSize: number,
  ownParts: number,
) {
  const sendGroup = () => {
    for (let count = 0; count < groupSize; count++) {
      fleet.sendRequest('story', createParts(ownParts, crashingPart));
    }
  };
  for (let atMs = crashingFromMs; atMs < endMs; atMs += groupPeriodMs) {
    fleet.events.schedule(atMs, sendGroup);
  }
}

/** Counts the requests with the crashing part that reach endpoints too late. */
function countLateArrivals(fleet: DispatchFleet): number {
  const fifth = fleet.calls.crashes[toleratedCrashes - 1];
  if (fifth === undefined) return 0;
  let late = 0;
  for (const {arrivals} of fleet.endpoints.values()) {
    for (const {atMs, sharedParts} of arrivals) {
      if (atMs <= fifth.atMs + contactMs) continue;
      if (sharedParts.includes(crashingPart)) late += 1;
    }
  }
  return late;
}

for (const size of sizes) {
  for (const [groupSize, ownParts] of [
    [2, 1],
    [6, 1],
    [12, 1],
    [6, 400],
  ]) {
    // Guards against prompts that crash endpoints together, or hide the crashing
    // part among many others, and are never found.
    const name = `groups of ${groupSize} with ${ownParts} parts of their own`;
    t.test(`${name} are found by ${size.name}`, async t => {
      const fleet = startFleet(size);
      fleet.calls.crashingPart = crashingPart;
      startGroups(fleet, groupSize, ownParts);
      fleet.events.runUntil(endMs);
      t.ok(fleet.calls.crashes.length >= 4, 'endpoints have crashed');
      const late = countLateArrivals(fleet);
      t.ok(late <= toleratedArrivals, `${late} arrive later`);
    });
  }
}

for (const size of sizes.slice(1, 3)) {
  // Guards against sound prompts that are blamed for a loss of power of endpoints
  // that stand together, while others of their zones work.
  t.test(`a rack without power blames none: ${size.name}`, async t => {
    const fleet = startFleet(size);
    const rack = [...fleet.endpoints.keys()].filter((_, index) => index % 2);
    for (let topic = 0; topic < 40; topic++) {
      fleet.startCallers('story', 0.4, endMs, [commonPart, `d${topic}`]);
    }
    for (const atMs of [5000, 11_000]) {
      fleet.events.schedule(atMs, () => {
        for (const id of rack) fleet.killEndpoint(id);
      });
    }
    const blamed = new Set<string>();
    for (let atMs = 0; atMs < endMs; atMs += 50) {
      fleet.events.schedule(atMs, () => {
        for (const {state} of fleet.vms.values()) {
          for (const part of state.crashes.quarantines.flat()) blamed.add(part);
        }
      });
    }
    fleet.events.runUntil(endMs);
    t.strictSame([...blamed], []);
  });
}
