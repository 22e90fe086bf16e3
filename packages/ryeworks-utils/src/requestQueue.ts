import {IncomingMessage, ServerResponse} from 'node:http';
import {Socket} from 'node:net';

/**
 * Bytes that a caller may send ahead of its turn before its connection is no
 * longer read. While it is read, the VM notices that the caller leaves.
 */
const maxAheadBytes = 16_384;
/** Bytes for which a waiting request counts beside its headers and body. */
const requestOverheadBytes = 1024;
/**
 * Maximum time for which a connection with unread bytes stays half open after
 * its last answer, in ms. Closed at once, the caller's system may drop answers
 * that the caller has not read yet.
 */
const maxLingerMs = 1000;

/** What has become of a request when it ends. */
export const queuedOutcome = {
  /** Its answer was passed to the kernel. */
  sent: 'sent',
  /** It was begun, and no complete answer was passed to the kernel. */
  unsent: 'unsent',
  /** Its connection has ended before its turn; it has not run. */
  notBegun: 'notBegun',
} as const;
export type QueuedOutcome = (typeof queuedOutcome)[keyof typeof queuedOutcome];

/** A request that was read and waits for its turn on its connection. */
export interface QueuedRequest {
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
  /** Called when the requests before it are answered. */
  readonly begin: () => void;
  /** Called once, when it is answered or can't be answered any more. */
  readonly handleEnd: (outcome: QueuedOutcome) => void;
}

/** Returns the size of a request's headers, in bytes. */
export function countHeaderBytes(request: IncomingMessage): number {
  let size = 0;
  for (const part of request.rawHeaders) size += part.length + 2;
  return size;
}

/**
 * The requests on a caller's connection. Each one is begun when the one before it
 * is answered, so that nothing has run that cannot be answered.
 */
export class RequestQueue {
  private current: QueuedRequest | undefined;
  private readonly waiting: QueuedRequest[] = [];
  private waitingBytes = 0;
  private isPaused = false;
  private isStopping = false;
  /** Whether the body of the last request is read although the VM stops. */
  private isReadingLast = false;
  /** Called when all requests that were read to their end are answered. */
  private handleAllAnswered: (() => void) | undefined;

  constructor(private readonly socket: Socket) {}

  /** Whether no request is in progress or waits. */
  get isEmpty(): boolean {
    return this.current === undefined;
  }

  /** Whether the connection is not read because of what was sent ahead. */
  get isHeldBack(): boolean {
    return this.isPaused;
  }

  /**
   * Whether the connection must be kept after the current answer, for a request
   * that waits behind it.
   */
  get hasNext(): boolean {
    const next = this.waiting.at(0);
    if (next === undefined) return false;
    return next.request.complete || !this.isReadingLast;
  }

  /**
   * Adds a request whose headers were read, and begins it if it is its turn. One
   * that comes after the last answer is not begun.
   */
  add(queued: QueuedRequest): void {
    if (!this.socket.writable) {
      queued.request.resume();
      queued.handleEnd(queuedOutcome.notBegun);
      return;
    }
    if (this.current === undefined) {
      this.start(queued);
      return;
    }
    const previous = this.waiting.at(-1);
    if (previous !== undefined) {
      this.waitingBytes += previous.request.readableLength;
    }
    this.waiting.push(queued);
    this.waitingBytes +=
      countHeaderBytes(queued.request) + requestOverheadBytes;
    if (this.isStopping || this.waitingBytes > maxAheadBytes) this.pause();
  }

  /** From now on, reads no more once a request waits. */
  startStopping(): void {
    this.isStopping = true;
    if (this.waiting.length > 0) this.pause();
  }

  /**
   * Adds no more requests, because what follows cannot be read. Calls
   * `handleAllAnswered` when the requests that were read to their end are answered.
   */
  endReading(handleAllAnswered: () => void): void {
    if (this.waiting.at(-1)?.request.complete === false) {
      this.waiting.pop()!.handleEnd(queuedOutcome.notBegun);
    }
    if (this.current?.request.complete) {
      this.handleAllAnswered = handleAllAnswered;
    } else {
      handleAllAnswered();
    }
  }

  /**
   * Handles the events of a connection that Node has handed over and listens to no
   * more, so that the answers before can be completed. Discards what follows.
   */
  handleDetached(): void {
    const {socket} = this;
    socket.on('error', () => {});
    socket.on('drain', () => this.current?.response.emit('drain'));
    socket.once('end', () => socket.destroy());
    socket.resume();
  }

  /** Ends all requests, because the connection has closed. */
  close(): void {
    const {current} = this;
    this.current = undefined;
    current?.handleEnd(queuedOutcome.unsent);
    for (const {handleEnd} of this.waiting.splice(0)) {
      handleEnd(queuedOutcome.notBegun);
    }
  }

  private start(queued: QueuedRequest): void {
    this.current = queued;
    queued.response.once('close', () => {
      // Node reports an answer as sent, too, that was dropped with its connection.
      if (this.current !== queued || this.socket.destroyed) return;
      this.current = undefined;
      queued.handleEnd(queuedOutcome.sent);
      this.startNext();
    });
    queued.begin();
  }

  private startNext(): void {
    // Node has ended a connection whose last answer closes it.
    if (!this.socket.writable) return;
    if (this.waiting.length === 0) {
      this.handleAllAnswered?.();
      return;
    }
    const next = this.waiting.shift()!;
    if (this.waiting.length === 0) {
      this.waitingBytes = 0;
      this.readOn(next.request);
    }
    this.start(next);
  }

  private pause(): void {
    const {socket} = this;
    if (this.isStopping) socket.destroySoon = () => this.endSlowly();
    if (this.isPaused) return;
    this.isPaused = true;
    socket.on('resume', this.pauseAgain);
    socket.pause();
  }

  /**
   * Node reads on after each request. It has begun to by the time of this event,
   * even if the stream was paused before.
   */
  private readonly pauseAgain = () => {
    this.socket.pause();
    this.socket.emit('pause');
  };

  /** Reads on, while the VM stops only to read the last request to its end. */
  private readOn({complete}: IncomingMessage): void {
    if (!this.isPaused) return;
    if (this.isStopping) {
      if (complete) return;
      this.isReadingLast = true;
    }
    this.resume();
  }

  private resume(): void {
    this.isPaused = false;
    this.socket.off('resume', this.pauseAgain);
    this.socket.resume();
  }

  /**
   * Closes a connection that may have unread bytes: discards them until the
   * caller has closed it, too.
   */
  private endSlowly(): void {
    const {socket} = this;
    socket.end();
    this.resume();
    const timer = setTimeout(() => socket.destroy(), maxLingerMs);
    socket.once('close', () => clearTimeout(timer));
  }
}
