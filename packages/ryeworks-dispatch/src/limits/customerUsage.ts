import {getOrCreate} from '@ryeworks/utils';
import {CustomerLimit} from '../desired/desiredState.js';
import {UsageWindow} from './usageWindow.js';

/**
 * Fraction of the tolerated overrun that VMs grant; the rest covers delayed
 * reports.
 */
const toleranceFraction = 0.45;
/** Fraction of the tolerated overrun that VMs may grant after their start. */
const startToleranceFraction = 0.3;
/**
 * Fraction of the configured rate that VMs grant in the first window after
 * start.
 */
const startRateFraction = 1;

/** Fraction of all VMs that do not report at which no overrun is granted. */
const maxUnknownRatio = 1 / 8;

/** Time span of the recent rate of usage, in ms. */
const recentUsageMs = 500;
/**
 * Report delay at which no overrun is granted in a whole window, in ms. With a
 * longer one, less than the limit is granted.
 */
const overrunReportDelayMs = 600;

/** Bounds within which the limits of customers are enforced. */
export interface LimitBounds {
  /**
   * Length of the window over which usage is compared with the limit, in ms.
   */
  readonly windowMs: number;
  /** Tolerated usage beyond a limit, as a fraction of the limit. */
  readonly overrunRatio: number;
  /** Further units beyond a limit that are tolerated in each window. */
  readonly allowance: number;
}

/**
 * Values that determine which share of a customer's limit this VM may grant.
 */
export interface LimitShare {
  readonly bounds: LimitBounds;
  /** Number of other VMs whose usage is currently reported to this VM. */
  readonly reportingPeers: number;
  /** Number of all VMs, including this one. */
  readonly vmCount: number;
  /** Time until usage is known to other VMs, in ms. */
  readonly reportDelayMs: number;
}

/**
 * Recent usage of one customer, at this VM and at the peers that report to it.
 * The VMs that do not report are left an equal share of the limit each, so that
 * all sides of a partition together stay within the limit.
 */
export interface CustomerUsage {
  readonly window: UsageWindow;
  /**
   * Fraction of all VMs whose usage is known here, including this VM, 0 to 1.
   */
  knownRatio: number;
  /** Units that this VM has granted since it started. */
  consumed: number;
  /** Of these, the units that have been reported to the other VMs. */
  reported: number;
  /** When a change of them was last reported, in ms; -Infinity if none was. */
  changeReportedAtMs: number;
}

/** Usage by customer name. */
export type UsageByCustomer = Map<string, CustomerUsage>;

/** The units of a limit for one window. */
interface WindowLimit {
  /** Units that the configured rate and burst allow. */
  readonly configured: number;
  /** Tolerated overrun, in units. */
  readonly tolerated: number;
  /** Units per ms that VMs may grant in the first window after their start. */
  readonly startRatePerMs: number;
}

/** Creates the limit for one window. */
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
 * Returns the units that may be used in a time span no longer than a window.
 * Together with those that VMs starting after the span may grant in the rest of
 * the window, they do not exceed the limit, so that a restart of all VMs does
 * not exceed it.
 */
function getSpanLimit(
  limit: WindowLimit,
  windowMs: number,
  spanMs: number,
): number {
  const windowUnits = limit.configured + limit.tolerated * toleranceFraction;
  return windowUnits - limit.startRatePerMs * (windowMs - spanMs);
}

/**
 * Returns the units that this VM may grant after its start in addition to the
 * rate. This is only its own share, so that VMs that start one after the other
 * do not each grant the full amount.
 */
function getStartAllowance(limit: WindowLimit, share: LimitShare): number {
  return (limit.tolerated * startToleranceFraction) / share.vmCount;
}

/** Returns the usage of a customer; creates it on first use. */
function getUsage(
  usageByCustomer: UsageByCustomer,
  customer: string,
): CustomerUsage {
  return getOrCreate(usageByCustomer, customer, () => ({
    window: new UsageWindow(),
    knownRatio: 0,
    consumed: 0,
    reported: 0,
    changeReportedAtMs: Number.NEGATIVE_INFINITY,
  }));
}

