import {Logger, Metrics} from '@ryeworks/logger';
import {
  Effect,
  getNextDueMs,
  handleInput,
  Input,
  NodeState,
  startNode,
} from '@ryeworks/scheduler';
import {Clock} from '@ryeworks/utils';

/** Carries out the effects of one kind. */
export type EffectHandler<K extends Effect['kind']> = (
  effect: Extract<Effect, {kind: K}>,
) => void;

/** A handler for each kind of effect. */
export type EffectHandlers = {[K in Effect['kind']]: EffectHandler<K>};

/** Longest sleep without a timer, in ms. */
const maxSleepMs = 1000;

/**
 * The one loop of the process: gives inputs to the decision core one at a time
 * and carries out what it decides.
 */
export class SchedulerLoop {
  private handlers: EffectHandlers | undefined;
  private timer: NodeJS.Timeout | undefined;
  private isStopped = false;

  constructor(
    readonly state: NodeState,
    private readonly clock: Clock,
  ) {}

  /** Starts the periodic work. */
  start(handlers: EffectHandlers): void {
    this.handlers = handlers;
    this.runEffects(startNode(this.state, this.clock.readNowMs()));
    this.scheduleTimer();
  }

  /** Decides on an input and carries out the effects. */
  submit(input: Input): void {
    if (this.isStopped) return;
    const nowMs = this.clock.readNowMs();
    this.runEffects(handleInput(this.state, input, nowMs));
    this.scheduleTimer();
  }

  /** Stops the timers; later inputs are left out. */
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

/** Creates the handlers of counters and logs. */
export function createReportHandlers(
  logger: Logger,
  metrics: Metrics,
): Pick<EffectHandlers, 'count' | 'log'> {
  return {
    count: effect => metrics.count(effect.name, effect.tags, effect.amount),
    log: effect => logger.info(effect.event, effect.fields),
  };
}
