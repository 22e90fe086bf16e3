import {createParser} from 'eventsource-parser';
import {randomUUID} from 'node:crypto';
import {Agent, request} from 'undici';
import {CallKind} from '../deployment/deploymentPlan.js';

/** A call to make. */
export interface PlannedCall {
  readonly kind: CallKind;
  readonly apiKey: string;
  readonly promptTokens: number;
  readonly outputTokens: number;
  readonly isStreamed: boolean;
  /** Idempotency key; empty for none. */
  readonly key: string;
  /** Attempt number that is sent; 0 for none. */
  readonly attempt: number;
}

/** How a call went. */
export interface CallResult {
  readonly call: PlannedCall;
  readonly status: number;
  readonly error: string;
  /** What the answer says of whether the call ran. */
  readonly ran: string;
  readonly retryAfterMs: number;
  /** Whether the answer came whole and was the call's own. */
  readonly isComplete: boolean;
  /** Whether the answer held something of another request. */
  readonly hasForeignContent: boolean;
  readonly firstTokenMs: number;
  readonly interTokenMs: readonly number[];
  readonly totalMs: number;
}

/** Text that counts as a number of tokens. */
function createPrompt(tokens: number, key: string): string {
  return `${key} `.padEnd(tokens * 4, 'pollen count ');
}

const agent = new Agent({connections: 256, pipelining: 1});

/** Creates a call with a fresh idempotency key where the kind has one. */
export function createCall(
  kind: CallKind,
  apiKey: string,
  sizes: {promptTokens: number; outputTokens: number},
): PlannedCall {
  const key = kind.hasIdempotencyKey ? randomUUID() : '';
  const isStreamed = kind.tier === 1;
  return {kind, apiKey, ...sizes, isStreamed, key, attempt: 1};
}

/** Creates the HTTP request of a call. */
function createHttpRequest(url: string, call: PlannedCall) {
  const {kind, key} = call;
  const headers: Record<string, string> = {
    authorization: `Bearer ${call.apiKey}`,
    'ryeworks-tier': `${kind.tier}`,
    'ryeworks-deadline-ms': `${kind.deadlineMs}`,
  };
  if (key !== '') headers['idempotency-key'] = key;
  if (call.attempt > 0) headers['ryeworks-attempt'] = `${call.attempt}`;
  const isModel = kind.path === '';
  const path = isModel
    ? '/v1/chat/completions'
    : `/services/${kind.service}${kind.path}`;
  const modelBody = {
    model: kind.service,
    stream: call.isStreamed,
    max_tokens: call.outputTokens,
    messages: [{role: 'user', content: createPrompt(call.promptTokens, key)}],
  };
  const body = isModel ? modelBody : {key};
  const hasBody = kind.method === 'POST';
  if (hasBody) headers['content-type'] = 'application/json';
  return {
    url: url + path,
    options: {
      method: kind.method,
      headers,
      body: hasBody ? JSON.stringify(body) : undefined,
      dispatcher: agent,
      headersTimeout: 60_000,
      bodyTimeout: 60_000,
    },
  };
}

/** Words of a stand-in engine's answer. */
function checkWords(
  text: string,
  label: string,
  expected: number,
): {isComplete: boolean; hasForeignContent: boolean} {
  const words = text.trim().split(/\s+/);
  const isCrossed = words.some(
    (word, index) => word !== `w${index + 1}-${label}`,
  );
  return {
    isComplete: words.length === expected && !isCrossed,
    hasForeignContent: isCrossed,
  };
}

/** Reads a streamed answer; times its tokens. */
async function readStream(
  body: AsyncIterable<Buffer>,
  startMs: number,
): Promise<{text: string; hasEnded: boolean; tokenTimesMs: number[]}> {
  const words: string[] = [];
  const tokenTimesMs: number[] = [];
  let hasEnded = false;
  const parser = createParser({
    onEvent: event => {
      if (event.data === '[DONE]') {
        hasEnded = true;
        return;
      }
      if (event.event === 'error') return;
      tokenTimesMs.push(performance.now() - startMs);
      const chunk = JSON.parse(event.data) as {
        choices: {delta: {content: string}}[];
      };
      words.push(chunk.choices[0].delta.content);
    },
  });
  try {
    const decoder = new TextDecoder();
    for await (const chunk of body) {
      parser.feed(decoder.decode(chunk, {stream: true}));
    }
  } catch {
    hasEnded = false;
  }
  return {text: words.join(''), hasEnded, tokenTimesMs};
}

/** Makes a call and checks its answer. */
export async function makeCall(
  url: string,
  call: PlannedCall,
): Promise<CallResult> {
  const startMs = performance.now();
  const emptyResult = {
    call,
    error: '',
    ran: '',
    retryAfterMs: 0,
    isWhole: false,
    isCrossed: false,
    firstTokenMs: 0,
    interTokenMs: [],
  };
  try {
    const httpRequest = createHttpRequest(url, call);
    const response = await request(httpRequest.url, httpRequest.options);
    const status = response.statusCode;
    const label = call.key || String(response.headers['x-request-id']);
    if (status >= 400) {
      const errorBody = (await response.body.json()) as {
        error?: {type: string; ran: string; retry_after_ms?: number};
      };
      const totalMs = performance.now() - startMs;
      const error = errorBody.error?.type ?? `status ${status}`;
      const ran = errorBody.error?.ran ?? '';
      const retryAfterMs = errorBody.error?.retry_after_ms ?? 0;
      return {...emptyResult, status, error, ran, retryAfterMs, totalMs};
    }
    if (call.kind.path !== '') {
      const body = (await response.body.json()) as {label?: string};
      const isComplete = body.label === label;
      const totalMs = performance.now() - startMs;
      const firstTokenMs = totalMs;
      const hasForeignContent = !isComplete;
      return {
        ...emptyResult,
        status,
        isComplete,
        hasForeignContent,
        firstTokenMs,
        totalMs,
      };
    }
    if (!call.isStreamed) {
      const body = (await response.body.json()) as {
        choices: {message: {content: string}}[];
      };
      const totalMs = performance.now() - startMs;
      const text = body.choices[0].message.content;
      const checked = checkWords(text, label, call.outputTokens);
      return {
        ...emptyResult,
        status,
        ...checked,
        firstTokenMs: totalMs,
        totalMs,
      };
    }
    const stream = await readStream(response.body, startMs);
    const totalMs = performance.now() - startMs;
    const {tokenTimesMs} = stream;
    const wordCheck = checkWords(stream.text, label, call.outputTokens);
    const isComplete = wordCheck.isComplete && stream.hasEnded;
    const error = stream.hasEnded ? '' : 'truncated';
    const interTokenMs = tokenTimesMs
      .slice(1)
      .map((at, index) => at - tokenTimesMs[index]);
    const firstTokenMs = tokenTimesMs[0] ?? 0;
    const timing = {firstTokenMs, interTokenMs, totalMs};
    return {...emptyResult, status, ...wordCheck, isComplete, error, ...timing};
  } catch (error) {
    const totalMs = performance.now() - startMs;
    const {code, message} = error as {code?: string; message: string};
    return {...emptyResult, status: 0, error: code ?? message, totalMs};
  }
}
