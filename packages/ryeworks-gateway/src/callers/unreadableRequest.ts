import {STATUS_CODES} from 'node:http';

/** Error of the HTTP parser, or of the check for slow callers. */
export interface ReadError extends Error {
  readonly code?: string;
}

/** How a request that cannot be read is refused. */
export interface UnreadableRefusal {
  readonly status: number;
  /** Why, for logs and counters. */
  readonly reason: string;
}

const malformed: UnreadableRefusal = {status: 400, reason: 'malformedRequest'};
/** Refusal of what a connection holds when there is no memory for it. */
export const excessRefusal: UnreadableRefusal = {
  status: 503,
  reason: 'memoryShort',
};
/** Refusals by error code; any other error is a malformed request. */
const refusals: Readonly<Record<string, UnreadableRefusal>> = {
  ERR_HTTP_REQUEST_TIMEOUT: {status: 408, reason: 'headersTooSlow'},
  HPE_HEADER_OVERFLOW: {status: 431, reason: 'headersTooLarge'},
  HPE_CHUNK_EXTENSIONS_OVERFLOW: {status: 413, reason: 'bodyTooLarge'},
};
/** Codes that only show that the caller has left. */
const disconnectCodes: ReadonlySet<string> = new Set([
  'ECONNRESET',
  'EPIPE',
  'ETIMEDOUT',
  'HPE_INVALID_EOF_STATE',
]);

/** Returns whether an error only shows that the caller has left. */
export function isDisconnect({code}: ReadError): boolean {
  return disconnectCodes.has(code ?? '');
}

/** Returns how a request that cannot be read is refused. */
export function getUnreadableRefusal({code}: ReadError): UnreadableRefusal {
  return refusals[code ?? ''] ?? malformed;
}

/** Formats the refusal of a request that cannot be read. */
export function formatUnreadableAnswer({status}: UnreadableRefusal): string {
  const statusLine = `HTTP/1.1 ${status} ${STATUS_CODES[status]}`;
  return `${statusLine}\r\nContent-Length: 0\r\nConnection: close\r\n\r\n`;
}
