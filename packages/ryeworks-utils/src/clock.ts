/** Reads the time; the only place that does so in the processes. */
export interface Clock {
  /** Monotonic time, in ms. */
  readNowMs(): number;
  /** Wall-clock time, in ms since 1970. */
  readWallClockMs(): number;
}

/** The clock of this machine. */
export const systemClock: Clock = {
  readNowMs: () => performance.now(),
  readWallClockMs: () => Date.now(),
};
