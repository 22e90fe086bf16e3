import {LoadReported} from '@ryeworks/scheduler';
import {request} from 'undici';
import {SchedulerLoop} from '../core/schedulerLoop.js';

/** Time between two reads of the endpoints' load, in ms. */
const pollIntervalMs = 500;

/** Reads the load of every endpoint; only the baseline routing needs it. */
export class LoadPoller {
  private timer: NodeJS.Timeout | undefined;

  constructor(private readonly loop: SchedulerLoop) {}

  /** Starts to poll. */
  start(): void {
    this.timer = setInterval(() => this.pollEndpoints(), pollIntervalMs);
  }

  /** Stops polling. */
  stop(): void {
    clearInterval(this.timer);
  }

  private pollEndpoints(): void {
    for (const {
      endpoint,
      address,
    } of this.loop.state.admission.endpoints.values()) {
      void this.pollEndpoint(endpoint, address);
    }
  }

  private async pollEndpoint(endpoint: string, address: string): Promise<void> {
    try {
      const signal = AbortSignal.timeout(pollIntervalMs);
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
