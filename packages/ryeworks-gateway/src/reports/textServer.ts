import {createServer, IncomingMessage, ServerResponse} from 'node:http';
import {Socket} from 'node:net';
import {gzipSync} from 'node:zlib';
import {HostPort} from '@ryeworks/utils';
import {ConnectionMaximums} from '../callers/connectionLimits.js';
import {LimitReason, ListenerGuard} from '../callers/listenerGuard.js';
import {findInlet, SocketInlet} from '../callers/socketInlet.js';

/** Answer of a text server. */
export interface TextAnswer {
  readonly status: number;
  readonly contentType: string;
  readonly text: string;
}

/** Limits of a text server, and who is told of them. */
export interface TextServerLimits extends ConnectionMaximums {
  readonly listener: string;
  readonly readNowMs: () => number;
  readonly report: (reason: LimitReason, listener: string) => void;
}

/**
 * Functions that create the answers of a text server, by path. A function that
 * returns the same object again has its answer compressed only once.
 */
export type TextRoutes = Readonly<
  Record<string, () => TextAnswer | Promise<TextAnswer>>
>;

/**
 * Size from which answers are compressed, in bytes. A smaller one needs less than
 * 30 ms of a link of 10 Mbit/s, and store views, which change often, are smaller.
 */
const minCompressedBytes = 32 * 1024;

/** Time within which a client must send the headers of a request, in ms. */
const headersTimeoutMs = 5000;
/** Time after which a connection without any transfer is closed, in ms. */
const silenceTimeoutMs = 15_000;
/** Interval at which the progress of the connections is measured, in ms. */
const progressCheckMs = 500;

const notFound: TextAnswer = {
  status: 404,
  contentType: 'text/plain',
  text: 'not found\n',
};
const failed: TextAnswer = {
  status: 500,
  contentType: 'text/plain',
  text: 'failed\n',
};

/** Encoded bodies by answer, shared by all clients that still read them. */
const plainBodies = new WeakMap<TextAnswer, Buffer>();
/** Compressed answers; kept as long as the answers themselves. */
const compressedBodies = new WeakMap<TextAnswer, Buffer>();

/** Creates a JSON answer. */
export function createJsonAnswer(status: number, value: unknown): TextAnswer {
  const text = JSON.stringify(value);
  return {status, contentType: 'application/json', text};
}

/** Returns the answer to a URL. */
async function getAnswer(routes: TextRoutes, url: string): Promise<TextAnswer> {
  const [path] = url.split('?');
  try {
    return (await routes[path]?.()) ?? notFound;
  } catch (error) {
    return {...failed, text: `${(error as Error).message}\n`};
  }
}

/** Returns the compressed body of an answer. */
function getCompressedBody(answer: TextAnswer): Buffer {
  const known = compressedBodies.get(answer);
  if (known !== undefined) return known;
  const body = gzipSync(answer.text);
  compressedBodies.set(answer, body);
  return body;
}

/** Returns the body of an answer as it is. */
function getPlainBody(answer: TextAnswer): Buffer {
  const known = plainBodies.get(answer);
  if (known !== undefined) return known;
  const body = Buffer.from(answer.text);
  plainBodies.set(answer, body);
  return body;
}

/** Returns whether a request has a body, which no route of a text server reads. */
function hasBody({headers}: IncomingMessage): boolean {
  const length = headers['content-length'] ?? '0';
  return length !== '0' || headers['transfer-encoding'] !== undefined;
}

/** Sends an answer, compressed if the client accepts that and it is large. */
function sendAnswer(
  request: IncomingMessage,
  response: ServerResponse,
  answer: TextAnswer,
): void {
  const {contentType, status, text} = answer;
  const acceptsGzip = request.headers['accept-encoding'] === 'gzip';
  const isCompressed = acceptsGzip && text.length >= minCompressedBytes;
  const body = isCompressed ? getCompressedBody(answer) : getPlainBody(answer);
  const isLast = hasBody(request);
  if (isLast) findInlet(request.socket)?.startDiscarding();
  response.writeHead(status, {
    'content-type': contentType,
    'content-length': body.length,
    ...(isCompressed ? {'content-encoding': 'gzip'} : {}),
    ...(isLast ? {connection: 'close'} : {}),
  });
  response.end(body);
}

/** Answers a request; closes its connection if the answer cannot be sent. */
async function handleRequest(
  routes: TextRoutes,
  request: IncomingMessage,
  response: ServerResponse,
): Promise<void> {
  try {
    const answer = await getAnswer(routes, request.url ?? '/');
    sendAnswer(request, response, answer);
  } catch {
    request.socket.destroy();
  }
}

/**
 * Starts an HTTP server for a few paths and returns a function that closes it.
 * Uses `node:http`, because loading a framework would take half of the restart
 * time.
 */
export function startTextServer(
  {host, port}: HostPort,
  routes: TextRoutes,
  limits: TextServerLimits,
): Promise<() => void> {
  /** Connections with a request that is not answered, or an unread answer. */
  const answering = new Set<Socket>();
  const guard = new ListenerGuard({
    ...limits,
    isAnswering: () => false,
  });
  const options = {headersTimeout: headersTimeoutMs};
  const server = createServer(options, (request, response) => {
    const {socket} = request;
    answering.add(socket);
    response.once('close', () => {
      answering.delete(socket);
      // The end of this answer is handled before the next request.
      setImmediate(() => findInlet(socket)?.flush());
    });
    void handleRequest(routes, request, response);
  });
  server.on('connection', socket => {
    if (!guard.admit(socket)) return;
    new SocketInlet(socket, {
      budget: undefined,
      // One request at a time: what is sent ahead stays as it was received.
      canPass: () => !answering.has(socket),
      handlePassed: () => {},
    });
    socket.once('close', () => answering.delete(socket));
  });
  server.setTimeout(silenceTimeoutMs);
  const timer = setInterval(() => guard.sweep(), progressCheckMs);
  timer.unref();
  return new Promise((resolve, reject) => {
    // Later errors, of connections that cannot be accepted, must not be thrown.
    server.on('error', reject);
    server.listen(port, host, () => {
      resolve(() => {
        clearInterval(timer);
        server.close();
        server.closeAllConnections();
      });
    });
  });
}
