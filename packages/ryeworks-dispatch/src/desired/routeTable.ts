import {RandomSource} from '@ryeworks/utils';
import {DesiredState, Route} from './desiredState.js';

/** Routes by host and path prefix. */
export type RouteTable = ReadonlyMap<string, ReadonlyMap<string, Route>>;

/** Creates the lookup of a desired state's routes. */
export function createRouteTable(desiredState: DesiredState): RouteTable {
  const table = new Map<string, Map<string, Route>>();
  for (const route of desiredState.routes) {
    const byPrefix = table.get(route.host) ?? new Map<string, Route>();
    byPrefix.set(route.pathPrefix, route);
    table.set(route.host, byPrefix);
  }
  return table;
}

/** Finds the route with the longest prefix of a path. */
export function findRoute(
  table: RouteTable,
  host: string,
  path: string,
): Route | undefined {
  const byPrefix = table.get(host);
  if (byPrefix === undefined) return undefined;
  let end = path.lastIndexOf('/');
  while (end >= 0) {
    const route = byPrefix.get(path.slice(0, end + 1));
    if (route !== undefined) return route;
    if (end === 0) return undefined;
    end = path.lastIndexOf('/', end - 1);
  }
  return undefined;
}

/** Picks the service of a call by the weights of its route. */
export function pickService(
  route: Route,
  random: RandomSource,
): string | undefined {
  let total = 0;
  for (const target of route.targets) total += target.weight;
  let remaining = random.next() * total;
  for (const target of route.targets) {
    remaining -= target.weight;
    if (remaining < 0) return target.service;
  }
  return route.targets.at(-1)?.service;
}
