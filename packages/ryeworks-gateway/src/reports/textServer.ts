import {createServer} from 'node:http';
import {HostPort} from '@ryeworks/utils';

/** Answer of a text server. */
export interface TextAnswer {
  readonly status: number;
  readonly contentType: string;
  readonly text: string;
}

/** Functions that create the answers of a text server, by path. */
export type TextRoutes = Readonly<
  Record<string, () => TextAnswer | Promise<TextAnswer>>
>;

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
    void getAnswer(routes, request.url ?? '/').then(answer => {
      const {contentType, status, text} = answer;
      response.writeHead(status, {
        'content-type': contentType,
        'content-length': Buffer.byteLength(text),
      });
      response.end(text);
    });
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
