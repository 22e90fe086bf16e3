import {CustomerLimit} from '../desired/desiredState.js';
import {UseWindow} from './useWindow.js';

/** Part of the tolerated overrun that is handed out; the rest covers lags. */
const usedTolerance = 0.45;
/** Part of the tolerated overrun that VMs may hand out at their start. */
const startTolerance = 0.3;
/** Part of the stated rate that VMs hand out in the window of their start. */
const startRate = 1;

/** How the limits of customers are held against their use. */
export interface LimitBounds {
  /** Length of the window over which use is judged, in ms. */
  readonly windowMs: number;
  /** Use beyond a limit that is tolerated, as a part of the limit. */
  readonly overrunRatio: number;
  /** Units beyond a limit that are tolerated in each window. */
  readonly allowance: number;
}

/** How much of a customer's limit this VM may hand out now. */
export interface LimitShare {
  readonly bounds: LimitBounds;
  /** Other VMs whose use is known here. */
  readonly knownPeers: number;
  /** All VMs, this one included. */
  readonly vmCount: number;
}

/**
 * What one customer has used lately at this VM and those whose use it knows.
 * Other VMs are left an even part of the limit, so that all sides of a
 * partition together stay within it.
 */
export interface CustomerUse {
  readonly window: UseWindow;
  /** Part of all VMs whose use is known here, 0 to 1. */
  knownPart: number;
  /** Units that this VM has taken since it started. */
  taken: number;
  /** Of these, units that the other VMs have been told of. */
  reported: number;
}

/** Use by customer. */
export type CustomerUses = Map<string, CustomerUse>;

/** A limit, worked out for one window. */
interface WindowLimit {
  /** Rate and burst. */
  readonly stated: number;
  /** Overrun that is tolerated. */
  readonly tolerated: number;
  /** Units that a VM hands out in a ms of the window of its start. */
  readonly startRatePerMs: number;
}

/** Works a limit out for one window. */
function createWindowLimit(
  limit: CustomerLimit,
  {allowance, overrunRatio, windowMs}: LimitBounds,
): WindowLimit {
  const perMs = limit.unitsPerSecond / 1000;
  const stated = perMs * windowMs + limit.burstUnits;
  const tolerated = stated * overrunRatio + allowance;
  return {stated, tolerated, startRatePerMs: perMs * startRate};
}

/**
 * Returns the units that any span of time up to a window allows. What a span
 * allows and what VMs that start after it hand out in the rest of its window
 * are together within the limit, so that a restart of all VMs keeps it.
 */
function getSpanUnits(
  limit: WindowLimit,
  windowMs: number,
  spanMs: number,
): number {
  const whole = limit.stated + limit.tolerated * usedTolerance;
  return whole - limit.startRatePerMs * (windowMs - spanMs);
}

/**
 * Returns the units that this VM may hand out after its start on top of the
 * rate: its own part, so that VMs that start one after the other do not each
 * hand out the whole.
 */
function getStartUnits(limit: WindowLimit, share: LimitShare): number {
  return (limit.tolerated * startTolerance) / share.vmCount;
}

/** Returns the use of a customer. */
function getUse(uses: CustomerUses, customer: string): CustomerUse {
  const known = uses.get(customer);
  if (known !== undefined) return known;
  const use: CustomerUse = {
    window: new UseWindow(),
    knownPart: 0,
    taken: 0,
    reported: 0,
  };
  uses.set(customer, use);
  return use;
}

/**
 * Notes how many VMs' use is known. Those that fall silent take their even part
 * of what was used along, and bring it back.
 */
function updateKnownPart(use: CustomerUse, share: LimitShare): void {
  const knownPart = (share.knownPeers + 1) / share.vmCount;
  if (use.knownPart === knownPart) return;
  if (use.knownPart > 0) use.window.applyFactor(knownPart / use.knownPart);
  use.knownPart = knownPart;
}

/** Returns by how much a customer's use passes its limit; below 0: not. */
function getSurplus(
  use: CustomerUse,
  limit: WindowLimit,
  share: LimitShare,
  nowMs: number,
): number {
  const {knownPart, window} = use;
  const {windowMs} = share.bounds;
  // The monotonic clock begins with the process.
  const ageMs = nowMs;
  if (ageMs < windowMs) {
    const allowed = limit.startRatePerMs * ageMs * knownPart;
    const surplus = window.getSurplus(windowMs, nowMs, () => allowed);
    return Math.min(surplus, use.taken - getStartUnits(limit, share));
  }
  // Before a partition its sides may have used more than their even parts.
  const bound = knownPart < 1 ? {...limit, tolerated: 0} : limit;
  return window.getSurplus(
    windowMs,
    nowMs,
    spanMs => getSpanUnits(bound, windowMs, spanMs) * knownPart,
  );
}

/**
 * Takes units of a customer's limit. Returns 0, or the time after which there
 * will be room, in ms. The last request may pass the limit, so that large ones
 * are not left behind small ones.
 */
export function takeUnits(
  uses: CustomerUses,
  customer: string,
  limit: CustomerLimit,
  units: number,
  share: LimitShare,
  nowMs: number,
): number {
  const use = getUse(uses, customer);
  updateKnownPart(use, share);
  const {windowMs} = share.bounds;
  const windowLimit = createWindowLimit(limit, share.bounds);
  const surplus = getSurplus(use, windowLimit, share, nowMs);
  // Each peer is taken to have used as much as this VM since their last news.
  const unheard = (use.taken - use.reported) * share.knownPeers;
  if (surplus + unheard >= 0) {
    const perMs = (windowLimit.stated / windowMs) * use.knownPart;
    return Math.max(1, (surplus + unheard + units) / perMs);
  }
  use.window.add(units, nowMs);
  use.taken += units;
  return 0;
}

/** Gives back the units of a request that did not run. */
export function returnUnits(
  uses: CustomerUses,
  customer: string,
  units: number,
  nowMs: number,
): void {
  const use = uses.get(customer);
  if (use === undefined || units === 0) return;
  use.window.add(-units, nowMs);
  use.taken -= units;
}

/** Counts the use of another VM. */
export function applyPeerUse(
  uses: CustomerUses,
  customer: string,
  units: number,
  nowMs: number,
): void {
  getUse(uses, customer).window.add(units, nowMs);
}
