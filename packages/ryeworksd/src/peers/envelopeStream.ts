import {createEnvelope, Envelope} from '@ryeworks/protocol';
import {PeerMessage} from '@ryeworks/scheduler';

/** Most messages that wait for one peer; more are left out. */
const maxQueuedMessages = 4096;
/** Most messages in one envelope. */
const maxEnvelopeMessages = 256;
/** Time without messages after which a stream is closed, in ms. */
const idleTimeoutMs = 2000;

/** The messages for one peer, gathered into envelopes as they come. */
export class EnvelopeStream {
  private readonly waiting: PeerMessage[] = [];
  private wake: (isIdle: boolean) => void = () => {};
  /** Number of the reader that gets the messages; earlier ones end. */
  private latestReaderId = 0;

  constructor(private readonly vm: string) {}

  /** Adds a message for the next envelope. */
  push(message: PeerMessage): void {
    if (this.waiting.length >= maxQueuedMessages) return;
    this.waiting.push(message);
    this.wake(false);
  }

  /** Forgets the messages that wait. */
  clear(): void {
    this.waiting.length = 0;
  }

  /** Yields envelopes until no message has come for a time. */
  async *readEnvelopes(): AsyncGenerator<Envelope> {
    const reader = ++this.latestReaderId;
    while (reader === this.latestReaderId) {
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

  /** Waits for a message; tells whether none came in time. */
  private async waitForMessage(): Promise<boolean> {
    const {promise, resolve} = createDeferred<boolean>();
    this.wake = resolve;
    const timer = setTimeout(() => resolve(true), idleTimeoutMs);
    const isIdle = await promise;
    clearTimeout(timer);
    return isIdle && this.waiting.length === 0;
  }
}

/** Creates a promise that is resolved from outside. */
function createDeferred<T>(): {
  promise: Promise<T>;
  resolve: (value: T) => void;
} {
  let resolve: (value: T) => void = () => {};
  const promise = new Promise<T>(settle => {
    resolve = settle;
  });
  return {promise, resolve};
}
