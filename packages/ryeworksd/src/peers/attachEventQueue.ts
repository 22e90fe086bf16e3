import {create} from '@bufbuild/protobuf';
import {AttachEvent, AttachEventSchema} from '@ryeworks/protocol';
import {AnswerFailure, AnswerSink} from '../answers/answerSink.js';

/** Converts an answer into a queue of events that are streamed to a peer. */
export class AttachEventQueue implements AnswerSink {
  private readonly events: AttachEvent[] = [];
  /** Resolves the promise for which `readEvents` waits. */
  private wake: () => void = () => {};
  private hasEnded = false;

  writeHead(status: number, contentType: string): void {
    this.push({case: 'head', value: {status, contentType}});
  }

  writeBody(chunk: Buffer): void {
    this.push({case: 'body', value: new Uint8Array(chunk)});
  }

  end(): void {
    this.hasEnded = true;
    this.push({case: 'end', value: {}});
  }

  fail(failure: AnswerFailure): void {
    this.hasEnded = true;
    this.push({case: 'failure', value: failure});
  }

  /** Yields the events until the answer ends. */
  async *readEvents(): AsyncGenerator<AttachEvent> {
    for (;;) {
      const event = this.events.shift();
      if (event !== undefined) {
        yield event;
        continue;
      }
      if (this.hasEnded) return;
      await new Promise<void>(resolve => {
        this.wake = resolve;
      });
    }
  }

  private push(
    event:
      | {case: 'head'; value: {status: number; contentType: string}}
      | {case: 'body'; value: Uint8Array<ArrayBuffer>}
      | {case: 'end'; value: object}
      | {case: 'failure'; value: AnswerFailure},
  ): void {
    this.events.push(create(AttachEventSchema, {event}));
    this.wake();
  }
}
