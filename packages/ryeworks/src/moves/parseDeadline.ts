import {InvalidConfigError} from '@ryeworks/types';

const unitsMs: Readonly<Record<string, number>> = {
  s: 1000,
  m: 60_000,
  h: 3_600_000,
};

/** Reads a deadline: a time such as 2030-01-31T06:00Z, or +20m from now. */
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
