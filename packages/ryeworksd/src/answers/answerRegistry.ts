import {AnswerBuffer} from './answerBuffer.js';

/**
 * The answers of this VM by request. Those with an idempotency key are kept
 * for a time within a limit of bytes, so that a retry can have them.
 */
export class AnswerRegistry {
  private readonly answers = new Map<string, AnswerBuffer>();
  private readonly keptTimers = new Map<string, NodeJS.Timeout>();
  private keptBytes = 0;

  constructor(
    private readonly maxKeptBytes: number,
    private readonly keepMs: number,
  ) {}

  /** Creates the answer of a request. */
  create(requestId: string, isKept: boolean): AnswerBuffer {
    const answer = new AnswerBuffer(isKept);
    this.answers.set(requestId, answer);
    answer.onEnd = () => this.retire(requestId, answer);
    return answer;
  }

  /** Finds the answer of a request. */
  find(requestId: string): AnswerBuffer | undefined {
    return this.answers.get(requestId);
  }

  /** Returns how many answers are still going on. */
  countOpen(): number {
    return this.answers.size - this.keptTimers.size;
  }

  /** Forgets every answer. */
  dispose(): void {
    for (const timer of this.keptTimers.values()) clearTimeout(timer);
    this.keptTimers.clear();
    this.answers.clear();
  }

  /** Keeps or forgets an answer that has ended. */
  private retire(requestId: string, answer: AnswerBuffer): void {
    if (!answer.isKept) {
      this.answers.delete(requestId);
      return;
    }
    this.keptBytes += answer.sizeBytes;
    const timer = setTimeout(() => this.forget(requestId), this.keepMs);
    timer.unref();
    this.keptTimers.set(requestId, timer);
    for (const oldest of this.keptTimers.keys()) {
      if (this.keptBytes <= this.maxKeptBytes) return;
      this.forget(oldest);
    }
  }

  private forget(requestId: string): void {
    clearTimeout(this.keptTimers.get(requestId));
    this.keptTimers.delete(requestId);
    this.keptBytes -= this.answers.get(requestId)?.sizeBytes ?? 0;
    this.answers.delete(requestId);
  }
}
