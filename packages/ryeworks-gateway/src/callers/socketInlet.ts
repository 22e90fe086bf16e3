import {copySmallPart} from '@ryeworks/utils';
import {Socket} from 'node:net';
import {MemoryBudget, MemoryCharge} from '../memory/memoryBudget.js';

/** What ends the headers of a request. */
const headEnd = Buffer.from('\r\n\r\n');
/**
 * Largest piece that is passed to the HTTP parser at once, in bytes. It bounds the
 * chunks of a body that are parsed before other callers have their turn.
 */
const maxPieceBytes = 16_384;
/**
 * The same at the beginning of a body, whose chunks may be small, and for bodies of
 * small chunks, in bytes: some 340 chunks of one byte.
 */
const smallPieceBytes = 2048;
/** Number of pieces that are passed on before other connections have their turn. */
const maxPiecesPerTurn = 16;

/** Dependencies of an inlet. */
export interface SocketInletOptions {
  readonly budget: MemoryBudget | undefined;
  /** Returns whether the next piece may be passed to the parser. */
  readonly canPass: () => boolean;
  /** Returns whether all that was received together must be passed, also in a pause. */
  readonly mustPass?: () => boolean;
  /** Called when a piece of this size was parsed. */
  readonly handlePassed: (bytes: number) => void;
}

/** The field of a socket in which Node's HTTP server notes that it reads no more. */
interface PausedSocket {
  readonly _paused?: boolean;
}

const inlets = new WeakMap<Socket, SocketInlet>();

/** Finds the inlet of a connection. */
export function findInlet(socket: Socket | undefined): SocketInlet | undefined {
  return socket === undefined ? undefined : inlets.get(socket);
}

/**
 * Passes what a connection receives to the HTTP parser in pieces that hold the end of
 * one head at most. Node parses all requests of one read of 64 KiB at once, which are
 * some thousands; pieces allow the listener to stop between two requests.
 */
export class SocketInlet {
  /** What was received and is not passed on yet. */
  private rest: Buffer | undefined;
  /** Whether the rest belongs to what had been received before a pause. */
  private isWhole = false;
  private hasEnded = false;
  private wantsRead = false;
  private isScheduled = false;
  private isHeld = false;
  private isDiscarding = false;
  private hasSmallPieces = false;
  private nextPieceBytes = smallPieceBytes;
  private readonly charge: MemoryCharge | undefined;
  private readonly passOn: (chunk: Buffer | null) => boolean;
  private readonly readOn: (size: number) => void;

  constructor(
    private readonly socket: Socket,
    private readonly options: SocketInletOptions,
  ) {
    const {budget} = options;
    if (budget !== undefined) this.charge = new MemoryCharge(budget);
    this.passOn = socket.push.bind(socket);
    this.readOn = socket._read.bind(socket);
    inlets.set(socket, this);
    // Node's parser reads the socket itself unless somebody else listens.
    const listener = () => {};
    socket.on('data', listener);
    socket.off('data', listener);
    socket.push = (chunk: Buffer | null) => this.handleChunk(chunk);
    socket._read = size => this.handleRead(size);
    socket.on('resume', () => this.flush());
    socket.once('close', () => this.drop());
  }

  /** Number of bytes that were received and are not passed on. */
  get heldBytes(): number {
    return this.rest?.length ?? 0;
  }

  /** Passes nothing on until `release`. */
  hold(): void {
    this.isHeld = true;
  }

  /** Passes on again. */
  release(): void {
    if (!this.isHeld) return;
    this.isHeld = false;
    this.schedule();
  }

  /** Passes on one small piece in a turn, or several large ones. */
  setSmallPieces(hasSmallPieces: boolean): void {
    this.hasSmallPieces = hasSmallPieces;
    this.nextPieceBytes = smallPieceBytes;
  }

  /** Discards whatever follows, without parsing it. */
  startDiscarding(): void {
    this.isDiscarding = true;
    this.drop();
    this.finish();
  }

  /** Passes on what may be passed on now. */
  flush(): void {
    if (this.rest !== undefined && !this.isScheduled) this.passPieces();
  }

  private handleChunk(chunk: Buffer | null): boolean {
    if (chunk === null) {
      this.hasEnded = true;
      if (this.rest === undefined) this.passOn(null);
      return false;
    }
    if (this.isDiscarding) return true;
    if (this.socket.isPaused()) this.isWhole = false;
    else if (this.rest === undefined) this.isWhole = true;
    this.rest =
      this.rest === undefined ? chunk : Buffer.concat([this.rest, chunk]);
    if (!this.isScheduled) this.passPieces();
    return this.rest === undefined && !this.socket.isPaused();
  }

  /** Reads more only once everything is passed on. */
  private handleRead(size: number): void {
    if (this.rest === undefined) this.readOn(size);
    else this.wantsRead = true;
  }

  private canPass(): boolean {
    const {socket} = this;
    // Its HTTP server asserts that nothing arrives while it reads no more.
    if (socket.destroyed || this.isHeld) return false;
    if ((socket as PausedSocket)._paused) return false;
    if (this.isWhole && this.options.mustPass?.()) return true;
    return !socket.isPaused() && this.options.canPass();
  }

  private passPieces(): void {
    // A piece that is passed on may lead back here.
    this.isScheduled = true;
    for (let pieces = 0; this.rest !== undefined; pieces++) {
      if (pieces >= (this.hasSmallPieces ? 1 : maxPiecesPerTurn)) {
        setImmediate(() => this.passPieces());
        this.charge?.set(this.heldBytes);
        return;
      }
      if (!this.canPass()) break;
      // Whoever has paused it does so again when it has resumed.
      if (this.socket.isPaused()) this.socket.resume();
      const {rest} = this;
      const end = this.decidePieceEnd(rest);
      this.rest = end < rest.length ? rest.subarray(end) : undefined;
      this.passOn(rest.subarray(0, end));
      this.options.handlePassed(end);
    }
    this.isScheduled = false;
    if (this.rest !== undefined) this.rest = copySmallPart(this.rest);
    this.charge?.set(this.heldBytes);
    if (this.rest === undefined) this.finish();
  }

  private decidePieceEnd(bytes: Buffer): number {
    const piece = bytes.subarray(0, this.nextPieceBytes);
    const at = piece.indexOf(headEnd);
    const isSmall = at >= 0 || this.hasSmallPieces;
    this.nextPieceBytes = isSmall ? smallPieceBytes : maxPieceBytes;
    return at < 0 ? piece.length : at + headEnd.length;
  }

  private schedule(): void {
    if (this.isScheduled || this.rest === undefined) return;
    this.isScheduled = true;
    setImmediate(() => this.passPieces());
  }

  /** Goes on with the socket once nothing is held. */
  private finish(): void {
    if (this.socket.destroyed) return;
    if (this.hasEnded) {
      this.passOn(null);
    } else if (this.wantsRead || this.isDiscarding) {
      this.wantsRead = false;
      this.readOn(maxPieceBytes);
    }
  }

  private drop(): void {
    this.rest = undefined;
    this.charge?.set(0);
  }
}
