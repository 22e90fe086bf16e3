import {RateLimit} from '../rateLimits/rateLimit.js';
import {Endpoint} from './endpoint.js';
import {addFormerEntry, consumeFormerEntry} from './formerEntries.js';
import {createNoticeRecord, NoticeRecord} from './noticeRecord.js';

/** Weight of a new outcome in the failure rate. */
const outcomeWeight = 0.1;
/** First and longest cool-down of an endpoint that does not respond, in ms. */
const initialCooldownMs = 250;
const maxCooldownMs = 1000;

/** Consecutive cut calls that do not yet start a cool-down. */
export const toleratedCuts = 1;

/** An endpoint and this VM's statistics about it. */
export interface EndpointEntry {
  endpoint: Endpoint;
  /** Calls from this VM that are running or queued at the endpoint. */
  inFlight: number;
  /**
   * Running mean of the time to the first event, for a prompt of standard
   * length, in ms; 0 if unknown.
   */
  firstEventMs: number;
  /** Running mean of the time between events, in ms; 0 if unknown. */
  eventGapMs: number;
  /** Fraction of recent calls that failed, 0 to 1. */
  failureRate: number;
  /** Consecutive calls that received no response at all. */
  consecutiveUnanswered: number;
  /** End of the cool-down, in ms; no calls are sent before this time. */
  cooldownUntilMs: number;
  /** The rate limit that it has named; undefined if it has none. */
  limit: RateLimit | undefined;
  /**
   * Remaining time of its cold period, in ms, as its entry told when this VM last
   * read something new there.
   */
  listedColdForMs: number;
  /** When that time has passed, in ms; -Infinity if it was never cold. */
  coldUntilMs: number;
  /** When an answer to this VM last named no limit, in ms. */
  unlimitedAtMs: number;
  /** What it has stated about further calls. */
  notices: NoticeRecord;
  /** Whether its entry in the store disappeared, possibly only for a while. */
  isMissing: boolean;
  /** When it was removed from the table, in ms; undefined while it is there. */
  removedAtMs: number | undefined;
}

/** All endpoints that this VM can use, by id and by service. */
export interface EndpointTable {
  readonly byId: Map<string, EndpointEntry>;
  readonly byService: Map<string, Map<string, EndpointEntry>>;
  /**
   * Entries that were removed, by process, the oldest first: one may come back,
   * for example from an older copy of the store.
   */
  readonly formerEntries: Map<string, EndpointEntry>;
}

/** Creates an empty table. */
export function createEndpointTable(): EndpointTable {
  return {byId: new Map(), byService: new Map(), formerEntries: new Map()};
}

/** Creates the entry of an endpoint that has not been used yet. */
function createEntry(endpoint: Endpoint): EndpointEntry {
  return {
    endpoint,
    inFlight: 0,
    firstEventMs: 0,
    eventGapMs: 0,
    failureRate: 0,
    consecutiveUnanswered: 0,
    cooldownUntilMs: 0,
    limit: undefined,
    listedColdForMs: 0,
    coldUntilMs: Number.NEGATIVE_INFINITY,
    unlimitedAtMs: Number.NEGATIVE_INFINITY,
    notices: createNoticeRecord(endpoint.startedAtMs),
    isMissing: false,
    removedAtMs: undefined,
  };
}

/**
 * Returns whether an endpoint was restarted since it was last listed: its
 * service, address or start time differs.
 */
function isRestarted(existing: Endpoint, listed: Endpoint): boolean {
  if (existing.service !== listed.service) return true;
  if (existing.address !== listed.address) return true;
  return existing.startedAtMs !== listed.startedAtMs;
}

/**
 * Returns the entry of a process that is listed again. What it has stated and its
 * calls belong to the process, the statistics to the address.
 */
function resumeEntry(former: EndpointEntry, endpoint: Endpoint): EndpointEntry {
  const {address, startedAtMs} = endpoint;
  const {inFlight, limit, notices, unlimitedAtMs} = former;
  const {coldUntilMs, listedColdForMs} = former;
  // A start time that was known stays: it tells of the next restart.
  if (startedAtMs !== 0) notices.startedAtMs = startedAtMs;
  const statistics =
    address === former.endpoint.address ? former : createEntry(endpoint);
  return Object.assign(statistics, {
    endpoint,
    inFlight,
    limit,
    notices,
    unlimitedAtMs,
    coldUntilMs,
    listedColdForMs,
    isMissing: false,
    removedAtMs: undefined,
  });
}

/**
 * Adds an endpoint or updates its entry; a restart resets the statistics. Returns
 * the entry of a process that was in the table before and is back, otherwise
 * undefined.
 */
export function updateEndpoint(
  table: EndpointTable,
  endpoint: Endpoint,
  nowMs: number,
): EndpointEntry | undefined {
  const existing = table.byId.get(endpoint.id);
  if (existing !== undefined && !isRestarted(existing.endpoint, endpoint)) {
    existing.endpoint = endpoint;
    existing.isMissing = false;
    return undefined;
  }
  if (existing !== undefined) removeEndpoint(table, endpoint.id, nowMs);
  const former = consumeFormerEntry(table, endpoint, nowMs);
  const entry =
    former === undefined
      ? createEntry(endpoint)
      : resumeEntry(former, endpoint);
  table.byId.set(endpoint.id, entry);
  const serviceEntries = table.byService.get(endpoint.service) ?? new Map();
  serviceEntries.set(endpoint.id, entry);
  table.byService.set(endpoint.service, serviceEntries);
  return former === undefined ? undefined : entry;
}

/** Removes an endpoint from the table; its entry is kept for a while. */
export function removeEndpoint(
  table: EndpointTable,
  id: string,
  nowMs: number,
): void {
  const existing = table.byId.get(id);
  if (existing === undefined) return;
  table.byId.delete(id);
  table.byService.get(existing.endpoint.service)?.delete(id);
  addFormerEntry(table, existing, nowMs);
}

/** Returns the endpoints of a service. */
export function listEndpoints(
  table: EndpointTable,
  service: string,
): Iterable<EndpointEntry> {
  return table.byService.get(service)?.values() ?? [];
}

/** Records the success or failure of a call that was answered or cut. */
export function recordOutcome(entry: EndpointEntry, isSuccess: boolean): void {
  const sample = isSuccess ? 0 : 1;
  entry.failureRate += (sample - entry.failureRate) * outcomeWeight;
  if (isSuccess) entry.consecutiveUnanswered = 0;
}

/**
 * Records a call that received no response and starts a cool-down of the
 * endpoint, which doubles each time up to a maximum.
 *
 * @param tolerated number of consecutive such calls that start no cool-down yet
 */
export function recordUnanswered(
  entry: EndpointEntry,
  tolerated: number,
  nowMs: number,
): void {
  entry.consecutiveUnanswered += 1;
  const excess = entry.consecutiveUnanswered - tolerated - 1;
  if (excess < 0) return;
  const cooldownMs = Math.min(maxCooldownMs, initialCooldownMs * 2 ** excess);
  entry.cooldownUntilMs = nowMs + cooldownMs;
}
