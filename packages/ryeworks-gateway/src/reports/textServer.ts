import {createServer, IncomingMessage, ServerResponse} from 'node:http';
import {gzipSync} from 'node:zlib';
import {HostPort} from '@ryeworks/utils';

/** Answer of a text server. */
export interface TextAnswer {
  readonly status: number;
  readonly contentType: string;
  readonly text: string;
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

/** Sends an answer, compressed if the client accepts that and it is large. */
function sendAnswer(
  request: IncomingMessage,
  response: ServerResponse,
  answer: TextAnswer,
): void {
  const {contentType, status, text} = answer;
  const acceptsGzip = request.headers['accept-encoding'] === 'gzip';
  const isCompressed = acceptsGzip && text.length >= minCompressedBytes;
  const body = isCompressed ? getCompressedBody(answer) : Buffer.from(text);
  response.writeHead(status, {
    'content-type': contentType,
    'content-length': body.length,
    ...(isCompressed ? {'content-encoding': 'gzip'} : {}),
  });
  response.end(body);
}

/**
 * Starts an HTTP server for a few paths and returns a function that closes it.
 * Uses `node:http`, because loading a framework would take half of the restart
 * time.
 */
export function startTextServer(
  {host, port}: HostPort,
  routes: TextRoutes,
): Promise<() => void> {
  const server = createServer((request, response) => {
    void getAnswer(routes, request.url ?? '/').then(answer =>
      sendAnswer(request, response, answer),
    );
  });
  return new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(port, host, () => {
      resolve(() => {
        server.close();
        server.closeAllConnections();
      });
    });
  });
}
