import {ErrorKind} from '@ryeworks/types';
import {countHeaderBytes} from '@ryeworks/utils';
import {IncomingMessage} from 'node:http';

/** Returns whether a request expects anything but to be told to go on. */
export function hasUnknownExpectation({
  headers: {expect},
}: IncomingMessage): boolean {
  return expect !== undefined && expect.toLowerCase() !== '100-continue';
}

/** Returns why the headers of a request are refused; undefined if they are not. */
export function findHeadFault(
  request: IncomingMessage,
  maxHeaderBytes: number,
): ErrorKind | undefined {
  const {headers, httpVersion} = request;
  if (countHeaderBytes(request) > maxHeaderBytes) return 'headersTooLarge';
  const needsHost = httpVersion === '1.1';
  if (needsHost && headers.host === undefined) return 'malformedRequest';
  return undefined;
}
