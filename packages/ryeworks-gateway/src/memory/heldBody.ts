import {ByteCollector, copySmallPart} from '@ryeworks/utils';
import {MemoryBudget, MemoryCharge} from './memoryBudget.js';

/** A request's body, kept once. */
export class HeldBody {
  readonly charge: MemoryCharge;
  private readonly collector = new ByteCollector();
  private size = 0;
  private isReleased = false;

  constructor(budget: MemoryBudget) {
    this.charge = new MemoryCharge(budget);
  }

  /** Size of the body, in bytes, also after its release. */
  get sizeBytes(): number {
    return this.size;
  }

  /** Adds a chunk. */
  add(chunk: Buffer): void {
    this.size += chunk.length;
    // The collector keeps the first chunk as it is, and copies small ones after it.
    const isFirst = this.size === chunk.length;
    this.collector.addChunk(isFirst ? copySmallPart(chunk) : chunk);
  }

  /** Returns the body in chunks. */
  getChunks(): readonly Buffer[] {
    if (this.isReleased) throw new Error('the body was released');
    return this.collector.listBlocks();
  }

  /** Lets the body go. */
  release(): void {
    this.isReleased = true;
    this.collector.clear();
    this.charge.set(0);
  }
}
