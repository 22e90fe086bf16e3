/**
 * Stand-in for a worker, as PROTOCOL describes it. `handle` decides on each
 * request; by default it is answered with 200, its signature and a short body.
 */
import {createServer} from 'node:http';

export const signature = '3e1b.07.5a2.600.0.c9f2a4d1';

/** Returns the headers of a worker's answer to a request. */
export function answerHeaders(request) {
  return {
    'X-Attempt-Id': request.headers['x-attempt-id'] ?? '',
    'X-Server-Signature': signature,
  };
}

/** Answers a request after some time with a body of some bytes. */
export function answer(request, response, {workMs = 20, bytes = 800} = {}) {
  const timer = setTimeout(() => {
    const body = Buffer.alloc(bytes, 'w');
    response.writeHead(200, {
      ...answerHeaders(request),
      'Content-Length': body.length,
    });
    response.end(body);
  }, workMs);
  response.once('close', () => clearTimeout(timer));
}

/** Starts a worker; `handle(request, response, body)` runs a request. */
export function startWorker({host = '127.0.0.1', id, handle = answer}) {
  const runs = [];
  const server = createServer((request, response) => {
    const chunks = [];
    request.on('data', chunk => chunks.push(chunk));
    request.on('end', () => {
      const wanted = request.headers['x-target-instance'];
      if (wanted !== undefined && wanted !== id) {
        response.writeHead(421, {'X-Instance-Id': id});
        response.end();
        return;
      }
      const body = Buffer.concat(chunks);
      runs.push({attempt: request.headers['x-attempt-id'], at: Date.now()});
      handle(request, response, body);
    });
  });
  server.keepAliveTimeout = 15_000;
  return new Promise(resolve => {
    server.listen(0, host, () =>
      resolve({id, host, port: server.address().port, runs, server}),
    );
  });
}

/** Returns the entry of a worker in the store. */
export function createEntry(worker, service, zone = 'lima-norte') {
  return {
    service,
    address: `${worker.host}:${worker.port}`,
    zone,
    version: 'v1',
    slots: 9,
    state: 'available',
    cold_remaining_ms: 0,
    sequence: 1,
    born: Date.now(),
  };
}
