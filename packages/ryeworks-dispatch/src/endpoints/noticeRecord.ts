/** What answers, peers and the store have stated about one process of an endpoint. */
export interface NoticeRecord {
  /** When the process started, in ms since 1970; 0 if unknown. */
  startedAtMs: number;
  /**
   * When an answer to this VM first stated that the endpoint is leaving, in ms;
   * Infinity if none did.
   */
  leavingSinceMs: number;
  /** When a peer or the store last told that, in ms; -Infinity if none did. */
  leavingReportedAtMs: number;
  /** When an answer to this VM last did not state it, in ms. */
  stayingAtMs: number;
  /** End of the pause that it asked this VM for, in ms; 0 if none. */
  pausedUntilMs: number;
  /** First era in which the store listed it as draining; undefined if in none. */
  drainingEra: number | undefined;
  /** Era in which the store removed it; undefined if it has not. */
  removedEra: number | undefined;
}

/** Time for which a peer's report that an endpoint is leaving applies, in ms. */
const leavingReportMs = 5000;
/**
 * Time after an answer that does not state a leaving for which peers' reports are
 * ignored, in ms: a digest may wait at two relays.
 */
const reportSlackMs = 1200;

/** Creates the notices of a process that has stated nothing. */
export function createNoticeRecord(startedAtMs: number): NoticeRecord {
  return {
    startedAtMs,
    leavingSinceMs: Number.POSITIVE_INFINITY,
    leavingReportedAtMs: Number.NEGATIVE_INFINITY,
    stayingAtMs: Number.NEGATIVE_INFINITY,
    pausedUntilMs: 0,
    drainingEra: undefined,
    removedEra: undefined,
  };
}

/** Returns whether an answer to this VM stated that the endpoint is leaving. */
export function hasStatedLeaving(notices: NoticeRecord): boolean {
  return Number.isFinite(notices.leavingSinceMs);
}

/** Returns whether a peer's report that the endpoint is leaving applies. */
export function isReportedLeaving(
  notices: NoticeRecord,
  nowMs: number,
): boolean {
  return nowMs - notices.leavingReportedAtMs <= leavingReportMs;
}

/**
 * Records a peer's report that the endpoint is leaving, unless a recent answer
 * to this VM contradicts it. Returns whether the report is news.
 */
export function recordLeavingReport(
  notices: NoticeRecord,
  nowMs: number,
): boolean {
  if (nowMs - notices.stayingAtMs <= reportSlackMs) return false;
  const isNews =
    !hasStatedLeaving(notices) && !isReportedLeaving(notices, nowMs);
  notices.leavingReportedAtMs = nowMs;
  return isNews;
}

/**
 * Returns whether notices, or the entry of an endpoint, belong to a process that
 * started at the given time. A start time that is not known tells no restart.
 */
export function isSameStart(
  {startedAtMs: knownMs}: Pick<NoticeRecord, 'startedAtMs'>,
  startedAtMs: number,
): boolean {
  return knownMs === startedAtMs || knownMs === 0 || startedAtMs === 0;
}
