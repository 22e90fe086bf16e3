import {CallerBounds} from '@ryeworks/dispatch';
import {ErrorKind} from '@ryeworks/types';
import {startIoTimer} from '@ryeworks/utils';
import {IncomingMessage} from 'node:http';
import {HeldBody} from '../memory/heldBody.js';
import {MemoryBudget} from '../memory/memoryBudget.js';
import {isTooSlow} from './connectionLimits.js';
import {SmallChunkLimits} from './smallChunkLimits.js';
import {findInlet} from './socketInlet.js';

/** Size up to which a body counts as small, in bytes. */
const maxSmallBytes = 65_536;
/** Part of a body that may have been received beyond what was read, in bytes. */
const readAheadBytes = 65_536;
/** Interval between checks for bodies that are not read on, in ms. */
const checkPeriodMs = 250;

/** A body that was read, or why its request is refused. */
export type BodyOutcome =
  | {readonly body: HeldBody}
  | {readonly refusal: ErrorKind}
  /** The caller disconnected before the body was complete. */
  | {readonly isCut: true};

/** Bounds on one body. */
export interface BodyBounds extends Pick<
  CallerBounds,
  'headerTimeoutMs' | 'maxBodyBytes'
> {
  /** When its caller gives up, in ms; undefined if it does not say. */
  readonly deadlineAtMs: number | undefined;
}

/** A body that is being read. */
interface ReadingBody {
  readonly request: IncomingMessage;
  readonly body: HeldBody;
  readonly bounds: BodyBounds;
  /** Size that it may have, in bytes. */
  readonly expectedBytes: number;
  /** When its last part arrived, or when its socket was read on, in ms. */
  progressedAtMs: number;
  /** When its rate was last checked, in ms, and its size then, in bytes. */
  windowStartMs: number;
  windowBytes: number;
  /** Since when its socket is not read, in ms; undefined if it is read. */
  waitingSinceMs: number | undefined;
  readonly finish: (outcome: BodyOutcome) => void;
}

/** Returns the size that a body may have, in bytes. */
function getExpectedBytes(
  {headers}: IncomingMessage,
  maxBodyBytes: number,
): number {
  const length = headers['content-length'];
  if (length !== undefined) return Math.min(Number(length), maxBodyBytes);
  return headers['transfer-encoding'] === undefined ? 0 : maxBodyBytes;
}

/**
 * Reads the bodies of requests within the budget. While it is short, the sockets
 * of large bodies are not read, except for the oldest ones that fit to their end.
 */
export class BodyReader {
  /** In the order of their arrival. */
  private readonly reading = new Set<ReadingBody>();
  private waiting = 0;
  private readonly smallChunks = new SmallChunkLimits<ReadingBody>();
  private cancelCheck: (() => void) | undefined;

  constructor(
    private readonly budget: MemoryBudget,
    private readonly readNowMs: () => number,
  ) {
    budget.handleRelease = () => this.resumeBodies();
  }

  /**
   * Reads a request's body to its end, or until it must be refused. The rest of a
   * refused body is not read.
   */
  read(request: IncomingMessage, bounds: BodyBounds): Promise<BodyOutcome> {
    const {maxBodyBytes} = bounds;
    this.budget.setLargestBody(maxBodyBytes);
    const expectedBytes = getExpectedBytes(request, maxBodyBytes);
    const firstBytes = Math.min(expectedBytes, readAheadBytes);
    if (!this.canBegin(expectedBytes, firstBytes)) {
      return Promise.resolve({refusal: 'memoryShort'});
    }
    return new Promise(resolve => {
      const body = new HeldBody(this.budget);
      const reading: ReadingBody = {
        request,
        body,
        bounds,
        expectedBytes,
        progressedAtMs: this.readNowMs(),
        windowStartMs: this.readNowMs(),
        windowBytes: 0,
        waitingSinceMs: undefined,
        finish: outcome => {
          if (!this.reading.delete(reading)) return;
          if (reading.waitingSinceMs !== undefined) this.waiting -= 1;
          request.removeAllListeners('data');
          const inlet = findInlet(request.socket);
          if ('body' in outcome) {
            body.charge.set(body.sizeBytes);
          } else {
            request.pause();
            body.release();
            // What follows would cost processor time without use.
            if (this.smallChunks.isCostly(reading)) inlet?.startDiscarding();
          }
          if (this.smallChunks.drop(reading)) this.resumeBodies();
          inlet?.setSmallPieces(false);
          inlet?.release();
          resolve(outcome);
        },
      };
      this.reading.add(reading);
      body.charge.set(firstBytes);
      this.listen(reading);
      this.scheduleCheck();
    });
  }

  private canBegin(expectedBytes: number, firstBytes: number): boolean {
    if (expectedBytes <= maxSmallBytes)
      return this.budget.canHoldSmall(firstBytes);
    return !this.budget.isShort && this.budget.canHoldLarge(firstBytes);
  }

  private listen(reading: ReadingBody): void {
    const {body, finish, request} = reading;
    request.on('data', (chunk: Buffer) => this.handleData(reading, chunk));
    request.once('end', () => finish({body}));
    request.once('error', () => finish({isCut: true}));
    request.once('close', () => finish({isCut: true}));
  }

