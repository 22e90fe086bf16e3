import {CustomerLimit} from '../desired/desiredState.js';

/** Length of one slice of the window, in ms. */
const sliceMs = 250;
/** Part of the tolerated overrun that is used; the rest covers lags. */
const usedTolerance = 0.75;
/** Part of this VM's unreported use that each peer is taken to have, too. */
const unreportedPart = 0.5;

/** How the limits of customers are held against their use. */
export interface LimitBounds {
  /** Length of the window over which use is counted, in ms. */
  readonly windowMs: number;
  /** Use beyond a limit that is tolerated, as a part of the limit. */
  readonly overrunRatio: number;
  /** Units beyond a limit that are tolerated in each window. */
  readonly allowance: number;
}

/** Units used in one slice of time. */
interface Slice {
  readonly startMs: number;
  units: number;
}

/** What one customer has used lately, as this VM knows it. */
export interface CustomerWindow {
  readonly slices: Slice[];
  /** Sum over the slices: use of this VM and of the peers it hears. */
  used: number;
  /** Units that this VM has taken since it started. */
  taken: number;
  /** Of these, units that the other VMs have been told of. */
  reported: number;
}

/** Windows by customer. */
export type CustomerWindows = Map<string, CustomerWindow>;

/** How much of a customer's limit this VM may hand out now. */
export interface LimitShare {
  readonly bounds: LimitBounds;
  /** Part of all VMs whose use is known here, 0 to 1. */
  readonly knownShare: number;
  /** Other VMs whose use is known here. */
  readonly knownPeers: number;
  /** When this VM started, in ms. */
  readonly startedAtMs: number;
}

/** Returns the window of a customer. */
function getWindow(windows: CustomerWindows, customer: string): CustomerWindow {
  const known = windows.get(customer);
  if (known !== undefined) return known;
  const window = {slices: [], used: 0, taken: 0, reported: 0};
  windows.set(customer, window);
  return window;
}

/** Drops the slices that have left the window. */
function dropOldSlices(
  window: CustomerWindow,
  windowMs: number,
  nowMs: number,
): void {
  while (window.slices.length > 0) {
    const [oldest] = window.slices;
    if (oldest.startMs + sliceMs > nowMs - windowMs) return;
    window.used -= oldest.units;
    window.slices.shift();
  }
}

/** Adds use to the present slice. */
function addUse(window: CustomerWindow, units: number, nowMs: number): void {
  const startMs = Math.floor(nowMs / sliceMs) * sliceMs;
  const last = window.slices.at(-1);
  if (last?.startMs === startMs) last.units += units;
  else window.slices.push({startMs, units});
  window.used += units;
}

/**
 * Returns the units that a customer may use in one window. VMs whose use is not
 * known are left an even part, so that all sides of a partition together stay
 * within the limit. A VM that has just started may have handed all of it out
 * before: it gains the steady rate back over one window, without the burst.
 */
export function getAllowedUnits(
  limit: CustomerLimit,
  share: LimitShare,
  nowMs: number,
): number {
  const {allowance, overrunRatio, windowMs} = share.bounds;
  const steady = (limit.unitsPerSecond * windowMs) / 1000;
  const age = (nowMs - share.startedAtMs) / windowMs;
  if (age < 1) return steady * age * share.knownShare;
  const stated = steady + limit.burstUnits;
  const tolerated = stated * overrunRatio + allowance;
  return (stated + tolerated * usedTolerance) * share.knownShare;
}

/** Returns the time until enough use has left the window, in ms. */
function estimateRoomInMs(
  window: CustomerWindow,
  surplus: number,
  windowMs: number,
  nowMs: number,
): number {
  let left = surplus;
  for (const slice of window.slices) {
    left -= slice.units;
    if (left < 0) return slice.startMs + sliceMs + windowMs - nowMs;
  }
  return windowMs;
}

/**
 * Takes units of a customer's limit. Returns 0, or the time after which there
 * will be room, in ms. The last request may pass the limit, so that large ones
 * are not left behind small ones.
 */
export function takeUnits(
  windows: CustomerWindows,
  customer: string,
  limit: CustomerLimit,
  units: number,
  share: LimitShare,
  nowMs: number,
): number {
  const {windowMs} = share.bounds;
  const window = getWindow(windows, customer);
  dropOldSlices(window, windowMs, nowMs);
  const allowed = getAllowedUnits(limit, share, nowMs);
  const unreported = window.taken - window.reported;
  const unheard = unreported * share.knownPeers * unreportedPart;
  if (window.used + unheard >= allowed) {
    const surplus = window.used + unheard - allowed;
    return estimateRoomInMs(window, surplus, windowMs, nowMs);
  }
  addUse(window, units, nowMs);
  window.taken += units;
  return 0;
}

/** Gives back the units of a request that did not run. */
export function returnUnits(
  windows: CustomerWindows,
  customer: string,
  units: number,
  nowMs: number,
): void {
  if (units === 0) return;
  const window = getWindow(windows, customer);
  addUse(window, -units, nowMs);
  window.taken -= units;
}

/** Counts the use of another VM. */
export function applyPeerUse(
  windows: CustomerWindows,
  customer: string,
  units: number,
  nowMs: number,
): void {
  addUse(getWindow(windows, customer), units, nowMs);
}
