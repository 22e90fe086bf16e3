import {getHash} from '@ryeworks/utils';

/** Estimated number of characters per token. */
const charactersPerToken = 4;
/** Number of characters at the start of a prompt that the prefix hash covers. */
const prefixCharacters = 256;
/** Maximum output tokens of a request that does not specify `max_tokens`. */
const defaultMaxTokens = 256;

/** The properties of a completion request that the scheduler uses. */
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

/** Parses a completion request. Returns an error text if it is invalid. */
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
