/** Host and TCP port of a listener. */
export interface HostPort {
  readonly host: string;
  readonly port: number;
}

/** Parses `host:port`. */
export function parseHostPort(address: string): HostPort {
  const colon = address.lastIndexOf(':');
  const port = Number(address.slice(colon + 1));
  return {host: address.slice(0, colon), port};
}

/** Formats an address as `host:port`. */
export function formatHostPort({host, port}: HostPort): string {
  return `${host}:${port}`;
}
