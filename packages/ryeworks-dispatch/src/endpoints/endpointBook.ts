import {Endpoint} from './endpoint.js';

/** Weight of an outcome in the share of failures. */
const outcomeWeight = 0.1;
/** First and longest rest of an endpoint that does not answer, in ms. */
const firstRestMs = 250;
const longestRestMs = 1000;

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
  failureShare: number;
  /** Calls in a row that got no answer at all. */
  unansweredInRow: number;
  /** No calls go there before this time, in ms. */
  restUntilMs: number;
  /** Whether its entry disappeared without notice. */
  isMissing: boolean;
}

/** All endpoints that this VM may use, by id and by service. */
export interface EndpointBook {
  readonly byId: Map<string, EndpointEntry>;
  readonly byService: Map<string, Map<string, EndpointEntry>>;
}

/** Creates an empty book. */
export function createEndpointBook(): EndpointBook {
  return {byId: new Map(), byService: new Map()};
}

/** Creates the entry of an endpoint that was never used. */
function createEntry(endpoint: Endpoint): EndpointEntry {
  return {
    endpoint,
    inFlight: 0,
    firstEventMs: 0,
    eventGapMs: 0,
    failureShare: 0,
    unansweredInRow: 0,
    restUntilMs: 0,
    isMissing: false,
  };
}

/** Tells whether an entry is of another run of the same endpoint. */
function isRestarted(known: Endpoint, listed: Endpoint): boolean {
  if (known.service !== listed.service) return true;
  if (known.address !== listed.address) return true;
  return known.startedAtMs !== listed.startedAtMs;
}

/** Adds an endpoint or brings its new listing into the book. */
export function updateEndpoint(book: EndpointBook, endpoint: Endpoint): void {
  const known = book.byId.get(endpoint.id);
  if (known !== undefined && !isRestarted(known.endpoint, endpoint)) {
    known.endpoint = endpoint;
    known.isMissing = false;
    return;
  }
  if (known !== undefined) removeEndpoint(book, endpoint.id);
  const entry = createEntry(endpoint);
  book.byId.set(endpoint.id, entry);
  const siblings = book.byService.get(endpoint.service) ?? new Map();
  siblings.set(endpoint.id, entry);
  book.byService.set(endpoint.service, siblings);
}

/** Takes an endpoint out of the book. */
export function removeEndpoint(book: EndpointBook, id: string): void {
  const known = book.byId.get(id);
  if (known === undefined) return;
  book.byId.delete(id);
  book.byService.get(known.endpoint.service)?.delete(id);
}

/** Returns the endpoints of a service. */
export function listEndpoints(
  book: EndpointBook,
  service: string,
): Iterable<EndpointEntry> {
  return book.byService.get(service)?.values() ?? [];
}

/** Learns whether a call that was answered or broke off went well. */
export function learnOutcome(entry: EndpointEntry, isGood: boolean): void {
  const sample = isGood ? 0 : 1;
  entry.failureShare += (sample - entry.failureShare) * outcomeWeight;
  if (isGood) entry.unansweredInRow = 0;
}

/**
 * Rests an endpoint that gave no answer, longer each time.
 *
 * @param tolerated such calls in a row that mean nothing yet
 */
export function learnNoAnswer(
  entry: EndpointEntry,
  tolerated: number,
  nowMs: number,
): void {
  entry.unansweredInRow += 1;
  const excess = entry.unansweredInRow - tolerated - 1;
  if (excess < 0) return;
  const restMs = Math.min(longestRestMs, firstRestMs * 2 ** excess);
  entry.restUntilMs = nowMs + restMs;
}
