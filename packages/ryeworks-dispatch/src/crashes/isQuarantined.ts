import {CrashTable, Quarantine} from './crashTable.js';
import {quarantineMs} from './partRecords.js';
import {
  hasAllParts,
  isMostlyQuarantined,
  ServicePrompt,
} from './recentPrompts.js';

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
  {service, sharedParts}: ServicePrompt,
  nowMs: number,
): Quarantine | undefined {
  if (sharedParts.length === 0) return undefined;
  const quarantine = table.quarantines.find(
    parts => hasAllParts(sharedParts, parts) && !isExpired(table, parts, nowMs),
  );
  if (quarantine === undefined) return undefined;
  return isMostlyQuarantined(table, service) ? undefined : quarantine;
}

/** Returns whether a prompt must not be sent to endpoints. */
export function isQuarantined(
  table: CrashTable,
  prompt: ServicePrompt,
  nowMs: number,
): boolean {
  return findQuarantine(table, prompt, nowMs) !== undefined;
}
