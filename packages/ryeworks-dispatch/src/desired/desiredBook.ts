import {Customer, DesiredState, Route} from './desiredState.js';
import {createRouteTable, RouteTable} from './routeTable.js';

/** The desired state in force, with its lookups. */
export interface DesiredBook {
  /** Undefined until the first version is known. */
  desired: DesiredState | undefined;
  routes: RouteTable;
  customersByKey: ReadonlyMap<string, Customer>;
  /** Highest tier among the routes of each service. */
  topTiers: ReadonlyMap<string, number>;
  /** When a peer first told of a newer version, in ms; undefined: none did. */
  newerHeardAtMs: number | undefined;
  /** Newest version that was read in the store after a peer told of it. */
  readVersion: number;
  /** When a newer version was last asked for, in ms. */
  fetchedAtMs: number;
}

/** Creates the book of a VM that knows no version yet. */
export function createDesiredBook(): DesiredBook {
  return {
    desired: undefined,
    routes: new Map(),
    customersByKey: new Map(),
    topTiers: new Map(),
    newerHeardAtMs: undefined,
    readVersion: -1,
    fetchedAtMs: Number.NEGATIVE_INFINITY,
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
function createTopTiers(routes: readonly Route[]): Map<string, number> {
  const topTiers = new Map<string, number>();
  for (const {targets, tier} of routes) {
    for (const {service} of targets) {
      const known = topTiers.get(service) ?? tier;
      topTiers.set(service, Math.min(known, tier));
    }
  }
  return topTiers;
}

/**
 * Brings a version into force; returns false for one that is not newer, so
 * that a stale read never takes a change back.
 */
export function applyDesiredState(
  book: DesiredBook,
  desired: DesiredState,
): boolean {
  const inForce = book.desired?.version ?? -1;
  if (desired.version <= inForce) return false;
  book.desired = desired;
  book.newerHeardAtMs = undefined;
  book.routes = createRouteTable(desired);
  book.customersByKey = createCustomerTable(desired.customers);
  book.topTiers = createTopTiers(desired.routes);
  return true;
}
