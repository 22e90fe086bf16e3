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

/** Highest TCP and UDP port. */
const maxPort = 65_535;

/** Returns whether an address has a host and a port that can be connected to. */
export function hasValidPort(address: string): boolean {
  const {host, port} = parseHostPort(address);
  const isPort = Number.isInteger(port) && port >= 1 && port <= maxPort;
  return host !== '' && isPort;
}
