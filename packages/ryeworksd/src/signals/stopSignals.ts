import {systemClock} from '@ryeworks/utils';

/** Stops what runs, given when the signal came, in ms. */
type StopHandler = (signalledAtMs: number) => void;

/**
 * The first signal to stop this process. It is kept until something that can be
 * stopped runs; later signals have no effect.
 */
class StopSignals {
  private signalledAtMs: number | undefined;
  private stop: StopHandler | undefined;

  constructor() {
    for (const signal of ['SIGTERM', 'SIGINT'] as const) {
      process.on(signal, () => this.handleSignal());
    }
    // SIGHUP announces changed settings; a process that starts reads them anyway.
    process.on('SIGHUP', () => {});
  }

  /** Whether the process is to stop. */
  get isStopRequested(): boolean {
    return this.signalledAtMs !== undefined;
  }

  /** Sets what stops the process; calls it at once if a signal has come. */
  handleWith(stop: StopHandler): void {
    this.stop = stop;
    if (this.signalledAtMs !== undefined) stop(this.signalledAtMs);
  }

  private handleSignal(): void {
    if (this.signalledAtMs !== undefined) return;
    this.signalledAtMs = systemClock.readNowMs();
    this.stop?.(this.signalledAtMs);
  }
}

/** The signals of this process, from the import of this module on. */
export const stopSignals = new StopSignals();
