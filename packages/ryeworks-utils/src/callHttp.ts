import {request} from 'node:http';
import {parseHostPort} from './hostPort.js';

/** An HTTP call, with or without a JSON body. */
export interface HttpCall {
  /** `host:port`. */
  readonly address: string;
  readonly method: 'GET' | 'POST' | 'PUT' | 'DELETE';
  readonly path: string;
  readonly body?: unknown;
  /** Time limit for the complete answer, in ms. */
  readonly timeoutMs: number;
}

/** A complete answer. */
export interface HttpAnswer {
  readonly status: number;
  /** Parsed JSON body; undefined if the body is empty. */
  readonly body: unknown;
  /** Size of the body in bytes. */
  readonly sizeBytes: number;
}

/** A call that got no complete answer. It may have been executed. */
export class HttpCallError extends Error {
  override readonly name = 'HttpCallError';
}

/** Parses the body of an answer. */
function parseBody(bytes: Buffer): unknown {
  return bytes.length === 0 ? undefined : JSON.parse(bytes.toString('utf8'));
}

/**
 * Makes a call over a new connection, so that an idle connection that has
 * silently stopped working is never used.
 */
export function callHttp(call: HttpCall): Promise<HttpAnswer> {
  const {address, method, path, timeoutMs} = call;
  const {host, port} = parseHostPort(address);
  const name = `${method} ${address}${path}`;
  return new Promise((resolve, reject) => {
    const chunks: Buffer[] = [];
    let receivedBytes = 0;
    let expectedBytes = 'unknown';
    const fail = (reason: string) => {
      clearTimeout(timer);
      const progress = `received ${receivedBytes} of ${expectedBytes} bytes`;
      reject(new HttpCallError(`${name}: ${reason}, ${progress}`));
      outgoing.destroy();
    };
    const timer = setTimeout(
      () => fail(`no answer in ${timeoutMs} ms`),
      timeoutMs,
    );
    const outgoing = request({
      host,
      port,
      method,
      path,
      agent: false,
      headers: {'content-type': 'application/json'},
    });
    outgoing.on('error', error => fail(error.message));
    outgoing.on('response', response => {
      expectedBytes = response.headers['content-length'] ?? expectedBytes;
      response.on('data', (chunk: Buffer) => {
        chunks.push(chunk);
        receivedBytes += chunk.length;
      });
      response.on('error', error => fail(error.message));
      response.on('end', () => {
        if (!response.complete) return fail('the answer was aborted');
        clearTimeout(timer);
        try {
          const status = response.statusCode ?? 0;
          const body = parseBody(Buffer.concat(chunks));
          resolve({status, body, sizeBytes: receivedBytes});
        } catch (error) {
          fail(`not JSON: ${(error as Error).message}`);
        }
      });
    });
    outgoing.end(
      call.body === undefined ? undefined : JSON.stringify(call.body),
    );
  });
}
