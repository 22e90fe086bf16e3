/**
 * Reads the time. The code of `ryeworksd` and of the stand-ins reads it in no
 * other way.
 */
export interface Clock {
  /** Returns the monotonic time, in ms. */
  readNowMs(): number;
  /** Returns the wall-clock time, in ms since 1970. */
  readWallClockMs(): number;
}

/** The clock of this machine. */
export const systemClock: Clock = {
  readNowMs: () => performance.now(),
  readWallClockMs: () => Date.now(),
};
