import {
  DispatchState,
  Effect,
  getNextDueMs,
  handleInput,
  Input,
  startDispatch,
} from '@ryeworks/dispatch';
import {Clock, startIoTimer} from '@ryeworks/utils';

/** Handles the effects of one kind. */
type EffectHandler<K extends Effect['kind']> = (
  effect: Extract<Effect, {kind: K}>,
) => void;

/** Effects that the loop handles itself. */
type LoopEffectKind = 'reportFault';

/** A handler for each kind of effect that the loop does not handle. */
export type EffectHandlers = {
  [K in Exclude<Effect['kind'], LoopEffectKind>]: EffectHandler<K>;
};

/** An error that the core or the handler of an effect has thrown. */
export interface Fault {
  readonly error: unknown;
  /** Kind of the input or effect that was handled. */
  readonly source: Input['kind'] | Effect['kind'];
  /** Request that it belongs to; undefined if none. */
  readonly requestId: string | undefined;
}

/** Creates the description of a fault in handling an input or an effect. */
function createFault(error: unknown, handled: Input | Effect): Fault {
  const requestId = 'requestId' in handled ? handled.requestId : undefined;
  return {error, source: handled.kind, requestId};
}

/** Delay until the core runs again if it has no timer set, in ms. */
const defaultTimerDelayMs = 1000;

/**
 * The event loop around the dispatch core: passes inputs to the core one at a
 * time and runs the effects that it returns. Inputs submitted during this are
 * queued. Each process has one such loop. An error that is thrown meanwhile is
 * reported and ends neither the loop nor the handling of the other effects.
 */
export class DispatchLoop {
  private handlers: EffectHandlers | undefined;
  private handleFault: ((fault: Fault) => void) | undefined;
  private readonly inputs: Input[] = [];
  private cancelTimer = () => {};
  private timerDueMs = Number.POSITIVE_INFINITY;
  private isRunning = false;
  private isStopped = false;

  constructor(
    readonly state: DispatchState,
    private readonly clock: Clock,
  ) {}

  /** Starts the core and its timers. */
  start(handlers: EffectHandlers, handleFault: (fault: Fault) => void): void {
    this.handlers = handlers;
    this.handleFault = handleFault;
    startDispatch(this.state, this.clock.readNowMs());
    this.scheduleTimer();
  }

  /** Passes an input to the core and runs the resulting effects. */
  submit(input: Input): void {
    if (this.isStopped) return;
    this.inputs.push(input);
    if (this.isRunning) return;
    this.isRunning = true;
    try {
      this.handleInputs();
    } finally {
      this.isRunning = false;
    }
    this.scheduleTimer();
  }

  /** Stops the timers; later inputs are ignored. */
  stop(): void {
    this.isStopped = true;
    this.cancelTimer();
  }

  private handleInputs(): void {
    for (;;) {
      const input = this.inputs.shift();
      if (input === undefined) return;
      for (const effect of this.decideEffects(input)) this.runEffect(effect);
    }
  }

  private decideEffects(input: Input): Effect[] {
    try {
      return handleInput(this.state, input, this.clock.readNowMs());
    } catch (error) {
      this.handleFault?.(createFault(error, input));
      return [];
    }
  }

  private runEffect(effect: Effect): void {
    if (effect.kind === 'reportFault') {
      const {error, requestId} = effect;
      this.handleFault?.({error, source: 'timerDue', requestId});
      return;
    }
    const handler = this.handlers?.[effect.kind] as
      EffectHandler<Effect['kind']> | undefined;
    try {
      handler?.(effect);
    } catch (error) {
      this.handleFault?.(createFault(error, effect));
    }
  }

  private scheduleTimer(): void {
    if (this.isStopped) return;
    const nowMs = this.clock.readNowMs();
    const dueMs = getNextDueMs(this.state) ?? nowMs + defaultTimerDelayMs;
    if (dueMs === this.timerDueMs) return;
    this.cancelTimer();
    this.timerDueMs = dueMs;
    const delayMs = Math.max(0, Math.ceil(dueMs - nowMs));
    this.cancelTimer = startIoTimer(() => {
      this.timerDueMs = Number.POSITIVE_INFINITY;
      this.submit({kind: 'timerDue'});
    }, delayMs);
  }
}
