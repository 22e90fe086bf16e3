import {ByteCollector} from '@ryeworks/utils';
import {IncomingMessage} from 'node:http';

/** Error of a caller that disconnected before its request was complete. */
export class RequestCutError extends Error {
  override readonly name = 'RequestCutError';
}

/**
 * Reads a request's whole body; returns undefined as soon as it exceeds
 * `maxBytes`. The rest of such a body is not read. Rejects if the caller
 * disconnects before the body is complete.
 */
export function readBody(
  request: IncomingMessage,
  maxBytes: number,
): Promise<Buffer | undefined> {
  const collector = new ByteCollector();
  let size = 0;
  return new Promise((resolve, reject) => {
    request.on('data', (chunk: Buffer) => {
      size += chunk.length;
      if (size <= maxBytes) {
        collector.addChunk(chunk);
        return;
      }
      request.removeAllListeners('data');
      request.pause();
      resolve(undefined);
    });
    request.once('end', () => resolve(collector.removeBytes()));
    request.once('error', error => reject(new RequestCutError(error.message)));
    request.once('close', () =>
      reject(new RequestCutError(`after ${size} bytes of the body`)),
    );
  });
}

/**
 * Discards what is left of a request's body, until it has ended or the caller has
 * disconnected, for `maxMs` at most.
 */
export function dropBody(
  request: IncomingMessage,
  maxMs: number,
): Promise<void> {
  return new Promise(resolve => {
    if (request.complete || request.socket.destroyed) {
      resolve();
      return;
    }
    const timer = setTimeout(resolve, maxMs);
    for (const event of ['end', 'error', 'close']) {
      request.once(event, () => {
        clearTimeout(timer);
        resolve();
      });
    }
    request.resume();
  });
}
