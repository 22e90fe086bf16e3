/** Number of bytes that show whether an event is complete. */
const tailBytes = 3;
/** A blank line, which ends an event. */
const blankLine = /\n\r?\n$/;

/** Tracks whether the bytes of an event stream end inside an event. */
export class EventBoundary {
  private tail = '';

  /** Whether the bytes received so far end inside an event. */
  get isInsideEvent(): boolean {
    return this.tail !== '' && !blankLine.test(this.tail);
  }

  /** Adds received bytes. */
  addChunk(chunk: Buffer): void {
    const end = chunk.subarray(-tailBytes).toString('latin1');
    this.tail = (this.tail + end).slice(-tailBytes);
  }
}
