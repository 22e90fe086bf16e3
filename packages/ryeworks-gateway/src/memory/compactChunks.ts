/** Size from which a chunk is kept as it is, in bytes. */
const minChunkBytes = 8192;
/** Smallest and largest block into which smaller chunks are copied, in bytes. */
const minBlockBytes = 4096;
const maxBlockBytes = 65_536;

/**
 * Received bytes in order. Small chunks are copied into blocks: an object for each
 * of them may take far more memory than their bytes.
 */
export class CompactChunks {
  private chunks: Buffer[] = [];
  private block: Buffer | undefined;
  private blockUsed = 0;
  private size = 0;

  /** Number of bytes that were added since the last `clear`. */
  get sizeBytes(): number {
    return this.size;
  }

  /** Adds a chunk. */
  add(chunk: Buffer): void {
    const isFirst = this.size === 0;
    this.size += chunk.length;
    if (isFirst || chunk.length >= minChunkBytes) {
      this.closeBlock();
      this.chunks.push(chunk);
      return;
    }
    for (let copied = 0; copied < chunk.length;) {
      const block = this.getBlock();
      const count = chunk.copy(block, this.blockUsed, copied);
      copied += count;
      this.blockUsed += count;
    }
  }

  /** Returns the bytes in chunks. */
  getChunks(): readonly Buffer[] {
    this.closeBlock();
    return this.chunks;
  }

  /** Lets everything go. */
  clear(): void {
    this.chunks = [];
    this.block = undefined;
    this.blockUsed = 0;
    this.size = 0;
  }

  private getBlock(): Buffer {
    if (this.block !== undefined && this.blockUsed < this.block.length) {
      return this.block;
    }
    this.closeBlock();
    const wanted = Math.max(minBlockBytes, this.size);
    this.block = Buffer.allocUnsafeSlow(Math.min(wanted, maxBlockBytes));
    return this.block;
  }

  private closeBlock(): void {
    if (this.block === undefined) return;
    this.chunks.push(this.block.subarray(0, this.blockUsed));
    this.block = undefined;
    this.blockUsed = 0;
  }
}
