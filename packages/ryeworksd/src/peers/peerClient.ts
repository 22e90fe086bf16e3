import {Client, createClient, Interceptor} from '@connectrpc/connect';
import {
  compressionGzip,
  createConnectTransport,
  Http2SessionManager,
} from '@connectrpc/connect-node';
import {PeerService} from '@ryeworks/protocol';
import {Logger} from '@ryeworks/logger';
import {SendPeer} from '@ryeworks/scheduler';
import {ErrorKind, RunStatus} from '@ryeworks/types';
import {EnvelopeStream} from './envelopeStream.js';
import {AnswerSink} from '../answers/answerSink.js';

/** Minimum size of a message to be compressed, in bytes. */
const compressionThresholdBytes = 1024;
/**
 * Interval and timeout of HTTP/2 pings, in ms. The pings detect a silent
 * connection, so that it is closed soon.
 */
const keepAliveOptions = {pingIntervalMs: 3000, pingTimeoutMs: 300};
/** Delay before a failed stream may be reopened, in ms. */
const reopenDelayMs = 50;

/** The connection to one peer. */
interface PeerLink {
  readonly address: string;
  readonly client: Client<typeof PeerService>;
  readonly session: Http2SessionManager;
  readonly outgoing: EnvelopeStream;
  /** Whether a stream to the peer is open. */
  isOpen: boolean;
}

/** Options of {@link PeerClient}. */
export interface PeerClientOptions {
  readonly vm: string;
  readonly peerKey: string;
  readonly logger?: Logger;
}

/** Sends messages to peers in batches. Delivery is not guaranteed. */
export class PeerClient {
  private readonly links = new Map<string, PeerLink>();

  constructor(private readonly options: PeerClientOptions) {}

  /** Queues a message for a peer and opens a stream to it if necessary. */
  send(effect: SendPeer): void {
    if (effect.address === '') return;
    const link = this.getLink(effect.address);
    link.outgoing.push(effect.message);
    if (!link.isOpen) void this.runStream(link);
  }

  /**
   * Fetches the answer to a request from the peer that holds the answer, and
   * forwards it to a sink.
   */
  async attach(
    address: string,
    requestId: string,
    sink: AnswerSink,
  ): Promise<void> {
    try {
      const {client} = this.getLink(address);
      for await (const {event} of client.attach({requestId})) {
        if (event.case === 'head') {
          sink.writeHead(event.value.status, event.value.contentType);
        }
        if (event.case === 'body') sink.writeBody(Buffer.from(event.value));
        if (event.case === 'end') {
          sink.end();
          return;
        }
        if (event.case === 'failure') {
          const {error, ran, retryAfterMs} = event.value;
          const errorKind = error as ErrorKind;
          sink.fail({error: errorKind, ran: ran as RunStatus, retryAfterMs});
          return;
        }
      }
    } catch (error) {
      // The holder is unreachable or no longer has the answer.
      const fields = {requestId, address, reason: `${error}`};
      this.options.logger?.warn('attach_failed', fields);
    }
    sink.fail({error: 'outcomeUnknown', ran: 'unknown', retryAfterMs: 1000});
  }

  /** Closes all connections. */
  close(): void {
    for (const link of this.links.values()) link.session.abort();
    this.links.clear();
  }

  /** Returns the link to a peer and creates it if it does not exist. */
  private getLink(address: string): PeerLink {
    const existingLink = this.links.get(address);
    if (existingLink !== undefined) return existingLink;
    const baseUrl = `http://${address}`;
    const session = new Http2SessionManager(baseUrl, keepAliveOptions);
    const authenticate: Interceptor = next => call => {
      call.header.set('authorization', `Bearer ${this.options.peerKey}`);
      return next(call);
    };
    const transport = createConnectTransport({
      baseUrl,
      httpVersion: '2',
      sessionManager: session,
      interceptors: [authenticate],
      sendCompression: compressionGzip,
      compressMinBytes: compressionThresholdBytes,
    });
    const link: PeerLink = {
      address,
      client: createClient(PeerService, transport),
      session,
      outgoing: new EnvelopeStream(this.options.vm),
      isOpen: false,
    };
    this.links.set(address, link);
    return link;
  }

  /** Sends the queued messages for a peer until the stream is idle or fails. */
  private async runStream(link: PeerLink): Promise<void> {
    link.isOpen = true;
    try {
      await link.client.deliver(link.outgoing.readEnvelopes());
    } catch (error) {
      // The peer is unreachable or the connection silent. Queued messages are
      // dropped.
      const {address} = link;
      const fields = {address, reason: `${error}`};
      this.options.logger?.warn('peer_stream_failed', fields);
      link.outgoing.clear();
      await new Promise(resolve => setTimeout(resolve, reopenDelayMs));
    }
    link.isOpen = false;
  }
}
