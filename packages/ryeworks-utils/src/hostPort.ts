/** Where something listens. */
export interface HostPort {
  readonly host: string;
  readonly port: number;
}

/** Splits `host:port`. */
export function parseHostPort(address: string): HostPort {
  const colon = address.lastIndexOf(':');
  const port = Number(address.slice(colon + 1));
  return {host: address.slice(0, colon), port};
}

/** Writes `host:port`. */
export function formatHostPort({host, port}: HostPort): string {
  return `${host}:${port}`;
}
