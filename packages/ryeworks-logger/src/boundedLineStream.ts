import {createWriteStream, WriteStream, writeSync} from 'node:fs';
import {Writable} from 'node:stream';

/** Bytes that may wait to be written before lines are dropped. */
const maxWaitingBytes = 262_144;
/** Time for which lines are gathered: each write costs a system call, in ms. */
const gatherMs = 50;

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
  private gathered = '';
  private timer: NodeJS.Timeout | undefined;

  constructor(private readonly options: BoundedLineOptions) {
    this.out = createWriteStream('', {fd: options.fd, autoClose: false});
    this.out.on('error', () => {
      // The reader of the log is gone: there is nobody left to tell.
    });
    this.allowance = options.linesPerSecond;
    this.refilledAtMs = options.readNowMs();
    process.once('exit', () => this.writeRest());
  }

  /** Writes a line, or drops and counts it. */
  writeLine(line: string | Buffer): void {
    this.refill();
    const waitingBytes = this.out.writableLength + this.gathered.length;
    const isFull = waitingBytes > maxWaitingBytes;
    if (this.allowance < 1 || isFull) {
      this.droppedLines += 1;
      return;
    }
    this.allowance -= 1;
    if (this.droppedLines > 0) {
      const count = this.droppedLines;
      this.droppedLines = 0;
      this.gathered += `level=warn event=log_lines_dropped count=${count}\n`;
    }
    this.gathered += line.toString();
    this.timer ??= setTimeout(() => this.writeGathered(), gatherMs).unref();
  }

  private writeGathered(): void {
    this.timer = undefined;
    this.out.write(this.gathered);
    this.gathered = '';
  }

  /** Writes what is left when the process ends. */
  private writeRest(): void {
    try {
      writeSync(this.options.fd, this.gathered);
    } catch {
      // The reader of the log is gone or slow, and nothing may wait for it.
    }
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
