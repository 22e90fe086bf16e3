/** Longest pause between two parts of an answer, in ms. */
const maxPauseMs = 1000;
/** Longest duration of an answer from its beginning to its end, in ms. */
const maxDurationMs = 15_000;

/**
 * The time limits of one answer: until it begins, of each pause in it, and of the
 * whole. The last is far above what an answer takes as long as bytes arrive, so
 * that a large answer over a slow link does not fail on each retry.
 */
export class AnswerTimers {
  private progressTimer: NodeJS.Timeout;
  private durationTimer: NodeJS.Timeout | undefined;

  /**
   * Starts the time limit of the beginning.
   *
   * @param timeoutMs time until the answer must begin, in ms
   * @param handleTimeout called with a description when a limit is exceeded
   */
  constructor(
    timeoutMs: number,
    private readonly handleTimeout: (reason: string) => void,
  ) {
    this.progressTimer = setTimeout(
      () => handleTimeout(`no answer in ${timeoutMs} ms`),
      timeoutMs,
    );
  }

  /** Records that the answer has begun. */
  handleBeginning(): void {
    this.durationTimer = setTimeout(
      () => this.handleTimeout(`no complete answer in ${maxDurationMs} ms`),
      maxDurationMs,
    );
    this.handleProgress();
  }

  /** Records that a part of the answer has arrived. */
  handleProgress(): void {
    clearTimeout(this.progressTimer);
    this.progressTimer = setTimeout(
      () => this.handleTimeout(`no bytes in ${maxPauseMs} ms`),
      maxPauseMs,
    );
  }

  /** Ends all limits. */
  stop(): void {
    clearTimeout(this.progressTimer);
    clearTimeout(this.durationTimer);
  }
}
