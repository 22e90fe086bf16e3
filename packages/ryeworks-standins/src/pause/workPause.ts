import {systemClock} from '@ryeworks/utils';

/**
 * A pause in which a sound stand-in does nothing: its connections stay open, new
 * ones are accepted, and it goes on afterwards with everything that it holds.
 */
export class WorkPause {
  /** When the pause ends, in ms of the monotonic clock; 0 before the first. */
  private endsAtMs = 0;

  /** Pauses for a time, or for longer if a pause lasts already. */
  start(durationMs: number): void {
    this.endsAtMs = Math.max(
      this.endsAtMs,
      systemClock.readNowMs() + durationMs,
    );
  }

  /** Returns the time until the pause ends, in ms; 0 without one. */
  getLeftMs(): number {
    return Math.max(0, this.endsAtMs - systemClock.readNowMs());
  }

  /** Waits until no pause lasts. */
  async waitForEnd(): Promise<void> {
    for (let leftMs = this.getLeftMs(); leftMs > 0; leftMs = this.getLeftMs()) {
      // A timer may fire a fraction of a ms early.
      const delayMs = Math.ceil(leftMs);
      await new Promise(resolve => setTimeout(resolve, delayMs));
    }
  }
}
