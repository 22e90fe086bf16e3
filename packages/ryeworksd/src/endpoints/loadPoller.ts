import {LoadReported} from '@ryeworks/scheduler';
import {request} from 'undici';
import {SchedulerLoop} from '../core/schedulerLoop.js';

/** Time between two reads of the endpoints' load, in ms. */
const pollPeriodMs = 500;

/** Reads the load of every endpoint; only the baseline routing needs it. */
export class LoadPoller {
  private timer: NodeJS.Timeout | undefined;

  constructor(private readonly loop: SchedulerLoop) {}

  /** Starts to poll. */
  start(): void {
    this.timer = setInterval(() => this.pollAll(), pollPeriodMs);
  }

  /** Stops polling. */
  stop(): void {
    clearInterval(this.timer);
  }

  private pollAll(): void {
    for (const {
      endpoint,
      address,
    } of this.loop.state.admission.endpoints.values()) {
      void this.pollOne(endpoint, address);
    }
  }

  private async pollOne(endpoint: string, address: string): Promise<void> {
    try {
      const signal = AbortSignal.timeout(pollPeriodMs);
      const answer = await request(`${address}/load`, {signal});
      const load = (await answer.body.json()) as Pick<
        LoadReported,
        'running' | 'queued'
      >;
      this.loop.submit({kind: 'loadReported', endpoint, ...load});
    } catch {
      // A report that does not come leaves the last one in place.
    }
  }
}
