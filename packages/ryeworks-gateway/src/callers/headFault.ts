import {ErrorKind} from '@ryeworks/types';
import {IncomingMessage} from 'node:http';

/** Returns the size of a request's headers, in bytes. */
export function countHeaderBytes(request: IncomingMessage): number {
  let size = 0;
  for (const part of request.rawHeaders) size += part.length + 2;
  return size;
}

/** Returns whether a request expects anything but to be told to go on. */
export function hasUnknownExpectation({
  headers: {expect},
}: IncomingMessage): boolean {
  return expect !== undefined && expect.toLowerCase() !== '100-continue';
}

/** Returns why the headers of a request are refused; undefined if they are not. */
export function findHeadFault(
  {headers, httpVersion}: IncomingMessage,
  headerBytes: number,
  maxHeaderBytes: number,
): ErrorKind | undefined {
  if (headerBytes > maxHeaderBytes) return 'headersTooLarge';
  const needsHost = httpVersion === '1.1';
  if (needsHost && headers.host === undefined) return 'malformedRequest';
  return undefined;
}
