import {systemClock} from './clock.js';

/**
 * Time from the expiry of a timer to its callback above which data may have
 * arrived meanwhile that was not read, in ms. The reading of what has arrived
 * takes less, except for a long synchronous step.
 */
const maxReadMs = 20;

/**
 * Starts a timer whose callback runs after the data that has arrived was read.
 * After a pause of the process or a long synchronous step, the event loop runs
 * expired timers before it reads sockets, so that a plain timer would take the
 * pause for silence of the other side. If reading itself takes long, sockets are
 * read once more, but not again, so that a busy process still runs the callback.
 *
 * @returns cancels the timer
 */
export function startIoTimer(
  callback: () => void,
  delayMs: number,
): () => void {
  let immediate: NodeJS.Immediate | undefined;
  const timer = setTimeout(() => {
    const expiredAtMs = systemClock.readNowMs();
    immediate = setImmediate(() => {
      const readMs = systemClock.readNowMs() - expiredAtMs;
      if (readMs <= maxReadMs) callback();
      else immediate = setImmediate(callback);
    });
  }, delayMs);
  return () => {
    clearTimeout(timer);
    clearImmediate(immediate);
  };
}
