import {Client, createClient, Interceptor} from '@connectrpc/connect';
import {
  compressionGzip,
  createConnectTransport,
  Http2SessionManager,
} from '@connectrpc/connect-node';
import {PeerService} from '@ryeworks/protocol';
import {SendPeer} from '@ryeworks/scheduler';
import {ErrorKind, RunStatus} from '@ryeworks/types';
import {EnvelopeStream} from './envelopeStream.js';
import {AnswerSink} from '../answers/answerSink.js';

/** Size from which messages are compressed, in bytes. */
const compressionThresholdBytes = 1024;
/** Probes of a connection, so that a silent one is given up soon, in ms. */
const keepAliveOptions = {pingIntervalMs: 3000, pingTimeoutMs: 300};
/** Pause before a broken stream is opened again, in ms. */
const reopenDelayMs = 50;

/** Connection to one peer. */
interface PeerLink {
  readonly client: Client<typeof PeerService>;
  readonly session: Http2SessionManager;
  readonly outgoing: EnvelopeStream;
  isOpen: boolean;
}

/** Options of {@link PeerClient}. */
export interface PeerClientOptions {
  readonly vm: string;
  readonly peerKey: string;
}

/** Sends messages to peers, gathered by peer; any of them may be lost. */
export class PeerClient {
  private readonly links = new Map<string, PeerLink>();

  constructor(private readonly options: PeerClientOptions) {}

  /** Queues a message for a peer. */
  send(effect: SendPeer): void {
    if (effect.address === '') return;
    const link = this.getLink(effect.address);
    link.outgoing.push(effect.message);
    if (!link.isOpen) void this.runStream(link);
  }

  /** Passes the answer of a request that a peer holds to a sink. */
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
          const kind = error as ErrorKind;
          sink.fail({error: kind, ran: ran as RunStatus, retryAfterMs});
          return;
        }
      }
    } catch {
      // The holder is gone or has forgotten: reported below.
    }
    sink.fail({error: 'outcomeUnknown', ran: 'unknown', retryAfterMs: 1000});
  }

  /** Closes all connections. */
  close(): void {
    for (const link of this.links.values()) link.session.abort();
    this.links.clear();
  }

  private getLink(address: string): PeerLink {
    const known = this.links.get(address);
    if (known !== undefined) return known;
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
      client: createClient(PeerService, transport),
      session,
      outgoing: new EnvelopeStream(this.options.vm),
      isOpen: false,
    };
    this.links.set(address, link);
    return link;
  }

  /** Sends the messages for a peer until none comes for a time. */
  private async runStream(link: PeerLink): Promise<void> {
    link.isOpen = true;
    try {
      await link.client.deliver(link.outgoing.readEnvelopes());
    } catch {
      // The peer is gone or the connection silent: what waits is lost.
      link.outgoing.clear();
      await new Promise(resolve => setTimeout(resolve, reopenDelayMs));
    }
    link.isOpen = false;
  }
}
