import {ByteCollector} from '@ryeworks/utils';

const lineFeed = 0x0a;
const carriageReturn = 0x0d;
const noBytes = Buffer.alloc(0);

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

/** Number of bytes before a chunk that may belong to the end of an event in it. */
const tailBytes = 2;

/** Splits the bytes of an event stream into complete events. */
export class EventSplitter {
  private readonly remainder = new ByteCollector();
  /** Last bytes of the remainder. */
  private tail: Buffer = noBytes;

  /** Size of the incomplete event that was received, in bytes; 0 if none. */
  get partialBytes(): number {
    return this.remainder.sizeBytes;
  }

  /** Adds received bytes and returns the events that they complete. */
  addChunk(chunk: Buffer): StreamEvent[] {
    const unread = Buffer.concat([this.tail, chunk]);
    // What was received before holds no end, and is not searched again.
    if (findEventEnd(unread, 0) < 0) {
      this.holdPart(chunk);
      return [];
    }
    this.remainder.addChunk(chunk);
    const bytes = this.remainder.removeBytes();
    const events: StreamEvent[] = [];
    let start = 0;
    for (;;) {
      const end = findEventEnd(bytes, start);
      if (end < 0) break;
      const event = bytes.subarray(start, end);
      events.push({bytes: event, id: readEventId(event)});
      start = end;
    }
    this.tail = noBytes;
    if (start < bytes.length) this.holdPart(bytes.subarray(start));
    return events;
  }

  /** Keeps a part of an event whose end was not received. */
  private holdPart(part: Buffer): void {
    this.remainder.addChunk(part);
    const end = Buffer.concat([this.tail, part.subarray(-tailBytes)]);
    this.tail = end.subarray(-tailBytes);
  }
}
