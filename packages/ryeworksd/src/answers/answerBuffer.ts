import {AnswerFailure, AnswerSink} from './answerSink.js';

/** Outcome of an answer; undefined while it is in progress. */
type AnswerResult = 'complete' | AnswerFailure | undefined;

/**
 * Forwards an answer to any number of sinks. A sink that is added to a cached
 * answer later still receives the whole answer from its start.
 */
export class AnswerBuffer implements AnswerSink {
  private readonly sinks = new Set<AnswerSink>();
  private readonly chunks: Buffer[] = [];
  private head: {status: number; contentType: string} | undefined;
  private result: AnswerResult;
  /** Total size of the cached body chunks, in bytes. */
  sizeBytes = 0;
  /** Called once, when the answer has ended. */
  onEnd: () => void = () => {};

  /**
   * If `cached` is true, body chunks are kept for sinks that are added later.
   */
  constructor(private cached: boolean) {}

  /** Whether body chunks are kept. */
  get isCached(): boolean {
    return this.cached;
  }

  /** Keeps nothing of an answer that has not begun, as another one is kept. */
  clearCached(): void {
    this.cached = false;
  }

  /** Adds a sink and writes the cached part of the answer to it. */
  addSink(sink: AnswerSink): void {
    if (this.head !== undefined) {
      sink.writeHead(this.head.status, this.head.contentType);
    }
    for (const chunk of this.chunks) sink.writeBody(chunk);
    if (this.result === 'complete') sink.end();
    else if (this.result !== undefined) sink.fail(this.result);
    else this.sinks.add(sink);
  }

  /** Removes a sink that no longer needs the answer. */
  removeSink(sink: AnswerSink): void {
    this.sinks.delete(sink);
  }

  /** Whether the answer has completed or failed. */
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
    if (this.cached) {
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
