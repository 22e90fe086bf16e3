import {Tier, tiers} from '@ryeworks/types';
import {IncomingHttpHeaders} from 'node:http';

/** Options of a call that the caller sets in headers. */
export interface CallHeaders {
  readonly tier?: Tier;
  readonly deadlineInMs?: number;
  readonly idempotencyKey?: string;
  /** 1 for a first attempt; undefined when the caller does not specify it. */
  readonly attempt?: number;
  /** Age of an idempotency key that is a UUID version 7, in ms. */
  readonly keyAgeMs?: number;
}

/** Maximum number of characters in an idempotency key. */
const maxIdempotencyKeyLength = 255;
/** UUID version 7, whose first 48 bits are its creation time in ms. */
const uuidV7Pattern =
  /^([0-9a-f]{8})-([0-9a-f]{4})-7[0-9a-f]{3}-[89ab][0-9a-f]{3}-[0-9a-f]{12}$/i;

/** Returns the value of a header sent once; undefined if it is not set. */
function getHeader(
  headers: IncomingHttpHeaders,
  name: string,
): string | undefined {
  const value = headers[name];
  return Array.isArray(value) ? value[0] : value;
}

/** Returns the age of a key that is a UUID version 7, in ms. */
function getKeyAgeMs(key: string, wallClockMs: number): number | undefined {
  const match = uuidV7Pattern.exec(key);
  if (match === null) return undefined;
  const createdMs = Number.parseInt(match[1] + match[2], 16);
  return Math.max(0, Math.round(wallClockMs - createdMs));
}

/**
 * Reads the number of the attempt. Falls back to the retry count that client
 * libraries send.
 */
function readAttempt(headers: IncomingHttpHeaders): number | undefined {
  const attempt = getHeader(headers, 'ryeworks-attempt');
  if (attempt !== undefined) return Number(attempt);
  const retries = getHeader(headers, 'x-stainless-retry-count');
  return retries === undefined ? undefined : Number(retries) + 1;
}

/** Parses the headers of a call. Returns an error text if they are invalid. */
export function readCallHeaders(
  headers: IncomingHttpHeaders,
  wallClockMs: number,
): CallHeaders | string {
  const tierText = getHeader(headers, 'ryeworks-tier');
  const tier = tiers.find(candidate => `${candidate}` === tierText);
  if (tierText !== undefined && tier === undefined) {
    return `Ryeworks-Tier must be one of ${tiers.join(', ')}`;
  }
  const deadlineText = getHeader(headers, 'ryeworks-deadline-ms');
  const deadlineInMs =
    deadlineText === undefined ? undefined : Number(deadlineText);
  if (deadlineInMs !== undefined && !(deadlineInMs > 0)) {
    return 'Ryeworks-Deadline-Ms must be a number above 0';
  }
  const attempt = readAttempt(headers);
  if (attempt !== undefined && !(attempt >= 1)) {
    return 'Ryeworks-Attempt must be a whole number above 0';
  }
  const idempotencyKey = getHeader(headers, 'idempotency-key');
  if (idempotencyKey === undefined) return {tier, deadlineInMs, attempt};
  if (
    idempotencyKey === '' ||
    idempotencyKey.length > maxIdempotencyKeyLength
  ) {
    return `Idempotency-Key must have 1 to ${maxIdempotencyKeyLength} characters`;
  }
  const keyAgeMs = getKeyAgeMs(idempotencyKey, wallClockMs);
  return {tier, deadlineInMs, idempotencyKey, attempt, keyAgeMs};
}
