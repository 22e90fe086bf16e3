const lineFeed = 0x0a;
const carriageReturn = 0x0d;

/** One complete event of an event stream. */
export interface StreamEvent {
  readonly bytes: Buffer;
  /** Value of the event's `id` field; empty if none. */
  readonly id: string;
}

/**
 * Returns the index just past the end of the event that starts at `from`; -1 if
 * the event is incomplete.
 */
function findEventEnd(bytes: Buffer, from: number): number {
  for (let index = from; index < bytes.length; index++) {
    if (bytes[index] !== lineFeed) continue;
    let next = index + 1;
    if (bytes[next] === carriageReturn) next += 1;
    if (bytes[next] === lineFeed) return next + 1;
  }
  return -1;
}

/** Reads the `id` field of an event. */
function readEventId(bytes: Buffer): string {
  const match = /^id: ?(.*?)\r?$/m.exec(bytes.toString('latin1'));
  return match === null ? '' : match[1];
}

/** Splits the bytes of an event stream into complete events. */
export class EventSplitter {
  private remainder: Buffer = Buffer.alloc(0);

  /** Size of the incomplete event that was received, in bytes; 0 if none. */
  get partialBytes(): number {
    return this.remainder.length;
  }

  /** Adds received bytes and returns the events that they complete. */
  addChunk(chunk: Buffer): StreamEvent[] {
    const bytes =
      this.remainder.length === 0
        ? chunk
        : Buffer.concat([this.remainder, chunk]);
    const events: StreamEvent[] = [];
    let start = 0;
    for (;;) {
      const end = findEventEnd(bytes, start);
      if (end < 0) break;
      const event = bytes.subarray(start, end);
      events.push({bytes: event, id: readEventId(event)});
      start = end;
    }
    this.remainder = bytes.subarray(start);
    return events;
  }
}
