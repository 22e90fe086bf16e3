import {createWriteStream, WriteStream} from 'node:fs';
import {Writable} from 'node:stream';

/** Bytes that may wait to be written before lines are dropped. */
const maxWaitingBytes = 262_144;

/** Options of {@link createBoundedLineStream}. */
export interface BoundedLineOptions {
  /** File descriptor that takes the lines. */
  readonly fd: number;
  /** Lines a second beyond which lines are dropped. */
  readonly linesPerSecond: number;
  /** Monotonic time, in ms. */
  readonly readNowMs: () => number;
}

/** Lines that wait for a file descriptor, bounded in rate and in bytes. */
class BoundedLines {
  private readonly out: WriteStream;
  private allowance: number;
  private refilledAtMs: number;
  private droppedLines = 0;

  constructor(private readonly options: BoundedLineOptions) {
    this.out = createWriteStream('', {fd: options.fd, autoClose: false});
    this.out.on('error', () => {
      // The reader of the log is gone: there is nobody left to tell.
    });
    this.allowance = options.linesPerSecond;
    this.refilledAtMs = options.readNowMs();
  }

  /** Writes a line, or drops and counts it. */
  writeLine(line: string | Buffer): void {
    this.refill();
    const isFull = this.out.writableLength > maxWaitingBytes;
    if (this.allowance < 1 || isFull) {
      this.droppedLines += 1;
      return;
    }
    this.allowance -= 1;
    if (this.droppedLines > 0) {
      const count = this.droppedLines;
      this.droppedLines = 0;
      this.out.write(`level=warn event=log_lines_dropped count=${count}\n`);
    }
    this.out.write(line);
  }

  private refill(): void {
    const {linesPerSecond, readNowMs} = this.options;
    const nowMs = readNowMs();
    const gained = ((nowMs - this.refilledAtMs) / 1000) * linesPerSecond;
    this.refilledAtMs = nowMs;
    this.allowance = Math.min(linesPerSecond, this.allowance + gained);
  }
}

/**
 * Creates a stream of log lines that never waits for their reader: lines beyond
 * a rate, or beyond what may wait, are dropped and counted.
 */
export function createBoundedLineStream(options: BoundedLineOptions): Writable {
  const lines = new BoundedLines(options);
  return new Writable({
    decodeStrings: false,
    write: (line: string | Buffer, _encoding, done) => {
      lines.writeLine(line);
      done();
    },
  });
}
