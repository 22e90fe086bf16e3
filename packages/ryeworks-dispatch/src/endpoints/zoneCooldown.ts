import {EndpointTable} from './endpointTable.js';

/** Time without any answer from a zone after which it is doubted, in ms. */
const suspectAfterMs = 250;
/** Time for which no endpoint of a doubted zone is tried, in ms. */
const zoneCooldownMs = 300;

/** When each availability zone's endpoints last answered, in ms. */
export type LastZoneAnswers = Map<string, number>;

/** Notes that an endpoint of a zone answered. */
export function recordZoneAnswer(
  lastAnswers: LastZoneAnswers,
  zone: string,
  nowMs: number,
): void {
  lastAnswers.set(zone, nowMs);
}

/**
 * Rests all endpoints of a zone when one of them cannot be reached and none has
 * answered lately: the zone is then likely cut off, and trying its endpoints one
 * by one would cost each request a connection timeout.
 */
export function startZoneCooldown(
  lastAnswers: LastZoneAnswers,
  table: EndpointTable,
  zone: string,
  nowMs: number,
): boolean {
  const answeredAtMs = lastAnswers.get(zone) ?? Number.NEGATIVE_INFINITY;
  if (nowMs - answeredAtMs <= suspectAfterMs) return false;
  const untilMs = nowMs + zoneCooldownMs;
  for (const entry of table.byId.values()) {
    if (entry.endpoint.availabilityZone !== zone) continue;
    entry.cooldownUntilMs = Math.max(entry.cooldownUntilMs, untilMs);
  }
  return true;
}
