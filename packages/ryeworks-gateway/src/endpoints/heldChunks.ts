import {CompactChunks} from '../memory/compactChunks.js';
import {MemoryBudget, MemoryCharge} from '../memory/memoryBudget.js';

/** Parts of an answer that are held until it is forwarded. */
export class HeldChunks {
  private readonly chunks = new CompactChunks();
  private readonly charge: MemoryCharge;

  constructor(budget: MemoryBudget) {
    this.charge = new MemoryCharge(budget);
  }

  get sizeBytes(): number {
    return this.chunks.sizeBytes;
  }

  /** Holds another part. */
  add(chunk: Buffer): void {
    this.chunks.add(chunk);
    this.charge.set(this.chunks.sizeBytes);
  }

  /** Returns everything that is held, in one piece, and lets it go. */
  removeAll(): Buffer {
    const bytes = Buffer.concat([...this.chunks.getChunks()]);
    this.release();
    return bytes;
  }

  /** Lets everything go. */
  release(): void {
    this.chunks.clear();
    this.charge.set(0);
  }
}
