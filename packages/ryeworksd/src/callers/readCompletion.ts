import {getHash} from '@ryeworks/utils';

/** Characters that count as one token. */
const charactersPerToken = 4;
/** Characters whose hash stands for a prompt's prefix. */
const prefixCharacters = 256;
/** Output tokens of a request that names none. */
const defaultMaxTokens = 256;

/** What the scheduler needs of a completion request. */
export interface CompletionRequest {
  readonly model: string;
  readonly isStreamed: boolean;
  readonly promptTokens: number;
  readonly maxTokens: number;
  readonly prefixHash: number;
}

/** A message of a completion request. */
interface ChatMessage {
  readonly content?: unknown;
}

/** Reads a completion request; returns what is wrong with it as text. */
export function readCompletion(body: unknown): CompletionRequest | string {
  if (typeof body !== 'object' || body === null) {
    return 'the body must be a JSON object';
  }
  const fields = body as Record<string, unknown>;
  const {model, messages, stream} = fields;
  const maxTokens = fields['max_tokens'] ?? defaultMaxTokens;
  if (typeof model !== 'string') return '"model" must be a string';
  if (!Array.isArray(messages) || messages.length === 0) {
    return '"messages" must be a list with at least one message';
  }
  if (!Number.isInteger(maxTokens) || (maxTokens as number) < 1) {
    return '"max_tokens" must be a whole number above 0';
  }
  const texts = messages.map((message: ChatMessage) =>
    typeof message?.content === 'string' ? message.content : '',
  );
  const text = texts.join('\n');
  return {
    model,
    isStreamed: stream === true,
    promptTokens: Math.max(1, Math.ceil(text.length / charactersPerToken)),
    maxTokens: maxTokens as number,
    prefixHash: getHash(text.slice(0, prefixCharacters)),
  };
}
