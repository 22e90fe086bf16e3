import {callKind, Route} from '../desired/desiredState.js';
import {StopPlan} from '../dispatchState.js';

/**
 * Time after the signal to stop in which streams are still taken, in ms. The
 * balancer sends no new connections after two missed questions, a second apart.
 */
const takeStreamsMs = 2500;
/** Time that a plain call is given before the process ends, in ms. */
const plainCallMs = 1500;

/**
 * Tells whether a request that comes while the process stops can be answered
 * whole. One that cannot is better off at another VM from the start.
 */
export function canFinish(
  stop: StopPlan | undefined,
  route: Route,
  nowMs: number,
): boolean {
  if (stop === undefined) return true;
  if (route.kind === callKind.stream) {
    return nowMs - stop.startedAtMs <= takeStreamsMs;
  }
  return stop.endAtMs - nowMs >= plainCallMs;
}
