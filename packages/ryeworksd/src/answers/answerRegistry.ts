import {AnswerBuffer} from './answerBuffer.js';

/**
 * Answers of this VM by request ID. The answer to a request with an idempotency
 * key stays cached after its end, for a limited time and within a limit on the
 * total size, so that a retry can receive it.
 */
export class AnswerRegistry {
  private readonly answers = new Map<string, AnswerBuffer>();
  private readonly expiryTimers = new Map<string, NodeJS.Timeout>();
  private cachedBytes = 0;

  constructor(
    private readonly maxCachedBytes: number,
    private readonly cacheDurationMs: number,
  ) {}

  /** Creates and registers the answer to a request. */
  create(requestId: string, isCached: boolean): AnswerBuffer {
    const answer = new AnswerBuffer(isCached);
    this.answers.set(requestId, answer);
    answer.onEnd = () => this.handleAnswerEnd(requestId, answer);
    return answer;
  }

  /** Finds the answer to a request that is in progress or cached. */
  find(requestId: string): AnswerBuffer | undefined {
    return this.answers.get(requestId);
  }

  /** Returns the number of answers that have not ended. */
  countOpen(): number {
    return this.answers.size - this.expiryTimers.size;
  }

  /** Removes every answer and stops the expiry timers. */
  dispose(): void {
    for (const timer of this.expiryTimers.values()) clearTimeout(timer);
    this.expiryTimers.clear();
    this.answers.clear();
  }

  /**
   * Keeps an ended answer in the cache, or removes it if it is not to be cached.
   * Evicts the oldest cached answers if the cache exceeds its size limit.
   */
  private handleAnswerEnd(requestId: string, answer: AnswerBuffer): void {
    if (!answer.isCached) {
      this.answers.delete(requestId);
      return;
    }
    this.cachedBytes += answer.sizeBytes;
    const timer = setTimeout(
      () => this.remove(requestId),
      this.cacheDurationMs,
    );
    timer.unref();
    this.expiryTimers.set(requestId, timer);
    for (const oldest of this.expiryTimers.keys()) {
      if (this.cachedBytes <= this.maxCachedBytes) return;
      this.remove(oldest);
    }
  }

  private remove(requestId: string): void {
    clearTimeout(this.expiryTimers.get(requestId));
    this.expiryTimers.delete(requestId);
    this.cachedBytes -= this.answers.get(requestId)?.sizeBytes ?? 0;
    this.answers.delete(requestId);
  }
}
