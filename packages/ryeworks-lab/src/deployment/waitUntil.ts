/** Longest time to wait for a condition, in ms. */
const waitTimeoutMs = 60_000;
/** Time between two looks, in ms. */
const pollIntervalMs = 50;

/** Waits until a condition holds; throws when it does not come to hold. */
export async function waitUntil(
  description: string,
  isMet: () => Promise<boolean> | boolean,
): Promise<void> {
  for (let waitedMs = 0; waitedMs < waitTimeoutMs; waitedMs += pollIntervalMs) {
    if (await isMet()) return;
    await new Promise(resolve => setTimeout(resolve, pollIntervalMs));
  }
  throw new Error(`not within ${waitTimeoutMs} ms: ${description}`);
}
