import {MemoryBudget, MemoryCharge} from '../memory/memoryBudget.js';

/** Parts of an answer that are held until it is forwarded. */
export class HeldChunks {
  private chunks: Buffer[] = [];
  private readonly charge: MemoryCharge;

  constructor(budget: MemoryBudget) {
    this.charge = new MemoryCharge(budget);
  }

  get sizeBytes(): number {
    return this.charge.bytes;
  }

  /** Holds another part. */
  add(chunk: Buffer): void {
    this.chunks.push(chunk);
    this.charge.set(this.charge.bytes + chunk.length);
  }

  /** Returns everything that is held, in one piece, and lets it go. */
  removeAll(): Buffer {
    const bytes = Buffer.concat(this.chunks, this.charge.bytes);
    this.release();
    return bytes;
  }

  /** Lets everything go. */
  release(): void {
    this.chunks = [];
    this.charge.set(0);
  }
}
