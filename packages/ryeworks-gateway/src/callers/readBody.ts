import {IncomingMessage} from 'node:http';

/**
 * Reads a request's whole body; undefined when it is longer than allowed.
 * Rejects when the caller leaves first.
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
