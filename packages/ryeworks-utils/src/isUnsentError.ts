/** Codes of errors that occur before a connection is open. */
const unsentCodes: ReadonlySet<string> = new Set([
  'ECONNREFUSED',
  'EHOSTUNREACH',
  'ENETUNREACH',
  'UND_ERR_CONNECT_TIMEOUT',
]);

/** Returns whether an HTTP call failed before any byte of it was sent. */
export function isUnsentError(error: unknown): boolean {
  const code = (error as {code?: string}).code ?? '';
  return unsentCodes.has(code);
}
