/** Share of the budget that only small bodies and answers may use. */
const smallShare = 1 / 8;
/** Share of the short level at which the budget is free again. */
const freeShare = 7 / 8;
/** Largest share of the budget that is kept free for one body to go on. */
const maxHeadroomShare = 7 / 16;

/** Dependencies of a budget. */
export interface MemoryBudgetOptions {
  /** Maximum number of bytes; infinite if the memory is not limited. */
  readonly limitBytes: number;
  /** Called when the budget becomes short, and when it is free again. */
  readonly handleChange: (isShort: boolean) => void;
}

/**
 * The one budget of bytes that are held for callers and endpoints: bodies, held
 * answers, and answers that wait for slow readers.
 */
export class MemoryBudget {
  /** Called when bytes were released. */
  handleRelease: () => void = () => {};
  private held = 0;
  private largestBodyBytes = 0;
  private hasBecomeShort = false;

  constructor(private readonly options: MemoryBudgetOptions) {}

  get heldBytes(): number {
    return this.held;
  }

  get limitBytes(): number {
    return this.options.limitBytes;
  }

  /**
   * Whether the budget is nearly used up: the bodies that are being read go on
   * one after the other, and no large one is begun.
   */
  get isShort(): boolean {
    return this.hasBecomeShort;
  }

  /** Sets the size of the largest body that callers may send, in bytes. */
  setLargestBody(bytes: number): void {
    this.largestBodyBytes = bytes;
  }

  /** Returns whether a small body may be held as well. */
  canHoldSmall(bytes: number): boolean {
    return this.held + bytes <= this.limitBytes;
  }

  /** Returns whether part of a large body may be held as well. */
  canHoldLarge(bytes: number): boolean {
    return this.held + bytes <= this.getLargeLimit();
  }

  /** Changes the number of bytes that are held. */
  addHeld(bytes: number): void {
    this.held += bytes;
    this.updateShort();
    if (bytes < 0) this.handleRelease();
  }

  private updateShort(): void {
    const shortBytes = this.getShortBytes();
    const isShort = this.hasBecomeShort
      ? this.held > shortBytes * freeShare
      : this.held > shortBytes;
    if (isShort === this.hasBecomeShort) return;
    this.hasBecomeShort = isShort;
    this.options.handleChange(isShort);
  }

  private getLargeLimit(): number {
    return this.limitBytes * (1 - smallShare);
  }

  /** Above this level, one body of any size can still be read to its end. */
  private getShortBytes(): number {
    const headroom = Math.min(
      this.largestBodyBytes,
      this.limitBytes * maxHeadroomShare,
    );
    return this.getLargeLimit() - headroom;
  }
}

/** What one holder takes of the budget. */
export class MemoryCharge {
  private charged = 0;

  constructor(private readonly budget: MemoryBudget) {}

  get bytes(): number {
    return this.charged;
  }

  /** Takes this number of bytes, in place of what was taken before. */
  set(bytes: number): void {
    const change = bytes - this.charged;
    if (change === 0) return;
    this.charged = bytes;
    this.budget.addHeld(change);
  }
}
