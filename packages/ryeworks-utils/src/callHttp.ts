import {
  ClientRequest,
  IncomingHttpHeaders,
  IncomingMessage,
  request,
} from 'node:http';
import {gunzipSync} from 'node:zlib';
import {AnswerTimers} from './answerTimers.js';
import {ByteCollector} from './byteCollector.js';
import {hasValidPort, parseHostPort} from './hostPort.js';

/**
 * Largest body of an answer, as received and unpacked, in bytes. A list has many
 * objects, each of at most 1 MiB.
 */
const maxBodyBytes = 16_777_216;

/** An HTTP call, with or without a JSON body. */
export interface HttpCall {
  /** `host:port`. */
  readonly address: string;
  readonly method: 'GET' | 'POST' | 'PUT' | 'DELETE';
  readonly path: string;
  readonly body?: unknown;
  /** Whether the answer may be compressed. */
  readonly acceptsGzip?: boolean;
  /**
   * Time limit for the beginning of the answer, in ms. The rest may take longer
   * as long as bytes arrive: a large answer over a slow link would otherwise
   * fail on each retry.
   */
  readonly timeoutMs: number;
}

/** A complete answer. */
export interface HttpAnswer {
  readonly status: number;
  readonly headers: IncomingHttpHeaders;
  /** Parsed JSON body; undefined if the body is empty. */
  readonly body: unknown;
  /** Size of the body as received, in bytes. */
  readonly sizeBytes: number;
}

/** A call that got no complete answer. It may have been executed. */
export class HttpCallError extends Error {
  override readonly name = 'HttpCallError';
}

/** Parses the body of an answer. */
function parseBody({headers}: IncomingMessage, bytes: Buffer): unknown {
  if (bytes.length === 0) return undefined;
  const isCompressed = headers['content-encoding'] === 'gzip';
  const text = isCompressed
    ? gunzipSync(bytes, {maxOutputLength: maxBodyBytes})
    : bytes;
  return JSON.parse(text.toString('utf8'));
}

/** Prepares the request of a call; throws if its address or path is malformed. */
function createRequest(call: HttpCall, name: string): ClientRequest {
  const {acceptsGzip, address, method, path} = call;
  if (!hasValidPort(address)) {
    throw new HttpCallError(`${name}: malformed address`);
  }
  const headers = {
    'content-type': 'application/json',
    ...(acceptsGzip ? {'accept-encoding': 'gzip'} : {}),
  };
  const options = {...parseHostPort(address), method, path, headers};
  try {
    return request({...options, agent: false});
  } catch (error) {
    throw new HttpCallError(`${name}: ${(error as Error).message}`);
  }
}

/**
 * Makes a call over a new connection, so that an idle connection that has
 * silently stopped working is never used.
 */
export function callHttp(call: HttpCall): Promise<HttpAnswer> {
  const {address, method, path, timeoutMs} = call;
  const name = `${method} ${address}${path}`;
  return new Promise((resolve, reject) => {
    const received = new ByteCollector();
    let receivedBytes = 0;
    let expectedBytes = 'unknown';
    const fail = (reason: string) => {
      timers.stop();
      const progress = `received ${receivedBytes} of ${expectedBytes} bytes`;
      reject(new HttpCallError(`${name}: ${reason}, ${progress}`));
      outgoing.destroy();
    };
    // Before the timers, which would use it if it could not be created.
    const outgoing = createRequest(call, name);
    const timers = new AnswerTimers(timeoutMs, fail);
    outgoing.on('error', error => fail(error.message));
    outgoing.on('response', response => {
      timers.handleBeginning();
      expectedBytes = response.headers['content-length'] ?? expectedBytes;
      response.on('data', (chunk: Buffer) => {
        receivedBytes += chunk.length;
        if (receivedBytes > maxBodyBytes) return fail('answer too large');
        received.addChunk(chunk);
        timers.handleProgress();
      });
      response.on('error', error => fail(error.message));
      response.on('end', () => {
        if (!response.complete) return fail('the answer was aborted');
        timers.stop();
        try {
          const {headers, statusCode: status = 0} = response;
          const body = parseBody(response, received.removeBytes());
          resolve({status, headers, body, sizeBytes: receivedBytes});
        } catch (error) {
          fail(`unreadable answer: ${(error as Error).message}`);
        }
      });
    });
    outgoing.end(
      call.body === undefined ? undefined : JSON.stringify(call.body),
    );
  });
}
