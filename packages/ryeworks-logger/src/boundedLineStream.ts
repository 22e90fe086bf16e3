import {createWriteStream, WriteStream, writeSync} from 'node:fs';
import {Writable} from 'node:stream';

/** Limit of unwritten log data, in bytes; lines beyond it are dropped. */
const maxBufferedBytes = 262_144;
/**
 * Time for which lines are buffered before they are written together, in ms.
 * Each write costs a system call.
 */
const flushDelayMs = 50;

/** Options of {@link createBoundedLineStream}. */
export interface BoundedLineOptions {
  /** File descriptor to which the lines are written. */
  readonly fd: number;
  /** Maximum rate of lines; lines beyond it are dropped. */
  readonly linesPerSecond: number;
  /** Returns the monotonic time, in ms. */
  readonly readNowMs: () => number;
}

/**
 * Buffers lines for a file descriptor and writes them, with limits on the rate
 * and on the unwritten bytes.
 */
class BoundedLineWriter {
  private readonly out: WriteStream;
  private availableLines: number;
  private refilledAtMs: number;
  private droppedLines = 0;
  private buffer = '';
  private timer: NodeJS.Timeout | undefined;

  constructor(private readonly options: BoundedLineOptions) {
    this.out = createWriteStream('', {fd: options.fd, autoClose: false});
    this.out.on('error', () => {
      // The reader of the log is gone, so the error cannot be reported.
    });
    this.availableLines = options.linesPerSecond;
    this.refilledAtMs = options.readNowMs();
    process.once('exit', () => this.flushOnExit());
  }

  /** Buffers a line, or drops and counts it if a limit is exceeded. */
  writeLine(line: string | Buffer): void {
    this.refill();
    const unwrittenBytes = this.out.writableLength + this.buffer.length;
    const isFull = unwrittenBytes > maxBufferedBytes;
    if (this.availableLines < 1 || isFull) {
      this.droppedLines += 1;
      return;
    }
    this.availableLines -= 1;
    if (this.droppedLines > 0) {
      const count = this.droppedLines;
      this.droppedLines = 0;
      this.buffer += `level=warn event=log_lines_dropped count=${count}\n`;
    }
    this.buffer += line.toString();
    this.timer ??= setTimeout(() => this.flushBuffer(), flushDelayMs).unref();
  }

  /** Passes the buffered lines to the output stream. */
  private flushBuffer(): void {
    this.timer = undefined;
    this.out.write(this.buffer);
    this.buffer = '';
  }

  /** Writes the remaining lines synchronously when the process exits. */
  private flushOnExit(): void {
    try {
      writeSync(this.options.fd, this.buffer);
    } catch {
      // The reader of the log is gone or slow; the exit must not wait for it.
    }
  }

  /** Adds the lines that the rate has allowed since the last call. */
  private refill(): void {
    const {linesPerSecond, readNowMs} = this.options;
    const nowMs = readNowMs();
    const addedLines = ((nowMs - this.refilledAtMs) / 1000) * linesPerSecond;
    this.refilledAtMs = nowMs;
    this.availableLines = Math.min(
      linesPerSecond,
      this.availableLines + addedLines,
    );
  }
}

/**
 * Creates a stream for log lines that never waits for a slow reader: lines
 * beyond the rate limit or the buffer limit are dropped and counted.
 */
export function createBoundedLineStream(options: BoundedLineOptions): Writable {
  const writer = new BoundedLineWriter(options);
  return new Writable({
    decodeStrings: false,
    write: (line: string | Buffer, _encoding, done) => {
      writer.writeLine(line);
      done();
    },
  });
}
