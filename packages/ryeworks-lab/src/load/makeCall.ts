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
  /** Idempotency key; empty to send none. */
  readonly key: string;
  /** Attempt number to send; 0 to send none. */
  readonly attempt: number;
}

/** The result of one attempt of a call. */
export interface CallResult {
  readonly call: PlannedCall;
  /** HTTP status; 0 if no response was received. */
  readonly status: number;
  /**
   * Error kind of the answer, code of a connection error, or `truncated` for a
   * stream without an end; empty if there was no error.
   */
  readonly error: string;
  /** Run status that the answer states; empty if it states none. */
  readonly ran: string;
  readonly retryAfterMs: number;
  /** Whether the answer is complete and belongs to this call. */
  readonly isComplete: boolean;
  /** Whether the answer contains content of another request. */
  readonly hasForeignContent: boolean;
  readonly firstTokenMs: number;
  readonly interTokenMs: readonly number[];
  readonly totalMs: number;
}

/** Creates a prompt that counts as a number of tokens, 4 characters each. */
function createPrompt(tokens: number, key: string): string {
  return `${key} `.padEnd(tokens * 4, 'pollen count ');
}

const agent = new Agent({connections: 256, pipelining: 1});

/** Creates a call, with a new idempotency key if its kind has one. */
export function createCall(
  kind: CallKind,
  apiKey: string,
  sizes: {promptTokens: number; outputTokens: number},
): PlannedCall {
  const key = kind.hasIdempotencyKey ? randomUUID() : '';
  const isStreamed = kind.tier === 1;
  return {kind, apiKey, ...sizes, isStreamed, key, attempt: 1};
}

/** Creates the URL and options of the HTTP request for a call. */
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

/**
 * Checks the words of an engine stand-in's answer. The n-th word of an answer
 * must be `w<n>-<label>`, where the label is the idempotency key or, without
 * one, the request ID.
 */
function checkWords(
  text: string,
  label: string,
  expected: number,
): {isComplete: boolean; hasForeignContent: boolean} {
  const words = text.trim().split(/\s+/);
  const hasForeignContent = words.some(
    (word, index) => word !== `w${index + 1}-${label}`,
  );
  return {
    isComplete: words.length === expected && !hasForeignContent,
    hasForeignContent,
  };
}

/**
 * Reads a streamed answer and records the time from the start of the call to
 * each token, in ms. `hasEnded` states whether the end of the stream arrived.
 */
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

/** Makes one attempt of a call and checks the answer. */
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
    isComplete: false,
    hasForeignContent: false,
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
      const wordCheck = checkWords(text, label, call.outputTokens);
      return {
        ...emptyResult,
        status,
        ...wordCheck,
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
      .map((timeMs, index) => timeMs - tokenTimesMs[index]);
    const firstTokenMs = tokenTimesMs[0] ?? 0;
    const timing = {firstTokenMs, interTokenMs, totalMs};
    return {...emptyResult, status, ...wordCheck, isComplete, error, ...timing};
  } catch (error) {
    const totalMs = performance.now() - startMs;
    const {code, message} = error as {code?: string; message: string};
    return {...emptyResult, status: 0, error: code ?? message, totalMs};
  }
}
