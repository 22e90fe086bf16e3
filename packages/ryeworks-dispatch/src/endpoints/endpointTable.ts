import {Endpoint} from './endpoint.js';

/** Weight of an outcome in the share of failures. */
const outcomeWeight = 0.1;
/** First and longest rest of an endpoint that does not answer, in ms. */
const initialCooldownMs = 250;
const maxCooldownMs = 1000;

/** Cut calls in a row that do not rest an endpoint. */
export const toleratedCuts = 1;

/** What this VM knows of one endpoint. */
export interface EndpointEntry {
  endpoint: Endpoint;
  /** Calls of this VM that run or wait there. */
  inFlight: number;
  /** Mean time to the first event of a standard prompt, in ms; 0: unknown. */
  firstEventMs: number;
  /** Running mean of the time between events, in ms; 0: none. */
  eventGapMs: number;
  /** Share of the latest calls that failed, 0 to 1. */
  failureRate: number;
  /** Calls in a row that got no answer at all. */
  consecutiveUnanswered: number;
  /** No calls go there before this time, in ms. */
  cooldownUntilMs: number;
  /** Whether its entry disappeared without notice. */
  isMissing: boolean;
}

/** All endpoints that this VM may use, by id and by service. */
export interface EndpointTable {
  readonly byId: Map<string, EndpointEntry>;
  readonly byService: Map<string, Map<string, EndpointEntry>>;
}

/** Creates an empty book. */
export function createEndpointTable(): EndpointTable {
  return {byId: new Map(), byService: new Map()};
}

/** Creates the entry of an endpoint that was never used. */
function createEntry(endpoint: Endpoint): EndpointEntry {
  return {
    endpoint,
    inFlight: 0,
    firstEventMs: 0,
    eventGapMs: 0,
    failureRate: 0,
    consecutiveUnanswered: 0,
    cooldownUntilMs: 0,
    isMissing: false,
  };
}

/** Tells whether an entry is of another run of the same endpoint. */
function isRestarted(existing: Endpoint, listed: Endpoint): boolean {
  if (existing.service !== listed.service) return true;
  if (existing.address !== listed.address) return true;
  return existing.startedAtMs !== listed.startedAtMs;
}

/** Adds an endpoint or brings its new listing into the book. */
export function updateEndpoint(table: EndpointTable, endpoint: Endpoint): void {
  const existing = table.byId.get(endpoint.id);
  if (existing !== undefined && !isRestarted(existing.endpoint, endpoint)) {
    existing.endpoint = endpoint;
    existing.isMissing = false;
    return;
  }
  if (existing !== undefined) removeEndpoint(table, endpoint.id);
  const entry = createEntry(endpoint);
  table.byId.set(endpoint.id, entry);
  const serviceEntries = table.byService.get(endpoint.service) ?? new Map();
  serviceEntries.set(endpoint.id, entry);
  table.byService.set(endpoint.service, serviceEntries);
}

/** Takes an endpoint out of the book. */
export function removeEndpoint(table: EndpointTable, id: string): void {
  const existing = table.byId.get(id);
  if (existing === undefined) return;
  table.byId.delete(id);
  table.byService.get(existing.endpoint.service)?.delete(id);
}

/** Returns the endpoints of a service. */
export function listEndpoints(
  table: EndpointTable,
  service: string,
): Iterable<EndpointEntry> {
  return table.byService.get(service)?.values() ?? [];
}

/** Learns whether a call that was answered or broke off went well. */
export function recordOutcome(entry: EndpointEntry, isSuccess: boolean): void {
  const sample = isSuccess ? 0 : 1;
  entry.failureRate += (sample - entry.failureRate) * outcomeWeight;
  if (isSuccess) entry.consecutiveUnanswered = 0;
}

/**
 * Rests an endpoint that gave no answer, longer each time.
 *
 * @param tolerated such calls in a row that mean nothing yet
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
