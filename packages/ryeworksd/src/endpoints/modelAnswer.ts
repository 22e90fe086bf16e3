import {
  createParser,
  EventSourceMessage,
  EventSourceParser,
} from 'eventsource-parser';
import {OpenRequest} from '../answers/openRequests.js';

/** Data of the event that ends a stream. */
const endOfStreamData = '[DONE]';

/** One event of a model engine's stream. */
interface CompletionChunk {
  readonly choices?: readonly {readonly delta?: {readonly content?: string}}[];
}

/**
 * Reads the stream of a model engine and passes it to the caller, as a stream
 * or put together. Knows where to resume after a cut.
 */
export class ModelAnswer {
  private readonly decoder = new TextDecoder();
  private parser: EventSourceParser;
  private readonly content: string[] = [];
  /** Tokens received so far. */
  tokens = 0;
  /** Id of the last event received; empty before the first. */
  lastEventId = '';
  /** Whether the engine's end of stream has come. */
  hasReceivedEnd = false;

  constructor(private readonly openRequest: OpenRequest) {
    this.parser = this.createEventParser();
  }

  /** Takes bytes of the engine's stream. */
  addBytes(chunk: Buffer): void {
    this.parser.feed(this.decoder.decode(chunk, {stream: true}));
  }

  /** Writes what the caller still lacks once the stream is whole. */
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

  /** Forgets an incomplete event before the stream is resumed. */
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
