import {AnswerFailure, AnswerSink} from './answerSink.js';

/** How an answer ended; undefined while it goes on. */
type AnswerResult = 'complete' | AnswerFailure | undefined;

/**
 * Passes an answer to its readers. When it is kept, a reader that comes later
 * gets all of it from the start.
 */
export class AnswerBuffer implements AnswerSink {
  private readonly sinks = new Set<AnswerSink>();
  private readonly chunks: Buffer[] = [];
  private head: {status: number; contentType: string} | undefined;
  private result: AnswerResult;
  /** Bytes that are kept. */
  sizeBytes = 0;
  /** Called once when the answer has ended. */
  onEnd: () => void = () => {};

  constructor(readonly isCached: boolean) {}

  /** Adds a reader and gives it what has come so far. */
  addSink(sink: AnswerSink): void {
    if (this.head !== undefined) {
      sink.writeHead(this.head.status, this.head.contentType);
    }
    for (const chunk of this.chunks) sink.writeBody(chunk);
    if (this.result === 'complete') sink.end();
    else if (this.result !== undefined) sink.fail(this.result);
    else this.sinks.add(sink);
  }

  /** Removes a reader that left. */
  removeSink(sink: AnswerSink): void {
    this.sinks.delete(sink);
  }

  /** Whether the answer has ended. */
  get hasEnded(): boolean {
    return this.result !== undefined;
  }

  writeHead(status: number, contentType: string): void {
    if (this.head !== undefined || this.hasEnded) return;
    this.head = {status, contentType};
    for (const sink of this.sinks) sink.writeHead(status, contentType);
  }

  writeBody(chunk: Buffer): void {
    if (this.hasEnded) return;
    if (this.isCached) {
      this.chunks.push(chunk);
      this.sizeBytes += chunk.length;
    }
    for (const sink of this.sinks) sink.writeBody(chunk);
  }

  end(): void {
    if (this.hasEnded) return;
    this.result = 'complete';
    for (const sink of this.sinks) sink.end();
    this.sinks.clear();
    this.onEnd();
  }

  fail(failure: AnswerFailure): void {
    if (this.hasEnded) return;
    this.result = failure;
    for (const sink of this.sinks) sink.fail(failure);
    this.sinks.clear();
    this.onEnd();
  }
}
