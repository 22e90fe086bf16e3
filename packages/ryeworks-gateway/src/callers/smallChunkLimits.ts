/** Number of chunks from which the mean size of a body's chunks counts. */
const minChunks = 256;
/** Mean size below which the chunks of a body are small, in bytes. */
const minMeanBytes = 64;
/**
 * Number of bodies of small chunks that are read at a time. Each chunk costs some
 * microseconds, so that many such bodies together would take all processor time.
 */
const maxReading = 2;

/** What the limits know of a body. */
interface SmallChunkBody {
  chunks: number;
  bytes: number;
}

/**
 * Decides which bodies of small chunks are read: the oldest ones. A single one is
 * always read; the others wait.
 */
export class SmallChunkLimits<T> {
  private readonly bodies = new Map<T, SmallChunkBody>();
  /** The bodies of small chunks, oldest first, and since when each is read, in ms. */
  private readonly costly = new Map<T, number>();

  /** Records a chunk; returns whether its body has just become a costly one. */
  recordChunk(body: T, bytes: number, nowMs: number): boolean {
    let known = this.bodies.get(body);
    if (known === undefined) {
      known = {chunks: 0, bytes: 0};
      this.bodies.set(body, known);
    }
    known.chunks += 1;
    known.bytes += bytes;
    if (known.chunks < minChunks || this.costly.has(body)) return false;
    if (known.bytes >= known.chunks * minMeanBytes) return false;
    this.costly.set(body, nowMs);
    return true;
  }

  /** Returns whether a body is read on. */
  canRead(body: T): boolean {
    if (!this.costly.has(body)) return true;
    let ahead = 0;
    for (const other of this.costly.keys()) {
      if (other === body) return true;
      ahead += 1;
      if (ahead >= maxReading) return false;
    }
    return true;
  }

  /** Returns whether a body consists of small chunks. */
  isCostly(body: T): boolean {
    return this.costly.has(body);
  }

  /** Starts the turn of a body that has waited. */
  startTurn(body: T, nowMs: number): void {
    if (this.costly.has(body)) this.costly.set(body, nowMs);
  }

  /** Returns whether a body was read for its time while others waited. */
  hasUsedTurn(body: T, nowMs: number, turnMs: number): boolean {
    const sinceMs = this.costly.get(body);
    if (sinceMs === undefined || this.costly.size <= maxReading) return false;
    return this.canRead(body) && nowMs - sinceMs >= turnMs;
  }

  /** Forgets a body; returns whether another may be read in its place. */
  drop(body: T): boolean {
    this.bodies.delete(body);
    return this.costly.delete(body);
  }
}
