import {PeerMessage} from '@ryeworks/dispatch';
import {createSocket, Socket} from 'node:dgram';
import {deflateRawSync, inflateRawSync} from 'node:zlib';
import {HostPort, parseHostPort} from '@ryeworks/utils';

/** Receives the messages of peers and the warnings of the socket. */
export interface PeerSocketListener {
  handleMessage(message: PeerMessage): void;
  handleWarning(event: string, detail: string): void;
}

const messageKinds: ReadonlySet<string> = new Set([
  'digest',
  'digestToRelay',
  'digestBatch',
  'compressedBatch',
  'slotOffer',
  'permitAsk',
  'permitAnswer',
]);

/** First byte of a message that is not compressed. */
const jsonStart = '{'.charCodeAt(0);
/** Maximum size of a message, uncompressed, in bytes. */
const maxMessageBytes = 1_000_000;
/** Level of zlib's compression: the fastest, digests are alike anyway. */
const compressionLevel = 1;

/** Encodes a peer message as a datagram. */
export function encodePeerMessage(message: PeerMessage): Buffer {
  const json = Buffer.from(JSON.stringify(message));
  if (message.kind !== 'compressedBatch') return json;
  return deflateRawSync(json, {level: compressionLevel});
}

/** Returns the JSON of a datagram. */
function decodeDatagram(bytes: Buffer): string {
  const json =
    bytes[0] === jsonStart
      ? bytes
      : inflateRawSync(bytes, {maxOutputLength: maxMessageBytes});
  return json.toString('utf8');
}

/** Parses a datagram; returns undefined if it is not a peer message. */
export function parsePeerMessage(bytes: Buffer): PeerMessage | undefined {
  try {
    const message = JSON.parse(decodeDatagram(bytes)) as PeerMessage;
    return messageKinds.has(message?.kind) ? message : undefined;
  } catch {
    return undefined;
  }
}

/**
 * Sends and receives peer messages as UDP datagrams rather than over Connect
 * RPC: each message replaces all earlier ones, none is waited for, and an open
 * connection that becomes silent cannot delay them.
 */
export class PeerSocket {
  private readonly socket: Socket = createSocket('udp4');
  private lastMessage: PeerMessage | undefined;
  private lastBytes: Uint8Array = Buffer.alloc(0);

  constructor(private readonly listener: PeerSocketListener) {
    this.socket.on('message', bytes => {
      const message = parsePeerMessage(bytes);
      if (message === undefined) {
        listener.handleWarning('peer_message_unreadable', `${bytes.length}`);
        return;
      }
      listener.handleMessage(message);
    });
    this.socket.on('error', error =>
      listener.handleWarning('peer_socket_failed', error.message),
    );
  }

  /** Starts to receive messages. */
  listen({host, port}: HostPort): Promise<void> {
    return new Promise(resolve => {
      this.socket.bind(port, host, () => resolve());
    });
  }

  /** Sends a message, which may be lost. */
  send(address: string, message: PeerMessage): void {
    const {host, port} = parseHostPort(address);
    this.socket.send(this.encode(message), port, host, error => {
      if (error === null) return;
      this.listener.handleWarning('peer_send_failed', error.message);
    });
  }

  /** Closes the socket. */
  close(): Promise<void> {
    return new Promise(resolve => this.socket.close(() => resolve()));
  }

  /** Encodes a message, only once if it is sent to several peers in a row. */
  private encode(message: PeerMessage): Uint8Array {
    if (message !== this.lastMessage) {
      this.lastMessage = message;
      this.lastBytes = encodePeerMessage(message);
    }
    return this.lastBytes;
  }
}
