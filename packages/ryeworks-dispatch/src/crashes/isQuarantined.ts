import {CrashTable, Quarantine} from './crashTable.js';
import {quarantineMs} from './partRecords.js';

/** Returns whether a quarantine is over: no request had its parts for long. */
function isExpired(
  {records}: CrashTable,
  parts: Quarantine,
  nowMs: number,
): boolean {
  return parts.some(part => {
    const record = records.get(part);
    return record === undefined || nowMs - record.lastSeenAtMs > quarantineMs;
  });
}

/**
 * Returns the quarantine that keeps a prompt from endpoints; undefined if none
 * does.
 */
export function findQuarantine(
  table: CrashTable,
  sharedParts: readonly string[],
  nowMs: number,
): Quarantine | undefined {
  if (sharedParts.length === 0) return undefined;
  return table.quarantines.find(
    parts =>
      parts.every(part => sharedParts.includes(part)) &&
      !isExpired(table, parts, nowMs),
  );
}

/** Returns whether a prompt must not be sent to endpoints. */
export function isQuarantined(
  table: CrashTable,
  sharedParts: readonly string[],
  nowMs: number,
): boolean {
  return findQuarantine(table, sharedParts, nowMs) !== undefined;
}
