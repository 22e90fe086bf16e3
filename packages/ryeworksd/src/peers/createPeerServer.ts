import {create} from '@bufbuild/protobuf';
import {
  Code,
  ConnectError,
  ConnectRouter,
  HandlerContext,
} from '@connectrpc/connect';
import {connectNodeAdapter} from '@connectrpc/connect-node';
import {
  AttachEvent,
  AttachRequestSchema,
  DeliveredSchema,
  PeerService,
  readEnvelope,
} from '@ryeworks/protocol';
import {createServer, Http2Server, ServerHttp2Session} from 'node:http2';
import {Socket} from 'node:net';
import {AnswerRegistry} from '../answers/answerRegistry.js';
import {matchesBearerToken} from '../callers/addStatusRoutes.js';
import {SchedulerLoop} from '../core/schedulerLoop.js';
import {AttachEventQueue} from './attachEventQueue.js';

/** Largest message from a peer, in bytes. */
const maxMessageBytes = 4_194_304;

/** What the peer server works with. */
export interface PeerServerContext {
  readonly peerKey: string;
  readonly loop: SchedulerLoop;
  readonly answers: AnswerRegistry;
}

/** Refuses a peer without the shared key. */
function authenticatePeer(
  context: PeerServerContext,
  call: HandlerContext,
): void {
  const header = call.requestHeader.get('authorization') ?? undefined;
  if (matchesBearerToken(header, context.peerKey)) return;
  throw new ConnectError('peer key missing or wrong', Code.Unauthenticated);
}

/** Streams an answer that this VM holds. */
async function* streamAnswer(
  context: PeerServerContext,
  requestId: string,
): AsyncGenerator<AttachEvent> {
  const answer = context.answers.find(requestId);
  if (answer === undefined) {
    throw new ConnectError('no such answer', Code.NotFound);
  }
  const queue = new AttachEventQueue();
  answer.addSink(queue);
  try {
    yield* queue.readEvents();
  } finally {
    answer.removeSink(queue);
  }
}

/** Adds the peers' service to a router. */
function addPeerService(
  router: ConnectRouter,
  context: PeerServerContext,
): void {
  router.service(PeerService, {
    deliver: async (envelopes, call) => {
      authenticatePeer(context, call);
      for await (const envelope of envelopes) {
        const {from} = envelope;
        for (const message of readEnvelope(envelope)) {
          context.loop.submit({kind: 'peerMessageReceived', from, message});
        }
      }
      return create(DeliveredSchema);
    },
    attach: (request, call) => {
      authenticatePeer(context, call);
      const {requestId} = create(AttachRequestSchema, request);
      return streamAnswer(context, requestId);
    },
  });
}

/** The peer listener and how to close it. */
export interface PeerServer {
  readonly server: Http2Server;
  /** Bytes read and written on all connections that peers made. */
  countBytes(): {read: number; written: number};
  close(): Promise<void>;
}

/** Creates the server that the other VMs call. */
export function createPeerServer(context: PeerServerContext): PeerServer {
  const handler = connectNodeAdapter({
    routes: router => addPeerService(router, context),
    readMaxBytes: maxMessageBytes,
  });
  const server = createServer(handler);
  const sessions = new Set<ServerHttp2Session>();
  const sockets = new Set<Socket>();
  const closed = {read: 0, written: 0};
  server.on('connection', (socket: Socket) => {
    sockets.add(socket);
    socket.on('close', () => {
      sockets.delete(socket);
      closed.read += socket.bytesRead;
      closed.written += socket.bytesWritten;
    });
  });
  server.on('session', session => {
    sessions.add(session);
    session.on('close', () => sessions.delete(session));
    session.on('error', () => session.destroy());
  });
  return {
    server,
    countBytes: () => {
      const sums = {...closed};
      for (const socket of sockets) {
        sums.read += socket.bytesRead;
        sums.written += socket.bytesWritten;
      }
      return sums;
    },
    close: () =>
      new Promise(resolve => {
        server.close(() => resolve());
        for (const session of sessions) session.destroy();
      }),
  };
}
