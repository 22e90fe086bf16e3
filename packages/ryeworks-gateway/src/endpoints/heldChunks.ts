import {ByteCollector} from '@ryeworks/utils';
import {MemoryBudget, MemoryCharge} from '../memory/memoryBudget.js';

/** Parts of an answer that are held until it is forwarded. */
export class HeldChunks {
  private readonly collector = new ByteCollector();
  private readonly charge: MemoryCharge;

  constructor(budget: MemoryBudget) {
    this.charge = new MemoryCharge(budget);
  }

  get sizeBytes(): number {
    return this.collector.sizeBytes;
  }

  /** Holds another part. */
  add(chunk: Buffer): void {
    this.collector.addChunk(chunk);
    this.charge.set(this.sizeBytes);
  }

  /** Returns everything that is held, in one piece, and lets it go. */
  removeAll(): Buffer {
    const bytes = this.collector.removeBytes();
    this.charge.set(0);
    return bytes;
  }

  /** Lets everything go. */
  release(): void {
    this.collector.clear();
    this.charge.set(0);
  }
}
