import {Customer, DesiredState, Route} from './desiredState.js';
import {createRouteTable, RouteTable} from './routeTable.js';

/** Where a VM fetches a newer version of the desired state. */
export const fetchSource = {peer: 'peer', store: 'store'} as const;

/** One of the sources. */
export type FetchSource = (typeof fetchSource)[keyof typeof fetchSource];

/**
 * The current desired state, its lookup tables and the progress of its updates.
 */
export interface DesiredStateTracker {
  /** Undefined until a first version has been read. */
  current: DesiredState | undefined;
  /** Routes by host and path prefix. */
  routes: RouteTable;
  routesByName: ReadonlyMap<string, Route>;
  customersByName: ReadonlyMap<string, Customer>;
  /** Customers by API key. */
  customersByKey: ReadonlyMap<string, Customer>;
  /** Highest tier among the routes of each service. */
  highestTierByService: ReadonlyMap<string, number>;
  /**
   * When a peer first reported a newer version, in ms; undefined if none did.
   */
  newerSeenAtMs: number | undefined;
  /**
   * Newest version that a peer reported and that this VM then requested from
   * the store; -1 if none, or after a fetch from a peer.
   */
  storeReadVersion: number;
  /** Where a version is being fetched from; undefined if no fetch runs. */
  fetchSource: FetchSource | undefined;
  /** When the last fetch of a newer version ended, in ms. */
  fetchEndedAtMs: number;
}

/** Creates the tracker of a VM that has no desired state yet. */
export function createDesiredStateTracker(): DesiredStateTracker {
  return {
    current: undefined,
    routes: new Map(),
    routesByName: new Map(),
    customersByName: new Map(),
    customersByKey: new Map(),
    highestTierByService: new Map(),
    newerSeenAtMs: undefined,
    storeReadVersion: -1,
    fetchSource: undefined,
    fetchEndedAtMs: Number.NEGATIVE_INFINITY,
  };
}

/** Creates the lookup table of customers by API key. */
function createCustomerTable(
  customers: readonly Customer[],
): Map<string, Customer> {
  const byKey = new Map<string, Customer>();
  for (const customer of customers) {
    for (const key of customer.apiKeys) byKey.set(key, customer);
  }
  return byKey;
}

/** Creates a lookup table by name. */
function createNameTable<T extends {readonly name: string}>(
  items: readonly T[],
): Map<string, T> {
  return new Map(items.map(item => [item.name, item]));
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
 * Applies a version of the desired state. Returns false and ignores it if it is
 * not newer, so that a stale read never reverts a change.
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
  tracker.routesByName = createNameTable(desiredState.routes);
  tracker.customersByName = createNameTable(desiredState.customers);
  tracker.customersByKey = createCustomerTable(desiredState.customers);
  tracker.highestTierByService = findHighestTiers(desiredState.routes);
  return true;
}
