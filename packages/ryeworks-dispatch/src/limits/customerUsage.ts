import {CustomerLimit} from '../desired/desiredState.js';
import {UsageWindow} from './usageWindow.js';

/** Part of the tolerated overrun that is handed out; the rest covers lags. */
const toleranceFraction = 0.45;
/** Part of the tolerated overrun that VMs may hand out at their start. */
const startToleranceFraction = 0.3;
/** Part of the stated rate that VMs hand out in the window of their start. */
const startRateFraction = 1;

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
  readonly reportingPeers: number;
  /** All VMs, this one included. */
  readonly vmCount: number;
}

/**
 * What one customer has used lately at this VM and those whose use it knows.
 * Other VMs are left an even part of the limit, so that all sides of a
 * partition together stay within it.
 */
export interface CustomerUsage {
  readonly window: UsageWindow;
  /** Part of all VMs whose use is known here, 0 to 1. */
  knownRatio: number;
  /** Units that this VM has taken since it started. */
  consumed: number;
  /** Of these, units that the other VMs have been told of. */
  reported: number;
}

/** Use by customer. */
export type UsageByCustomer = Map<string, CustomerUsage>;

/** A limit, worked out for one window. */
interface WindowLimit {
  /** Rate and burst. */
  readonly configured: number;
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
  const configured = perMs * windowMs + limit.burstUnits;
  const tolerated = configured * overrunRatio + allowance;
  return {configured, tolerated, startRatePerMs: perMs * startRateFraction};
}

/**
 * Returns the units that any span of time up to a window allows. What a span
 * allows and what VMs that start after it hand out in the rest of its window
 * are together within the limit, so that a restart of all VMs keeps it.
 */
function getSpanLimit(
  limit: WindowLimit,
  windowMs: number,
  spanMs: number,
): number {
  const whole = limit.configured + limit.tolerated * toleranceFraction;
  return whole - limit.startRatePerMs * (windowMs - spanMs);
}

/**
 * Returns the units that this VM may hand out after its start on top of the
 * rate: its own part, so that VMs that start one after the other do not each
 * hand out the whole.
 */
function getStartAllowance(limit: WindowLimit, share: LimitShare): number {
  return (limit.tolerated * startToleranceFraction) / share.vmCount;
}

/** Returns the use of a customer. */
function getUsage(
  usageByCustomer: UsageByCustomer,
  customer: string,
): CustomerUsage {
  const existing = usageByCustomer.get(customer);
  if (existing !== undefined) return existing;
  const usage: CustomerUsage = {
    window: new UsageWindow(),
    knownRatio: 0,
    consumed: 0,
    reported: 0,
  };
  usageByCustomer.set(customer, usage);
  return usage;
}

/**
 * Notes how many VMs' use is known. Those that fall silent take their even part
 * of what was used along, and bring it back.
 */
function updateKnownRatio(usage: CustomerUsage, share: LimitShare): void {
  const reportingFraction = (share.reportingPeers + 1) / share.vmCount;
  if (usage.knownRatio === reportingFraction) return;
  if (usage.knownRatio > 0)
    usage.window.applyFactor(reportingFraction / usage.knownRatio);
  usage.knownRatio = reportingFraction;
}

/** Returns by how much a customer's use passes its limit; below 0: not. */
function getExcessUsage(
  usage: CustomerUsage,
  limit: WindowLimit,
  share: LimitShare,
  nowMs: number,
): number {
  const {knownRatio, window} = usage;
  const {windowMs} = share.bounds;
  // The monotonic clock begins with the process.
  const ageMs = nowMs;
  if (ageMs < windowMs) {
    const allowed = limit.startRatePerMs * ageMs * knownRatio;
    const excessUnits = window.getExcessUnits(windowMs, nowMs, () => allowed);
    return Math.min(
      excessUnits,
      usage.consumed - getStartAllowance(limit, share),
    );
  }
  // Before a partition its sides may have used more than their even parts.
  const effectiveLimit = knownRatio < 1 ? {...limit, tolerated: 0} : limit;
  return window.getExcessUnits(
    windowMs,
    nowMs,
    spanMs => getSpanLimit(effectiveLimit, windowMs, spanMs) * knownRatio,
  );
}

/**
 * Takes units of a customer's limit. Returns 0, or the time after which there
 * will be room, in ms. The last request may pass the limit, so that large ones
 * are not left behind small ones.
 */
export function consumeUnits(
  usageByCustomer: UsageByCustomer,
  customer: string,
  limit: CustomerLimit,
  units: number,
  share: LimitShare,
  nowMs: number,
): number {
  const usage = getUsage(usageByCustomer, customer);
  updateKnownRatio(usage, share);
  const {windowMs} = share.bounds;
  const windowLimit = createWindowLimit(limit, share.bounds);
  const excessUnits = getExcessUsage(usage, windowLimit, share, nowMs);
  // Each peer is taken to have used as much as this VM since their last news.
  const unreportedUnits =
    (usage.consumed - usage.reported) * share.reportingPeers;
  if (excessUnits + unreportedUnits >= 0) {
    const perMs = (windowLimit.configured / windowMs) * usage.knownRatio;
    return Math.max(1, (excessUnits + unreportedUnits + units) / perMs);
  }
  usage.window.add(units, nowMs);
  usage.consumed += units;
  return 0;
}

/** Gives back the units of a request that did not run. */
export function refundUnits(
  usageByCustomer: UsageByCustomer,
  customer: string,
  units: number,
  nowMs: number,
): void {
  const usage = usageByCustomer.get(customer);
  if (usage === undefined || units === 0) return;
  usage.window.add(-units, nowMs);
  usage.consumed -= units;
}

/** Counts the use of another VM. */
export function addPeerUsage(
  usageByCustomer: UsageByCustomer,
  customer: string,
  units: number,
  nowMs: number,
): void {
  getUsage(usageByCustomer, customer).window.add(units, nowMs);
}
