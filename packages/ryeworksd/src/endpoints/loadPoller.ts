import {LoadReported} from '@ryeworks/scheduler';
import {request} from 'undici';
import {SchedulerLoop} from '../core/schedulerLoop.js';

/** Interval between two polls of an endpoint's load, in ms. */
const pollIntervalMs = 500;

/**
 * Polls the load of every endpoint. Only the baseline routing, which picks the
 * less loaded of two endpoints, needs it.
 */
export class LoadPoller {
  private timer: NodeJS.Timeout | undefined;

  constructor(private readonly loop: SchedulerLoop) {}

  /** Starts polling. */
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
      const response = await request(`${address}/load`, {signal});
      const load = (await response.body.json()) as Pick<
        LoadReported,
        'running' | 'queued'
      >;
      this.loop.submit({kind: 'loadReported', endpoint, ...load});
    } catch {
      // Without a new report, the scheduler keeps using the last one.
    }
  }
}
