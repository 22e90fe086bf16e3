import {DispatchState} from '@ryeworks/dispatch';
import {Logger} from '@ryeworks/logger';
import {Clock} from '@ryeworks/utils';
import {
  setImmediate as passTurn,
  setTimeout as sleep,
} from 'node:timers/promises';
import {CallerServer} from '../callers/callerServer.js';
import {OpenRequests} from '../callers/openRequest.js';
import {DispatchLoop} from '../core/dispatchLoop.js';

/** Time from the stop signal until idle connections are closed, in ms. */
const idleCloseDelayMs = 2500;
/** Interval at which a stopping process checks for open requests, in ms. */
const stopPollMs = 25;
/** Interval at which it checks for a changed grace period before that, in ms. */
const gracePollMs = 100;
/** Maximum time reserved at the end of the grace period, in ms. */
const maxMarginMs = 300;
/**
 * Part of the grace period that is reserved at most. A request may be cut in the
 * last sixth of the period only.
 */
const marginRatio = 1 / 6;
/** Part of the reserved time for the last answers to be sent. */
const lastAnswersRatio = 1 / 3;

/** Where the grace period that is kept to came from. */
const graceSource = {
  start: 'settingsAtStart',
  change: 'changedSettings',
  changeDuringStop: 'changedDuringStop',
} as const;

/** Dependencies of a graceful stop. */
interface StopOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly loop: DispatchLoop;
  readonly state: DispatchState;
  readonly openRequests: OpenRequests;
  readonly callerServer: CallerServer;
}

/**
 * Turns of the event loop after which a request that had arrived is read: its
 * connection is accepted in one and read in the next. After a delay, timers run
 * before both.
 */
const turnsUntilRead = 3;

/** Waits until the requests that have arrived are read. */
async function waitForArrived(): Promise<void> {
  for (let turn = 0; turn < turnsUntilRead; turn++) await passTurn();
}

/** Returns the time reserved at the end of a grace period, in ms. */
function getMarginMs(graceMs: number): number {
  return Math.min(maxMarginMs, graceMs * marginRatio);
}

/** The end of a gateway: finishes its requests within the grace period. */
export class GracefulStop {
  private graceFrom: string = graceSource.start;
  private startedMs: number | undefined;

  /**
   * @param graceMs time between the stop signal and the forced kill, in ms
   */
  constructor(
    private readonly options: StopOptions,
    private graceMs: number,
  ) {}

  /**
   * Applies a changed grace period. During a stop, only a shorter one is applied:
   * the platform may still end the process after the earlier one.
   */
  applyGrace(graceMs: number): void {
    if (graceMs === this.graceMs) return;
    const {logger} = this.options;
    const isStopping = this.startedMs !== undefined;
    if (isStopping && graceMs > this.graceMs) {
      logger.info('graceful_stop_not_extended', {
        graceMs: this.graceMs,
        ignoredGraceMs: graceMs,
      });
      return;
    }
    this.graceMs = graceMs;
    this.graceFrom = graceSource.change;
    if (!isStopping) return;
    this.graceFrom = graceSource.changeDuringStop;
    this.options.loop.submit({kind: 'stopRequested', endAtMs: this.endAtMs});
    logger.info('graceful_stop_shortened', this.describe());
  }

  /**
   * Finishes the open requests. New requests are served as long as they can be
   * finished. Each connection is closed after the next answer whose headers are
   * sent on it; idle ones are closed after `idleCloseDelayMs`, or after half of the
   * grace period if that is shorter. From then on, returns as soon as every used
   * connection is closed. A little before the end of the grace period, ends the
   * requests that are still open, accepts no more connections, and refuses what
   * arrives on those that there are.
   *
   * @param signalledAtMs when the stop was requested, in ms
   */
  async finishRequests(signalledAtMs: number): Promise<void> {
    const {callerServer, clock, logger, loop} = this.options;
    this.startedMs = signalledAtMs;
    loop.submit({kind: 'stopRequested', endAtMs: this.endAtMs});
    callerServer.startStopping();
    logger.info('graceful_stop_started', this.describe());
    const areAnswered = await this.waitForAnswers();
    let cutRequests = 0;
    if (!areAnswered) {
      cutRequests = this.endOpenRequests();
      await waitForArrived();
      callerServer.stopListening();
      await sleep(getMarginMs(this.graceMs) * lastAnswersRatio);
      await waitForArrived();
    }
    const tookMs = Math.round(clock.readNowMs() - signalledAtMs);
    logger.info('stopped', {...this.describe(), cutRequests, tookMs});
  }

  /** When the open requests are ended, in ms. */
  private get endAtMs(): number {
    const {graceMs, startedMs = 0} = this;
    return startedMs + graceMs - getMarginMs(graceMs);
  }

  /** Returns what is kept to and what is open, for logs. */
  private describe() {
    const {callerServer, clock, openRequests, state} = this.options;
    return {
      graceMs: this.graceMs,
      graceFrom: this.graceFrom,
      endInMs: Math.round(this.endAtMs - clock.readNowMs()),
      openRequests: openRequests.size,
      activeRequests: state.requests.size,
      hasUsedConnections: callerServer.isUsed,
    };
  }

  /**
   * Waits until all used connections are closed, then accepts no more and waits for
   * those that were accepted last. Returns false if the time is over before that.
   */
  private async waitForAnswers(): Promise<boolean> {
    const {callerServer, clock} = this.options;
    let isListening = true;
    for (;;) {
      const nowMs = clock.readNowMs();
      const remainingMs = this.endAtMs - nowMs;
      if (remainingMs <= 0) return false;
      const {graceMs, startedMs = 0} = this;
      const untilIdleMs =
        startedMs + Math.min(idleCloseDelayMs, graceMs / 2) - nowMs;
      if (untilIdleMs > 0) {
        await sleep(Math.min(gracePollMs, untilIdleMs, remainingMs));
        continue;
      }
      callerServer.closeIdle();
      await sleep(Math.min(stopPollMs, remainingMs));
      await waitForArrived();
      if (callerServer.isUsed) continue;
      if (!isListening) return true;
      callerServer.stopListening();
      isListening = false;
    }
  }

  /**
   * Ends the requests that are still open; returns how many. Those whose answer
   * has not begun are refused, or told that their outcome is unknown.
   */
  private endOpenRequests(): number {
    const {loop, openRequests, state} = this.options;
    const requests = [...openRequests];
    for (const [requestId, openRequest] of requests) {
      if (state.earlyRequests.has(requestId)) {
        openRequest.sendError('notReady', 0);
        continue;
      }
      if (!state.requests.has(requestId)) {
        // Its answer is being sent, or a fault has made the core forget it.
        if (!openRequest.hasStarted) openRequest.sendError('outcomeUnknown', 0);
        continue;
      }
      const reason = 'stopped';
      const isCallStarted = true;
      loop.submit({
        kind: 'requestInterrupted',
        requestId,
        reason,
        isCallStarted,
      });
    }
    return requests.length;
  }
}
