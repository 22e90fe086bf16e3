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
}

/** A call that got no complete answer. It may have been executed. */
export class HttpCallError extends Error {
  override readonly name = 'HttpCallError';
}

/** Parses the body of an answer. */
function parseBody(chunks: readonly Buffer[]): unknown {
  const text = Buffer.concat(chunks).toString('utf8');
  return text === '' ? undefined : JSON.parse(text);
}

/**
 * Makes a call over a new connection, so that an idle connection that has
 * silently stopped working is never used.
 */
export function callHttp(call: HttpCall): Promise<HttpAnswer> {
  const {address, body, method, path, timeoutMs} = call;
  const {host, port} = parseHostPort(address);
  const name = `${method} ${address}${path}`;
  return new Promise((resolve, reject) => {
    const fail = (reason: string) => {
      clearTimeout(timer);
      reject(new HttpCallError(`${name}: ${reason}`));
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
      const chunks: Buffer[] = [];
      response.on('data', (chunk: Buffer) => chunks.push(chunk));
      response.on('error', error => fail(error.message));
      response.on('end', () => {
        if (!response.complete) return fail('the answer was aborted');
        clearTimeout(timer);
        try {
          const status = response.statusCode ?? 0;
          resolve({status, body: parseBody(chunks)});
        } catch (error) {
          fail(`not JSON: ${(error as Error).message}`);
        }
      });
    });
    outgoing.end(body === undefined ? undefined : JSON.stringify(body));
  });
}
