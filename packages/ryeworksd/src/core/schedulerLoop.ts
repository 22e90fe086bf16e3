import {Logger, Metrics} from '@ryeworks/logger';
import {
  Effect,
  getNextDueMs,
  handleInput,
  Input,
  SchedulerState,
  startScheduler,
} from '@ryeworks/scheduler';
import {Clock} from '@ryeworks/utils';

/** Executes the effects of one kind. */
export type EffectHandler<K extends Effect['kind']> = (
  effect: Extract<Effect, {kind: K}>,
) => void;

/** Handlers by kind of effect. */
export type EffectHandlers = {[K in Effect['kind']]: EffectHandler<K>};

/** Maximum time until the next timer input if no timer is set, in ms. */
const maxSleepMs = 1000;

/**
 * Event loop of the process. Passes inputs to the scheduler one at a time and
 * executes the effects that it returns.
 */
export class SchedulerLoop {
  private handlers: EffectHandlers | undefined;
  private timer: NodeJS.Timeout | undefined;
  private isStopped = false;

  constructor(
    readonly state: SchedulerState,
    private readonly clock: Clock,
  ) {}

  /** Starts the scheduler and its timers. */
  start(handlers: EffectHandlers): void {
    this.handlers = handlers;
    this.runEffects(startScheduler(this.state, this.clock.readNowMs()));
    this.scheduleTimer();
  }

  /** Passes an input to the scheduler and executes the effects. */
  submit(input: Input): void {
    if (this.isStopped) return;
    const nowMs = this.clock.readNowMs();
    this.runEffects(handleInput(this.state, input, nowMs));
    this.scheduleTimer();
  }

  /** Stops the timers. Later inputs are ignored. */
  stop(): void {
    this.isStopped = true;
    clearTimeout(this.timer);
  }

  private runEffects(effects: readonly Effect[]): void {
    const {handlers} = this;
    if (handlers === undefined) return;
    for (const effect of effects) {
      const handler = handlers[effect.kind] as EffectHandler<Effect['kind']>;
      handler(effect);
    }
  }

  private scheduleTimer(): void {
    clearTimeout(this.timer);
    const nowMs = this.clock.readNowMs();
    const dueMs = getNextDueMs(this.state) ?? nowMs + maxSleepMs;
    const delayMs = Math.max(0, Math.ceil(dueMs - nowMs));
    this.timer = setTimeout(() => this.submit({kind: 'timerDue'}), delayMs);
  }
}

/** Creates the handlers for the counter and log effects. */
export function createReportHandlers(
  logger: Logger,
  metrics: Metrics,
): Pick<EffectHandlers, 'count' | 'log'> {
  return {
    count: effect => metrics.count(effect.name, effect.tags, effect.amount),
    log: effect => logger.info(effect.event, effect.fields),
  };
}
