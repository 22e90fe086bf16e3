/** Share of the descriptors that the connections of callers may use. */
const callerShare = 1 / 2;
/** Share of the callers' connections that one address may use. */
const addressShare = 7 / 8;
/** Share of the descriptors that each status listener may use. */
const statusShare = 1 / 32;
/** Smallest number of connections to a status listener. */
const minStatusConnections = 16;
/**
 * Rate below which a connection makes no progress, in bytes per second. A head of
 * 16,384 bytes in 3 s, the documented limits, arrives five times as fast.
 */
const minBytesPerSecond = 1024;
/** Time without progress after which a connection may be closed, in ms. */
const minSlowMs = 1000;

/** Returns whether bytes in a time are too few to count as progress. */
export function isTooSlow(bytes: number, durationMs: number): boolean {
  return bytes * 1000 < durationMs * minBytesPerSecond;
}

/** How many connections a listener accepts. */
export interface ConnectionMaximums {
  readonly maxConnections: number;
  readonly maxPerAddress: number;
}

/**
 * Returns the maximums of the callers' listener. Half of the descriptors remain for
 * endpoints, peers, the store and the status listeners: a connection has one request
 * in progress at a time, which uses one connection to an endpoint.
 */
export function deriveCallerMaximums(
  maxDescriptors = Number.POSITIVE_INFINITY,
): ConnectionMaximums {
  const maxConnections = Math.floor(maxDescriptors * callerShare);
  const maxPerAddress = Math.floor(maxConnections * addressShare);
  return {maxConnections, maxPerAddress};
}

/** Returns the maximums of each listener for status, peers and metrics. */
export function deriveStatusMaximums(
  maxDescriptors = Number.POSITIVE_INFINITY,
): ConnectionMaximums {
  const share = Math.floor(maxDescriptors * statusShare);
  const maxConnections = Math.max(share, minStatusConnections);
  return {maxConnections, maxPerAddress: maxConnections};
}

/** A connection that counts against the limits. */
interface TrackedConnection {
  readonly address: string;
  /** Bytes that had been moved when it was last checked. */
  movedBytes: number;
  /** Since when it has made no progress, in ms. */
  slowSinceMs: number;
}

/** What to do with a new connection. */
export interface ConnectionAdmission<T> {
  readonly isAdmitted: boolean;
  /** The connection to close in its place; undefined if there is room. */
  readonly closed: T | undefined;
}

/** Dependencies of the limits. */
export interface ConnectionLimitOptions<T> extends ConnectionMaximums {
  /** Returns how many bytes a connection has received and sent. */
  readonly countBytes: (connection: T) => number;
  /** Returns whether a request of a connection is being answered. */
  readonly isAnswering: (connection: T) => boolean;
}

/**
 * Decides which connections are accepted. A full listener closes the connection that
 * has made no progress for longest, never one whose request is being answered; if
 * there is none, it refuses the new one.
 */
export class ConnectionLimits<T> {
  private readonly connections = new Map<T, TrackedConnection>();
  private readonly countByAddress = new Map<string, number>();
  private sweptAtMs = 0;

  constructor(private readonly options: ConnectionLimitOptions<T>) {}

  /** Number of open connections. */
  get count(): number {
    return this.connections.size;
  }

  /** Admits a new connection, in place of another if the listener is full. */
  admit(connection: T, address: string, nowMs: number): ConnectionAdmission<T> {
    const {maxConnections, maxPerAddress} = this.options;
    const ofAddress = this.countByAddress.get(address) ?? 0;
    const isAddressFull = ofAddress >= maxPerAddress;
    let closed: T | undefined;
    if (isAddressFull || this.connections.size >= maxConnections) {
      closed = this.findSlowest(nowMs, isAddressFull ? address : undefined);
      if (closed === undefined) return {isAdmitted: false, closed};
      this.release(closed);
    }
    this.connections.set(connection, {
      address,
      movedBytes: this.options.countBytes(connection),
      slowSinceMs: nowMs,
    });
    this.countByAddress.set(
      address,
      (this.countByAddress.get(address) ?? 0) + 1,
    );
    return {isAdmitted: true, closed};
  }

  /** Counts a connection no more. */
  release(connection: T): void {
    const tracked = this.connections.get(connection);
    if (tracked === undefined) return;
    this.connections.delete(connection);
    const {address} = tracked;
    const remaining = this.countByAddress.get(address)! - 1;
    if (remaining === 0) this.countByAddress.delete(address);
    else this.countByAddress.set(address, remaining);
  }

  /** Measures the progress of all connections since the last call. */
  sweep(nowMs: number): void {
    const {countBytes, isAnswering} = this.options;
    const elapsedMs = nowMs - this.sweptAtMs;
    this.sweptAtMs = nowMs;
    for (const [connection, tracked] of this.connections) {
      const movedBytes = countBytes(connection);
      const isSlow = isTooSlow(movedBytes - tracked.movedBytes, elapsedMs);
      if (!isSlow || isAnswering(connection)) tracked.slowSinceMs = nowMs;
      tracked.movedBytes = movedBytes;
    }
  }

  /** Finds the connection that has made no progress for longest. */
  private findSlowest(nowMs: number, address?: string): T | undefined {
    let slowest: T | undefined;
    let slowSinceMs = nowMs - minSlowMs;
    for (const [connection, tracked] of this.connections) {
      if (address !== undefined && tracked.address !== address) continue;
      if (tracked.slowSinceMs > slowSinceMs) continue;
      if (this.options.isAnswering(connection)) continue;
      // Of several that are as slow, the oldest comes first.
      if (slowest !== undefined && tracked.slowSinceMs === slowSinceMs)
        continue;
      slowest = connection;
      slowSinceMs = tracked.slowSinceMs;
    }
    return slowest;
  }
}
