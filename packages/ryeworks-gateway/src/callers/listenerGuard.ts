import {Socket} from 'node:net';
import {ConnectionLimits, ConnectionMaximums} from './connectionLimits.js';
import {formatUnreadableAnswer} from './unreadableRequest.js';

/** Why a connection is refused or closed because of a limit. */
export type LimitReason =
  /** The listener is full, and each of its connections makes progress. */
  | 'listenerFull'
  /** It made no progress for longest when another one came. */
  | 'noProgress'
  /** There is no memory for what it has sent. */
  | 'memoryShort';

/** Status of the answer to a connection that is refused. */
const fullStatus = 503;

/** Dependencies of a guard. */
export interface ListenerGuardOptions extends ConnectionMaximums {
  /** Name of the listener, for logs and counters. */
  readonly listener: string;
  readonly readNowMs: () => number;
  /** Called when a connection is refused or closed. */
  readonly report: (reason: LimitReason, listener: string) => void;
  /** Returns whether a request of a connection is being answered. */
  readonly isAnswering: (socket: Socket) => boolean;
}

/** Returns how many bytes a connection has received, and its caller has read. */
function countMovedBytes(socket: Socket): number {
  return socket.bytesRead + socket.bytesWritten - socket.writableLength;
}

/** Keeps the connections of a listener within its limits. */
export class ListenerGuard {
  private readonly limits: ConnectionLimits<Socket>;

  constructor(private readonly options: ListenerGuardOptions) {
    const {isAnswering, maxConnections, maxPerAddress} = options;
    this.limits = new ConnectionLimits<Socket>({
      maxConnections,
      maxPerAddress,
      countBytes: countMovedBytes,
      isAnswering,
    });
  }

  /** Admits a connection, or refuses and closes it. */
  admit(socket: Socket): boolean {
    const {listener, readNowMs, report} = this.options;
    const {closed, isAdmitted} = this.limits.admit(
      socket,
      socket.remoteAddress ?? '',
      readNowMs(),
    );
    if (!isAdmitted) {
      report('listenerFull', listener);
      socket.write(formatUnreadableAnswer({status: fullStatus, reason: ''}));
      socket.destroySoon();
      return false;
    }
    if (closed !== undefined) {
      report('noProgress', listener);
      closed.destroy();
    }
    socket.once('close', () => this.limits.release(socket));
    return true;
  }

  /** Measures the progress of the connections. */
  sweep(): void {
    this.limits.sweep(this.options.readNowMs());
  }
}
