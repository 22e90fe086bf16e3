import {Customer, DesiredState, Route} from './desiredState.js';
import {createRouteTable, RouteTable} from './routeTable.js';

/** The desired state in force, with its lookups. */
export interface DesiredStateTracker {
  /** Undefined until the first version is known. */
  current: DesiredState | undefined;
  routes: RouteTable;
  customersByKey: ReadonlyMap<string, Customer>;
  /** Highest tier among the routes of each service. */
  highestTierByService: ReadonlyMap<string, number>;
  /** When a peer first told of a newer version, in ms; undefined: none did. */
  newerSeenAtMs: number | undefined;
  /** Newest version that was read in the store after a peer told of it. */
  storeReadVersion: number;
  /** When a newer version was last asked for, in ms. */
  fetchStartedAtMs: number;
}

/** Creates the book of a VM that knows no version yet. */
export function createDesiredStateTracker(): DesiredStateTracker {
  return {
    current: undefined,
    routes: new Map(),
    customersByKey: new Map(),
    highestTierByService: new Map(),
    newerSeenAtMs: undefined,
    storeReadVersion: -1,
    fetchStartedAtMs: Number.NEGATIVE_INFINITY,
  };
}

/** Creates the lookup of customers by API key. */
function createCustomerTable(
  customers: readonly Customer[],
): Map<string, Customer> {
  const byKey = new Map<string, Customer>();
  for (const customer of customers) {
    for (const key of customer.apiKeys) byKey.set(key, customer);
  }
  return byKey;
}

/** Finds the highest tier among the routes of each service. */
function findHighestTiers(routes: readonly Route[]): Map<string, number> {
  const highestTiers = new Map<string, number>();
  for (const {targets, tier} of routes) {
    for (const {service} of targets) {
      const highestSoFar = highestTiers.get(service) ?? tier;
      highestTiers.set(service, Math.min(highestSoFar, tier));
    }
  }
  return highestTiers;
}

/**
 * Brings a version into force; returns false for one that is not newer, so
 * that a stale read never takes a change back.
 */
export function applyDesiredState(
  tracker: DesiredStateTracker,
  desiredState: DesiredState,
): boolean {
  const currentVersion = tracker.current?.version ?? -1;
  if (desiredState.version <= currentVersion) return false;
  tracker.current = desiredState;
  tracker.newerSeenAtMs = undefined;
  tracker.routes = createRouteTable(desiredState);
  tracker.customersByKey = createCustomerTable(desiredState.customers);
  tracker.highestTierByService = findHighestTiers(desiredState.routes);
  return true;
}
