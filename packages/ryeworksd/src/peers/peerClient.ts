import {Client, createClient, Interceptor} from '@connectrpc/connect';
import {
  compressionGzip,
  createConnectTransport,
  Http2SessionManager,
} from '@connectrpc/connect-node';
import {createEnvelope, PeerService} from '@ryeworks/protocol';
import {PeerMessage, SendPeer} from '@ryeworks/scheduler';
import {ErrorKind, RunStatus} from '@ryeworks/types';
import {AnswerSink} from '../answers/answerSink.js';

/** Most messages that wait for one peer; more are left out. */
const maxWaiting = 4096;
/** Most messages in one call. */
const maxBatch = 256;
/** Time for a peer to take messages, in ms. */
const deliverTimeoutMs = 1000;
/** Size from which messages are compressed, in bytes. */
const compressFromBytes = 1024;
/** Probes of a connection, so that a silent one is given up soon, in ms. */
const connectionProbe = {pingIntervalMs: 500, pingTimeoutMs: 300};

/** Connection to one peer. */
interface PeerLink {
  readonly client: Client<typeof PeerService>;
  readonly session: Http2SessionManager;
  readonly waiting: PeerMessage[];
  isFlushScheduled: boolean;
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
    if (link.waiting.length >= maxWaiting) return;
    link.waiting.push(effect.message);
    if (link.isFlushScheduled) return;
    link.isFlushScheduled = true;
    setImmediate(() => this.flush(link));
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
    const session = new Http2SessionManager(baseUrl, connectionProbe);
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
      compressMinBytes: compressFromBytes,
    });
    const link: PeerLink = {
      client: createClient(PeerService, transport),
      session,
      waiting: [],
      isFlushScheduled: false,
    };
    this.links.set(address, link);
    return link;
  }

  private flush(link: PeerLink): void {
    link.isFlushScheduled = false;
    while (link.waiting.length > 0) {
      const messages = link.waiting.splice(0, maxBatch);
      const envelope = createEnvelope(this.options.vm, messages);
      link.client
        .deliver(envelope, {timeoutMs: deliverTimeoutMs})
        .catch(() => {});
    }
  }
}
