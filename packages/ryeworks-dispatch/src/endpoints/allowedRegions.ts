import {DispatchState} from '../dispatchState.js';
import {ActiveRequest} from '../requests/activeRequest.js';
import {Endpoint} from './endpoint.js';

/** Returns whether a list allows a region; a zone in no region is in no list. */
function isAllowed(
  allowedRegions: readonly string[] | undefined,
  region: string | undefined,
): boolean {
  if (allowedRegions === undefined) return true;
  return region !== undefined && allowedRegions.includes(region);
}

/**
 * Returns whether a request may be served in the region of an endpoint, by the
 * current lists of its route and its customer. Those of its arrival apply if there
 * is no such route any more; a customer that was removed has none.
 */
export function isInAllowedRegion(
  {desiredState, options}: DispatchState,
  {availabilityZone}: Endpoint,
  {customer, route}: ActiveRequest,
): boolean {
  const current = desiredState.routesByName.get(route.name) ?? route;
  const routeRegions = current.allowedRegions;
  const customerRegions =
    desiredState.customersByName.get(customer)?.allowedRegions;
  if (routeRegions === undefined && customerRegions === undefined) return true;
  const {regionByZone = {}} = options;
  const region = Object.hasOwn(regionByZone, availabilityZone)
    ? regionByZone[availabilityZone]
    : undefined;
  return isAllowed(routeRegions, region) && isAllowed(customerRegions, region);
}
