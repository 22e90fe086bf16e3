import {EndpointBook} from './endpointBook.js';

/** Time without any answer from a zone after which it is doubted, in ms. */
const doubtAfterMs = 250;
/** Time for which no endpoint of a doubted zone is tried, in ms. */
const zoneRestMs = 300;

/** When each availability zone's endpoints last answered, in ms. */
export type ZoneReach = Map<string, number>;

/** Notes that an endpoint of a zone answered. */
export function recordZoneAnswer(
  reach: ZoneReach,
  zone: string,
  nowMs: number,
): void {
  reach.set(zone, nowMs);
}

/**
 * Rests all endpoints of a zone when one of them cannot be reached and none has
 * answered lately: the zone is then likely cut off, and trying its endpoints one
 * by one would cost each request a connection timeout.
 */
export function restUnreachedZone(
  reach: ZoneReach,
  book: EndpointBook,
  zone: string,
  nowMs: number,
): boolean {
  const answeredAtMs = reach.get(zone) ?? Number.NEGATIVE_INFINITY;
  if (nowMs - answeredAtMs <= doubtAfterMs) return false;
  const untilMs = nowMs + zoneRestMs;
  for (const entry of book.byId.values()) {
    if (entry.endpoint.availabilityZone !== zone) continue;
    entry.restUntilMs = Math.max(entry.restUntilMs, untilMs);
  }
  return true;
}
