import {
  createParser,
  EventSourceMessage,
  EventSourceParser,
} from 'eventsource-parser';
import {OpenRequest} from '../answers/openRequests.js';

/** Data of the last event of a stream. */
const endOfStreamData = '[DONE]';

/** Data of one event in a model engine's stream. */
interface CompletionChunk {
  readonly choices?: readonly {readonly delta?: {readonly content?: string}}[];
}

/**
 * Parses the stream of a model engine and forwards it to the caller, either as
 * a stream or as a single completion. Records the ID of the last event, after
 * which a disconnected stream is resumed.
 */
export class ModelAnswer {
  private readonly decoder = new TextDecoder();
  private parser: EventSourceParser;
  private readonly content: string[] = [];
  /** Number of tokens received so far. */
  tokens = 0;
  /** ID of the last event received; empty before the first. */
  lastEventId = '';
  /** Whether the event that ends the stream has been received. */
  hasReceivedEnd = false;

  constructor(private readonly openRequest: OpenRequest) {
    this.parser = this.createEventParser();
  }

  /** Parses a chunk of the engine's stream and forwards its events. */
  addBytes(chunk: Buffer): void {
    this.parser.feed(this.decoder.decode(chunk, {stream: true}));
  }

  /**
   * Writes the end of the answer after the stream has ended: the final event of
   * a streamed answer, or the whole body of an answer that is not streamed.
   */
  finish(): void {
    const {answer, isStreamed, model, requestId} = this.openRequest;
    if (isStreamed) {
      answer.writeBody(Buffer.from(`data: ${endOfStreamData}\n\n`));
      return;
    }
    const message = {role: 'assistant', content: this.content.join('')};
    const body = {
      id: requestId,
      object: 'chat.completion',
      model,
      choices: [{index: 0, message, finish_reason: 'stop'}],
      usage: {completion_tokens: this.tokens},
    };
    answer.writeHead(200, 'application/json');
    answer.writeBody(Buffer.from(JSON.stringify(body)));
  }

  /** Discards an incomplete event before the stream is resumed. */
  prepareResume(): void {
    this.parser = this.createEventParser();
  }

  private createEventParser(): EventSourceParser {
    return createParser({onEvent: event => this.addEvent(event)});
  }

  private addEvent(event: EventSourceMessage): void {
    if (event.id !== undefined) this.lastEventId = event.id;
    if (event.data === endOfStreamData) {
      this.hasReceivedEnd = true;
      return;
    }
    this.tokens += 1;
    const {answer, isStreamed} = this.openRequest;
    if (isStreamed) {
      answer.writeHead(200, 'text/event-stream');
      answer.writeBody(Buffer.from(`data: ${event.data}\n\n`));
      return;
    }
    const chunk = JSON.parse(event.data) as CompletionChunk;
    this.content.push(chunk.choices?.[0]?.delta?.content ?? '');
  }
}
