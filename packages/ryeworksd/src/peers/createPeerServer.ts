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
import {matchesBearerToken} from '../callers/matchesBearerToken.js';
import {SchedulerLoop} from '../core/schedulerLoop.js';
import {AttachEventQueue} from './attachEventQueue.js';

/** Maximum size of a message from a peer, in bytes. */
const maxMessageBytes = 4_194_304;

/** Dependencies of the peer server. */
export interface PeerServerContext {
  readonly peerKey: string;
  readonly loop: SchedulerLoop;
  readonly answers: AnswerRegistry;
}

/** Throws if a call does not contain the key that all peers share. */
function authenticatePeer(
  context: PeerServerContext,
  call: HandlerContext,
): void {
  const header = call.requestHeader.get('authorization') ?? undefined;
  if (matchesBearerToken(header, context.peerKey)) return;
  throw new ConnectError('peer key missing or wrong', Code.Unauthenticated);
}

/** Streams an answer of this VM to a peer. */
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

/** Adds the service for peers to a router. */
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

/** The server that accepts connections from peers. */
export interface PeerServer {
  readonly server: Http2Server;
  /** Returns the bytes read and written so far on all connections from peers. */
  countBytes(): {read: number; written: number};
  close(): Promise<void>;
}

/** Creates the server for calls from the other VMs. */
export function createPeerServer(context: PeerServerContext): PeerServer {
  const handler = connectNodeAdapter({
    routes: router => addPeerService(router, context),
    readMaxBytes: maxMessageBytes,
  });
  const server = createServer(handler);
  const sessions = new Set<ServerHttp2Session>();
  const sockets = new Set<Socket>();
  const closedSocketBytes = {read: 0, written: 0};
  server.on('connection', (socket: Socket) => {
    sockets.add(socket);
    socket.on('close', () => {
      sockets.delete(socket);
      closedSocketBytes.read += socket.bytesRead;
      closedSocketBytes.written += socket.bytesWritten;
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
      const totalBytes = {...closedSocketBytes};
      for (const socket of sockets) {
        totalBytes.read += socket.bytesRead;
        totalBytes.written += socket.bytesWritten;
      }
      return totalBytes;
    },
    close: () =>
      new Promise(resolve => {
        server.close(() => resolve());
        for (const session of sessions) session.destroy();
      }),
  };
}
