/** Largest size of a block, in bytes; a larger chunk is kept as it is. */
const maxBlockBytes = 16_384;
/** Smallest size of a block, in bytes. */
const minBlockBytes = 1024;
const noBytes = Buffer.alloc(0);

/**
 * Collects received bytes. Small chunks are copied into blocks: a chunk of one
 * byte takes some hundred bytes of memory by itself, and a sender chooses how
 * small they are. Takes at most about twice the memory of the bytes.
 */
export class ByteCollector {
  private size = 0;
  private blocks: Buffer[] = [];
  /** The block that is being filled, and how much of it is. */
  private block = noBytes;
  private filledBytes = 0;

  /** Number of bytes collected. */
  get sizeBytes(): number {
    return this.size;
  }

  /** Adds received bytes. */
  addChunk(chunk: Buffer): void {
    const isKept = this.size === 0 || chunk.length >= maxBlockBytes;
    if (isKept || this.filledBytes + chunk.length > this.block.length) {
      this.finishBlock();
    }
    if (isKept) this.blocks.push(chunk);
    else this.copyChunk(chunk);
    this.size += chunk.length;
  }

  /** Removes all bytes and returns them. */
  removeBytes(): Buffer {
    this.finishBlock();
    const {blocks, size} = this;
    this.blocks = [];
    this.size = 0;
    return blocks.length === 1 ? blocks[0] : Buffer.concat(blocks, size);
  }

  /** Returns what was collected, in blocks. */
  listBlocks(): readonly Buffer[] {
    this.finishBlock();
    return this.blocks;
  }

  /** Lets all bytes go. */
  clear(): void {
    this.blocks = [];
    this.block = noBytes;
    this.filledBytes = 0;
    this.size = 0;
  }

  private copyChunk(chunk: Buffer): void {
    if (this.block.length === 0) {
      const wanted = Math.max(minBlockBytes, chunk.length, this.size);
      this.block = Buffer.allocUnsafeSlow(Math.min(maxBlockBytes, wanted));
    }
    chunk.copy(this.block, this.filledBytes);
    this.filledBytes += chunk.length;
  }

  private finishBlock(): void {
    if (this.filledBytes > 0) {
      this.blocks.push(this.block.subarray(0, this.filledBytes));
    }
    this.block = noBytes;
    this.filledBytes = 0;
  }
}
