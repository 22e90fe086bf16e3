import {removeOldest} from '@ryeworks/utils';
import {Endpoint} from './endpoint.js';
import {EndpointEntry, EndpointTable} from './endpointTable.js';
import {isSameStart} from './noticeRecord.js';

/** Number of removed entries that are kept. */
const maxFormerEntries = 2000;
/**
 * Time for which they are kept, in ms: longer than the longest pause, than a
 * leaving process serves, and than the age of a copy of the store.
 */
const formerEntryMs = 600_000;

/** One process of an endpoint. */
export interface EndpointProcess {
  readonly id: string;
  /** When it started, in ms since 1970; 0 if unknown. */
  readonly startedAtMs: number;
}

/** Returns the key of a process. */
function createKey({id, startedAtMs}: EndpointProcess): string {
  return `${id}@${startedAtMs}`;
}

/** Removes the entries that were kept for long enough. */
function expireFormerEntries(
  {formerEntries}: EndpointTable,
  nowMs: number,
): void {
  for (const {removedAtMs} of formerEntries.values()) {
    if (removedAtMs! + formerEntryMs >= nowMs) return;
    removeOldest(formerEntries);
  }
}

/** Keeps an entry that was removed from the table, the newest ones only. */
export function addFormerEntry(
  table: EndpointTable,
  entry: EndpointEntry,
  nowMs: number,
): void {
  const {formerEntries} = table;
  const {id} = entry.endpoint;
  const key = createKey({id, startedAtMs: entry.notices.startedAtMs});
  entry.removedAtMs = nowMs;
  formerEntries.delete(key);
  formerEntries.set(key, entry);
  expireFormerEntries(table, nowMs);
  if (formerEntries.size > maxFormerEntries) removeOldest(formerEntries);
}

/** Returns the entry that was removed last of those of an endpoint. */
function findNewest(
  {formerEntries}: EndpointTable,
  id: string,
): EndpointEntry | undefined {
  let newest: EndpointEntry | undefined;
  for (const entry of formerEntries.values()) {
    if (entry.endpoint.id === id) newest = entry;
  }
  return newest;
}

/** Returns the removed entry of a process. */
function findFormerEntry(
  table: EndpointTable,
  {id, startedAtMs}: EndpointProcess,
): EndpointEntry | undefined {
  const {formerEntries} = table;
  // A start time that is not known tells no restart.
  if (startedAtMs === 0) return findNewest(table, id);
  return (
    formerEntries.get(createKey({id, startedAtMs})) ??
    formerEntries.get(createKey({id, startedAtMs: 0}))
  );
}

/** Removes the entry of a process from the kept ones and returns it. */
export function consumeFormerEntry(
  table: EndpointTable,
  endpoint: Endpoint,
  nowMs: number,
): EndpointEntry | undefined {
  expireFormerEntries(table, nowMs);
  const entry = findFormerEntry(table, endpoint);
  if (entry === undefined) return undefined;
  const {startedAtMs} = entry.notices;
  table.formerEntries.delete(createKey({id: endpoint.id, startedAtMs}));
  return entry;
}

/** Returns the entry of a process, whether it is in the table or was removed. */
export function findProcessEntry(
  table: EndpointTable,
  process: EndpointProcess,
): EndpointEntry | undefined {
  const entry = table.byId.get(process.id);
  if (entry !== undefined && isSameStart(entry.notices, process.startedAtMs)) {
    return entry;
  }
  return findFormerEntry(table, process);
}
