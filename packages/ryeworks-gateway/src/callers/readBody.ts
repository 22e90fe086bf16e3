import {IncomingMessage} from 'node:http';

/**
 * Reads a request's whole body; returns undefined if it exceeds `maxBytes`.
 * Rejects if the caller disconnects before the body is complete.
 */
export async function readBody(
  request: IncomingMessage,
  maxBytes: number,
): Promise<Buffer | undefined> {
  const chunks: Buffer[] = [];
  let size = 0;
  for await (const chunk of request) {
    size += (chunk as Buffer).length;
    if (size > maxBytes) return undefined;
    chunks.push(chunk as Buffer);
  }
  return Buffer.concat(chunks, size);
}
