import {timingSafeEqual} from 'node:crypto';

/**
 * Returns whether an `authorization` header contains the expected bearer token.
 * Compares in constant time, so that timing reveals nothing about the token.
 */
export function matchesBearerToken(
  header: string | undefined,
  expectedToken: string,
): boolean {
  const actual = Buffer.from(header ?? '');
  const expected = Buffer.from(`Bearer ${expectedToken}`);
  return actual.length === expected.length && timingSafeEqual(actual, expected);
}
