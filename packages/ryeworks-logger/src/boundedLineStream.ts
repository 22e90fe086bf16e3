import {createWriteStream, WriteStream} from 'node:fs';
import {Writable} from 'node:stream';

/** Bytes that may wait to be written before lines are dropped. */
const maxWaitingBytes = 262_144;

/** Options of {@link BoundedLineStream}. */
export interface BoundedLineOptions {
  /** File descriptor that takes the lines. */
  readonly fd: number;
  /** Lines a second beyond which lines are dropped. */
  readonly linesPerSecond: number;
  /** Monotonic time, in ms. */
  readonly readNowMs: () => number;
}

/**
 * Writes log lines without ever waiting for their reader: lines beyond a rate,
 * or beyond what may wait, are dropped and counted.
 */
export class BoundedLineStream extends Writable {
  private readonly out: WriteStream;
  private allowance: number;
  private refilledAtMs: number;
  private droppedLines = 0;

  constructor(private readonly options: BoundedLineOptions) {
    super({decodeStrings: false});
    this.out = createWriteStream('', {fd: options.fd, autoClose: false});
    this.out.on('error', () => {
      // The reader of the log is gone: there is nobody left to tell.
    });
    this.allowance = options.linesPerSecond;
    this.refilledAtMs = options.readNowMs();
  }

  override _write(
    line: string | Buffer,
    _encoding: BufferEncoding,
    done: () => void,
  ): void {
    this.writeLine(line);
    done();
  }

  private writeLine(line: string | Buffer): void {
    this.refill();
    const isFull = this.out.writableLength > maxWaitingBytes;
    if (this.allowance < 1 || isFull) {
      this.droppedLines += 1;
      return;
    }
    this.allowance -= 1;
    if (this.droppedLines > 0) {
      const note = `level=warn event=log_lines_dropped count=${this.droppedLines}\n`;
      this.droppedLines = 0;
      this.out.write(note);
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
