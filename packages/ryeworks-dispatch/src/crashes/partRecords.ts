import {removeOldest} from '@ryeworks/utils';
import {CrashTable, PartRecord} from './crashTable.js';

/**
 * Time after which a part is forgotten if no request had it, in ms. Until then,
 * a quarantine goes on.
 */
export const quarantineMs = 600_000;
/**
 * Maximum number of parts that are recorded: more than a prompt has, so that no
 * part of it takes the place of another.
 */
const maxRecords = 4096;
/** Maximum number of crashes that are recorded for a part, the newest ones. */
const maxCrashes = 64;

/** Removes the oldest of the records with the fewest crashes. */
function removeLeastRecord({records}: CrashTable): void {
  let least: string | undefined;
  let fewest = Number.POSITIVE_INFINITY;
  for (const [part, {crashes}] of records) {
    if (crashes.size >= fewest) continue;
    least = part;
    fewest = crashes.size;
  }
  if (least !== undefined) records.delete(least);
}

/** Returns the record of a part; creates it, in place of another if need be. */
function getOrCreateRecord(table: CrashTable, part: string): PartRecord {
  const existing = table.records.get(part);
  if (existing !== undefined) return existing;
  if (table.records.size >= maxRecords) removeLeastRecord(table);
  const record = {
    crashes: new Map(),
    lastSeenAtMs: Number.NEGATIVE_INFINITY,
    reportedAtMs: Number.NEGATIVE_INFINITY,
    observedAtMs: Number.NEGATIVE_INFINITY,
  };
  table.records.set(part, record);
  return record;
}

/**
 * Records the crash of a process under a part. Returns whether it is news.
 *
 * @param learnedAtMs since when this VM knows of it
 */
export function addCrash(
  table: CrashTable,
  part: string,
  process: string,
  learnedAtMs: number,
): boolean {
  const {crashes} = getOrCreateRecord(table, part);
  if (crashes.has(process)) return false;
  crashes.set(process, learnedAtMs);
  if (crashes.size > maxCrashes) removeOldest(crashes);
  return true;
}

/** Records that a request with some parts came now. */
export function recordSeen(
  {records}: CrashTable,
  parts: readonly string[],
  nowMs: number,
): void {
  for (const part of parts) {
    const record = records.get(part);
    if (record !== undefined) record.lastSeenAtMs = nowMs;
  }
}

/** Forgets the parts that no request had for a long time. */
export function dropOldRecords(table: CrashTable, nowMs: number): void {
  for (const [part, {lastSeenAtMs}] of table.records) {
    if (nowMs - lastSeenAtMs > quarantineMs) table.records.delete(part);
  }
}
