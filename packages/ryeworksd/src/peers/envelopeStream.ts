import {createEnvelope, Envelope} from '@ryeworks/protocol';
import {PeerMessage} from '@ryeworks/scheduler';

/** Maximum number of messages queued for one peer; more are dropped. */
const maxQueuedMessages = 4096;
/** Maximum number of messages in one envelope. */
const maxEnvelopeMessages = 256;
/** Time without messages after which a stream is closed, in ms. */
const idleTimeoutMs = 2000;

/** Queue of messages for one peer, which are sent in batches called envelopes. */
export class EnvelopeStream {
  private readonly waiting: PeerMessage[] = [];
  /** Resolves the promise for which the reader waits. */
  private wake: (isIdle: boolean) => void = () => {};
  /**
   * ID of the latest reader. Only the latest reader receives messages; earlier
   * readers end.
   */
  private latestReaderId = 0;

  constructor(private readonly vm: string) {}

  /** Queues a message for the next envelope. */
  push(message: PeerMessage): void {
    if (this.waiting.length >= maxQueuedMessages) return;
    this.waiting.push(message);
    this.wake(false);
  }

  /** Drops the queued messages. */
  clear(): void {
    this.waiting.length = 0;
  }

  /** Yields envelopes until the stream has been idle for `idleTimeoutMs`. */
  async *readEnvelopes(): AsyncGenerator<Envelope> {
    const readerId = ++this.latestReaderId;
    while (readerId === this.latestReaderId) {
      if (this.waiting.length > 0) {
        yield createEnvelope(
          this.vm,
          this.waiting.splice(0, maxEnvelopeMessages),
        );
        continue;
      }
      if (await this.waitForMessage()) return;
    }
  }

  /** Waits for a message. Returns whether none arrived within the timeout. */
  private async waitForMessage(): Promise<boolean> {
    const {promise, resolve} = createDeferred<boolean>();
    this.wake = resolve;
    const timer = setTimeout(() => resolve(true), idleTimeoutMs);
    const isIdle = await promise;
    clearTimeout(timer);
    return isIdle && this.waiting.length === 0;
  }
}

/** Creates a promise together with the function that resolves it. */
function createDeferred<T>(): {
  promise: Promise<T>;
  resolve: (value: T) => void;
} {
  let resolve: (value: T) => void = () => {};
  const promise = new Promise<T>(resolvePromise => {
    resolve = resolvePromise;
  });
  return {promise, resolve};
}
