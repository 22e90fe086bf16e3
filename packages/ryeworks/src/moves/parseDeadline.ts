import {InvalidConfigError} from '@ryeworks/types';

/** Length of each time unit, in ms. */
const unitsMs: Readonly<Record<string, number>> = {
  s: 1000,
  m: 60_000,
  h: 3_600_000,
};

/**
 * Parses a deadline, either a time such as `2030-01-31T06:00Z` or a duration
 * from now such as `+20m`. Returns wall-clock time, in ms since 1970.
 */
export function parseDeadline(text: string, wallClockMs: number): number {
  const relative = /^\+(\d+)([smh])$/.exec(text);
  const atMs =
    relative === null
      ? Date.parse(text)
      : wallClockMs + Number(relative[1]) * unitsMs[relative[2]];
  if (Number.isNaN(atMs)) {
    throw new InvalidConfigError(
      `"${text}" is not a deadline. Use +20m, +2h or 2030-01-31T06:00Z.`,
    );
  }
  if (atMs > wallClockMs) return atMs;
  throw new InvalidConfigError(`the deadline ${text} is in the past`);
}
