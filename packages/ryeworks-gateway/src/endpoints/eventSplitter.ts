const lineFeed = 0x0a;
const carriageReturn = 0x0d;

/** One whole event of a stream. */
export interface StreamEvent {
  readonly bytes: Buffer;
  /** Value of its `id` field; empty: none. */
  readonly id: string;
}

/** Finds the end of the first event; -1 when it is not whole. */
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

/** Cuts the bytes of an event stream into whole events. */
export class EventSplitter {
  private remainder: Buffer = Buffer.alloc(0);

  /** Whether part of an event has arrived. */
  get hasPartialEvent(): boolean {
    return this.remainder.length > 0;
  }

  /** Takes bytes and returns the events that are whole now. */
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
