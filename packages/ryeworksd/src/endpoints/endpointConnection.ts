import {checkConnectionEnd, ConnectionEnd} from '@ryeworks/utils';
import {Socket} from 'node:net';
import {buildConnector, Client, Dispatcher, errors} from 'undici';

/** Time allowed to open a connection to an endpoint, in ms. */
export const connectTimeoutMs = 1000;

/** Options of each connection: one request, whose answer may take any time. */
export const connectionOptions = {
  pipelining: 0,
  headersTimeout: 0,
  bodyTimeout: 0,
} as const;

const connect = buildConnector({
  timeout: connectTimeoutMs,
  allowHalfOpen: true,
});

/** Returns whether only the end of the connection marks the end of a response. */
function isUnframed({headers}: Dispatcher.ResponseData): boolean {
  return (
    headers['content-length'] === undefined &&
    headers['transfer-encoding'] === undefined
  );
}

/**
 * The connection of one call. undici takes a response without a length for complete
 * if its connection is reset; this tells the two ends apart.
 */
export class EndpointConnection {
  readonly dispatcher: Dispatcher;
  private hasFailed = false;
  private end: Promise<ConnectionEnd> | undefined;

  constructor(address: string) {
    this.dispatcher = new Client(new URL(address).origin, {
      ...connectionOptions,
      connect: (options, callback) =>
        connect(options, (error, socket) => {
          if (error !== null) {
            callback(error, null);
            return;
          }
          this.watch(socket);
          callback(null, socket);
        }),
    });
  }

  /** Returns whether a response whose body has ended was received completely. */
  async isComplete(response: Dispatcher.ResponseData): Promise<boolean> {
    if (!isUnframed(response)) return true;
    return !this.hasFailed && (await this.end) !== 'reset';
  }

  /** Destroys the connection. */
  close(): void {
    this.dispatcher.destroy().catch(() => {
      // The call was reported already.
    });
  }

  /** Watches how the endpoint ends the connection, before undici handles it. */
  private watch(socket: Socket): void {
    socket.once('error', error => {
      // undici destroys a connection that it needs no more with an error of its own.
      if (!(error instanceof errors.UndiciError)) this.hasFailed = true;
    });
    socket.once('end', () => (this.end = checkConnectionEnd(socket)));
  }
}