/**
 * Updates the fraction of VMs whose usage is known. When VMs stop reporting, an
 * equal share of the recorded usage is removed for each of them; when they
 * report again, it is added back.
 */
function updateKnownRatio(usage: CustomerUsage, share: LimitShare): void {
  const ratio = (share.reportingPeers + 1) / share.vmCount;
  if (usage.knownRatio === ratio) return;
  if (usage.knownRatio > 0) usage.window.applyFactor(ratio / usage.knownRatio);
  usage.knownRatio = ratio;
}

/**
 * Returns the units that may be used in a whole window. The later usage is known,
 * the more of the tolerated overrun is kept for what is not known yet.
 */
function getWindowUnits(
  {configured, tolerated}: WindowLimit,
  {reportDelayMs}: LimitShare,
): number {
  const fraction = 1 - reportDelayMs / overrunReportDelayMs;
  const grantedFraction = Math.max(-1, fraction);
  return configured + tolerated * toleranceFraction * grantedFraction;
}

/**
 * Returns the fraction of the tolerated overrun that may be granted. Before a
 * partition, each side may have used more than its equal share, so that none is
 * granted while many VMs do not report. In a large fleet, single VMs are always
 * late.
 */
function getOverrunFactor(knownRatio: number): number {
  return Math.max(0, 1 - (1 - knownRatio) / maxUnknownRatio);
}

/**
 * Returns the units by which usage exceeds the limit; negative if it does not.
 */
function getExcessUsage(
  usage: CustomerUsage,
  limit: WindowLimit,
  share: LimitShare,
  nowMs: number,
): number {
  const {knownRatio, window} = usage;
  const {windowMs} = share.bounds;
  // The monotonic clock starts at 0 with the process.
  const ageMs = nowMs;
  if (ageMs < windowMs) {
    const allowed = limit.startRatePerMs * ageMs * knownRatio;
    const excessUnits = window.getExcessUnits(windowMs, nowMs, () => allowed);
    return Math.min(
      excessUnits,
      usage.consumed - getStartAllowance(limit, share),
    );
  }
  const tolerated = limit.tolerated * getOverrunFactor(knownRatio);
  const effectiveLimit = {...limit, tolerated};
  const windowUnits = getWindowUnits(effectiveLimit, share);
  return window.getExcessUnits(windowMs, nowMs, spanMs => {
    const spanUnits = getSpanLimit(effectiveLimit, windowMs, spanMs);
    return Math.min(spanUnits, windowUnits) * knownRatio;
  });
}

/**
 * Estimates the units that peers have used beyond what the known usage shows. It
 * lags behind, which matters while usage rises: the difference goes on at its
 * recent rate. Each peer may also have used as much as this VM since the last
 * report.
 */
function estimateUnreportedUnits(
  {consumed, reported, window}: CustomerUsage,
  {bounds, reportDelayMs, reportingPeers}: LimitShare,
  nowMs: number,
): number {
  const recentPerMs = window.getRatePerMs(recentUsageMs, nowMs);
  const meanPerMs = window.getRatePerMs(bounds.windowMs, nowMs);
  const risePerMs = Math.max(0, recentPerMs - meanPerMs);
  const riseUnits = risePerMs * reportDelayMs;
  return Math.max(riseUnits, (consumed - reported) * reportingPeers);
}

/**
 * Consumes units of a customer's limit. Returns 0 if they were granted,
 * otherwise the time after which they can be granted, in ms. The last granted
 * request may exceed the limit, so that large requests are not starved by small
 * ones.
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
  const unreportedUnits = estimateUnreportedUnits(usage, share, nowMs);
  if (excessUnits + unreportedUnits >= 0) {
    const perMs = (windowLimit.configured / windowMs) * usage.knownRatio;
    return Math.max(1, (excessUnits + unreportedUnits + units) / perMs);
  }
  usage.window.add(units, nowMs);
  usage.consumed += units;
  return 0;
}

/** Refunds the units of a request that did not run. */
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

/** Adds usage that another VM has reported. */
export function addPeerUsage(
  usageByCustomer: UsageByCustomer,
  customer: string,
  units: number,
  nowMs: number,
): void {
  getUsage(usageByCustomer, customer).window.add(units, nowMs);
}
