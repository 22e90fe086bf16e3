import {AnswerBuffer} from './answerBuffer.js';

/**
 * The answers of this VM by request. Those with an idempotency key are kept
 * for a time within a limit of bytes, so that a retry can have them.
 */
export class AnswerRegistry {
  private readonly answers = new Map<string, AnswerBuffer>();
  private readonly expiryTimers = new Map<string, NodeJS.Timeout>();
  private cachedBytes = 0;

  constructor(
    private readonly maxCachedBytes: number,
    private readonly cacheDurationMs: number,
  ) {}

  /** Creates the answer of a request. */
  create(requestId: string, isKept: boolean): AnswerBuffer {
    const answer = new AnswerBuffer(isKept);
    this.answers.set(requestId, answer);
    answer.onEnd = () => this.handleAnswerEnd(requestId, answer);
    return answer;
  }

  /** Finds the answer of a request. */
  find(requestId: string): AnswerBuffer | undefined {
    return this.answers.get(requestId);
  }

  /** Returns how many answers are still going on. */
  countOpen(): number {
    return this.answers.size - this.expiryTimers.size;
  }

  /** Forgets every answer. */
  dispose(): void {
    for (const timer of this.expiryTimers.values()) clearTimeout(timer);
    this.expiryTimers.clear();
    this.answers.clear();
  }

  /** Keeps or forgets an answer that has ended. */
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
