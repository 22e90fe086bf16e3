/**
 * Starts a timer whose callback runs after the data that has arrived was read.
 * After a pause of the process or a long synchronous step, the event loop runs
 * expired timers before it reads sockets, so that a plain timer would take the
 * pause for silence of the other side.
 *
 * @returns cancels the timer
 */
export function startIoTimer(
  callback: () => void,
  delayMs: number,
): () => void {
  let immediate: NodeJS.Immediate | undefined;
  const timer = setTimeout(() => {
    immediate = setImmediate(callback);
  }, delayMs);
  return () => {
    clearTimeout(timer);
    clearImmediate(immediate);
  };
}
