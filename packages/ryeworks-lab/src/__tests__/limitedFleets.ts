import {FleetSize} from '../fleet/createFleet.js';
import {fleetRequestUnits} from '../fleet/dispatchFleet.js';

export const windowMs = 8000;
export const limitPerSecond = 30;
export const overrunRatio = 0.1;
/** Requests beyond the limit that a window may hold. */
export const allowedRequests = 24;
/** When the load changes, after the first window of the VMs, in ms. */
export const surgeAtMs = 12_000;
export const endMs = 26_000;

/** Limits of the customer that sends all requests of a fleet. */
export const limits = {
  customerLimit: {
    unitsPerSecond: limitPerSecond * fleetRequestUnits,
    burstUnits: 0,
    countsTokens: true,
    defaultTokens: fleetRequestUnits,
  },
  limitBounds: {
    windowMs,
    overrunRatio,
    allowance: allowedRequests * fleetRequestUnits,
  },
};

export const fleetSizes: ReadonlyArray<FleetSize & {readonly name: string}> = [
  {name: '8 VMs', zones: 4, vmsPerZone: 2, endpoints: 12},
  {name: '70 VMs', zones: 5, vmsPerZone: 14, endpoints: 30},
  {name: '192 VMs', zones: 6, vmsPerZone: 32, endpoints: 48},
];
