import {DispatchState} from '../dispatchState.js';
import {ActiveRequest} from '../requests/activeRequest.js';
import {EndpointEntry} from './endpointTable.js';

/** Returns whether a list allows a region; a zone in no region is in no list. */
function isAllowed(
  allowedRegions: readonly string[] | undefined,
  region: string | undefined,
): boolean {
  if (allowedRegions === undefined) return true;
  return region !== undefined && allowedRegions.includes(region);
}

/**
 * Lists the endpoints in whose regions a request may be served, by the current lists
 * of its route and its customer. Those of its arrival apply if there is no such route
 * any more; a customer that was removed has none.
 */
export function listInAllowedRegions(
  {desiredState, options}: DispatchState,
  entries: readonly EndpointEntry[],
  {customer, route}: ActiveRequest,
): readonly EndpointEntry[] {
  const current = desiredState.routesByName.get(route.name) ?? route;
  const routeRegions = current.allowedRegions;
  const customerRegions =
    desiredState.customersByName.get(customer)?.allowedRegions;
  if (routeRegions === undefined && customerRegions === undefined) {
    return entries;
  }
  const {regionByZone = {}} = options;
  return entries.filter(({endpoint: {availabilityZone}}) => {
    const region = Object.hasOwn(regionByZone, availabilityZone)
      ? regionByZone[availabilityZone]
      : undefined;
    return (
      isAllowed(routeRegions, region) && isAllowed(customerRegions, region)
    );
  });
}