  private handleData(reading: ReadingBody, chunk: Buffer): void {
    const {body, bounds, expectedBytes, finish} = reading;
    if (body.sizeBytes + chunk.length > bounds.maxBodyBytes) {
      finish({refusal: 'bodyTooLarge'});
      return;
    }
    reading.progressedAtMs = this.readNowMs();
    body.add(chunk);
    if (
      this.smallChunks.recordChunk(
        reading,
        chunk.length,
        reading.progressedAtMs,
      )
    ) {
      this.holdCostly(reading);
    }
    const neededBytes = Math.min(
      expectedBytes,
      body.sizeBytes + readAheadBytes,
    );
    if (neededBytes <= body.charge.bytes) return;
    body.charge.set(neededBytes);
    if (this.budget.isShort) this.pauseBodies();
  }

  /** Stops reading the bodies whose rest is not charged yet. */
  private pauseBodies(): void {
    const nowMs = this.readNowMs();
    for (const reading of this.reading) {
      if (reading.waitingSinceMs !== undefined) continue;
      if (reading.body.charge.bytes >= reading.expectedBytes) continue;
      reading.waitingSinceMs = nowMs;
      this.waiting += 1;
      this.pause(reading);
    }
    this.resumeBodies();
  }

  /** Lets a body of small chunks wait while older ones are read. */
  private holdCostly(reading: ReadingBody): void {
    findInlet(reading.request.socket)?.setSmallPieces(true);
    if (this.smallChunks.canRead(reading)) return;
    if (reading.waitingSinceMs === undefined) {
      reading.waitingSinceMs = this.readNowMs();
      this.waiting += 1;
    }
    this.pause(reading);
  }

  /**
   * Stops reading a body. What its connection has received is kept as it is: as
   * chunks of the paused request, it would take many times its size.
   */
  private pause({request}: ReadingBody): void {
    const inlet = findInlet(request.socket);
    if (inlet === undefined) request.pause();
    else inlet.hold();
  }

  /** Reads on: all bodies, or while the budget is short, the oldest that fit. */
  private resumeBodies(): void {
    if (this.waiting === 0) return;
    for (const reading of this.reading) {
      if (reading.waitingSinceMs === undefined) continue;
      const {body, expectedBytes, request} = reading;
      if (!this.smallChunks.canRead(reading)) continue;
      if (this.budget.isShort) {
        const rest = expectedBytes - body.charge.bytes;
        if (!this.budget.canHoldLarge(rest)) return;
        body.charge.set(expectedBytes);
      }
      reading.waitingSinceMs = undefined;
      reading.progressedAtMs = this.readNowMs();
      reading.windowStartMs = reading.progressedAtMs;
      reading.windowBytes = body.sizeBytes;
      this.smallChunks.startTurn(reading, reading.progressedAtMs);
      this.waiting -= 1;
      const inlet = findInlet(request.socket);
      if (inlet === undefined) request.resume();
      else inlet.release();
    }
  }

  private scheduleCheck(): void {
    if (this.cancelCheck !== undefined) return;
    this.cancelCheck = startIoTimer(() => {
      this.cancelCheck = undefined;
      this.endSlowBodies(this.readNowMs());
      if (this.reading.size > 0) this.scheduleCheck();
    }, checkPeriodMs);
  }

  /**
   * Returns whether a body makes no progress for what it keeps others from: memory
   * while it is short, or processor time while other bodies of small chunks wait.
   */
  private isInTheWay(reading: ReadingBody, nowMs: number): boolean {
    const {body, bounds, waitingSinceMs, windowBytes, windowStartMs} = reading;
    const {headerTimeoutMs} = bounds;
    if (waitingSinceMs !== undefined) return false;
    if (this.smallChunks.hasUsedTurn(reading, nowMs, headerTimeoutMs))
      return true;
    const elapsedMs = nowMs - windowStartMs;
    if (elapsedMs < headerTimeoutMs) return false;
    reading.windowStartMs = nowMs;
    reading.windowBytes = body.sizeBytes;
    const isSlow = isTooSlow(body.sizeBytes - windowBytes, elapsedMs);
    return isSlow && this.budget.isShort;
  }

  /** Ends the bodies that do not go on, or that are read for too long. */
  private endSlowBodies(nowMs: number): void {
    for (const reading of [...this.reading]) {
      const {bounds, finish, progressedAtMs, waitingSinceMs} = reading;
      const {deadlineAtMs = Number.POSITIVE_INFINITY, headerTimeoutMs} = bounds;
      const quietMs = nowMs - (waitingSinceMs ?? progressedAtMs);
      const isEnded =
        quietMs >= headerTimeoutMs ||
        nowMs >= deadlineAtMs ||
        this.isInTheWay(reading, nowMs);
      if (!isEnded) continue;
      const isWaiting = waitingSinceMs !== undefined;
      finish({refusal: isWaiting ? 'memoryShort' : 'bodyTooSlow'});
    }
  }
}

/**
 * Discards what is left of a request's body, until it has ended or the caller has
 * disconnected, for `maxMs` and `maxBytes` at most.
 */
export function dropBody(
  request: IncomingMessage,
  maxMs: number,
  maxBytes: number,
): Promise<void> {
  return new Promise(resolve => {
    if (request.complete || request.socket.destroyed) {
      resolve();
      return;
    }
    const timer = setTimeout(resolve, maxMs);
    for (const event of ['end', 'error', 'close']) {
      request.once(event, () => {
        clearTimeout(timer);
        resolve();
      });
    }
    let discardedBytes = 0;
    request.on('data', (chunk: Buffer) => {
      discardedBytes += chunk.length;
      if (discardedBytes <= maxBytes) return;
      clearTimeout(timer);
      resolve();
    });
    request.resume();
  });
}
