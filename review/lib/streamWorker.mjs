// Stand-in for a model worker: it reads a prompt, then streams events.
import http from 'node:http';

/** A worker that streams events; it is sound. */
export class StreamWorker {
  /** Ids of the requests that arrived. */
  arrivals = new Set();
  #running = 0;
  #server;

  constructor(options) {
    this.options = options;
  }

  async start(host) {
    const {id, service, slots, store, zone} = this.options;
    this.#server = http.createServer((request, response) => {
      this.#handle(request, response).catch(() => response.destroy());
    });
    await new Promise(resolve => this.#server.listen(0, host, resolve));
    store.put('servers', id, {
      service,
      address: `${host}:${this.#server.address().port}`,
      zone,
      version: 'v1',
      slots,
      state: 'available',
      cold_remaining_ms: 0,
      sequence: 0,
      born: Date.now(),
    });
  }

  stop() {
    this.#server.closeAllConnections();
    this.#server.close();
  }

  async #handle(request, response) {
    const {eventMs, events, firstEventMs, id, record, slots} = this.options;
    for await (const chunk of request) void chunk;
    const attemptId = request.headers['x-attempt-id'];
    const headers = {'x-attempt-id': attemptId};
    if (request.headers['x-target-instance'] !== id) {
      response.writeHead(421, headers).end();
      return;
    }
    if (this.#running >= slots) {
      response.writeHead(503, {...headers, 'x-not-executed': '1'}).end();
      return;
    }
    record.write(`worker ${id}: gets ${attemptId}`);
    this.arrivals.add(attemptId);
    this.#running += 1;
    response.once('close', () => (this.#running -= 1));
    await new Promise(resolve => setTimeout(resolve, firstEventMs));
    response.writeHead(200, {
      ...headers,
      'x-server-signature': `signed-${attemptId}`,
      'content-type': 'text/event-stream',
    });
    for (let event = 1; event <= events; event++) {
      if (response.destroyed) return;
      response.write(`id: ${event}\ndata: ${attemptId}\n\n`);
      await new Promise(resolve => setTimeout(resolve, eventMs));
    }
    response.end();
    record.write(`worker ${id}: has run ${attemptId}`);
  }
}
