// Stand-in for a worker of a plain service, as PROTOCOL.md describes it.
import http from 'node:http';

/** Time between two reports of a worker to the store, in ms. */
export const heartbeatMs = 1200;

/** A worker, which runs each request for a time and then answers it. */
export class Worker {
  isLeaving = false;
  running = 0;
  /** The requests that arrived, in order. */
  arrivals = [];
  #server;
  #sockets = new Set();

  constructor(options) {
    this.options = options;
    this.bornMs = Date.now();
  }

  async start(host) {
    this.#server = http.createServer((request, response) => {
      this.#handle(request, response).catch(() => response.destroy());
    });
    this.#server.on('connection', socket => {
      this.#sockets.add(socket);
      socket.once('close', () => this.#sockets.delete(socket));
    });
    await new Promise(resolve => this.#server.listen(0, host, resolve));
    this.address = `${host}:${this.#server.address().port}`;
  }

  /** Writes the worker's entry to the store. */
  report(state = 'available') {
    const {id, service, slots = 6, store, zone} = this.options;
    store.put('servers', id, {
      service,
      address: this.address,
      zone,
      version: 'v1',
      slots,
      state,
      cold_remaining_ms: 0,
      sequence: this.arrivals.length,
      born: this.bornMs,
    });
  }

  /** Ends the worker; its channels are reset. */
  exit() {
    this.options.record.write(`worker ${this.options.id}: exits`);
    this.#server.close();
    for (const socket of this.#sockets) socket.resetAndDestroy();
  }

  async #handle(request, response) {
    const {id, record, slots = 6, workMs} = this.options;
    const chunks = [];
    for await (const chunk of request) chunks.push(chunk);
    const attemptId = request.headers['x-attempt-id'];
    const headers = {'x-attempt-id': attemptId};
    if (this.isLeaving) headers['server-leaving'] = '1';
    if (request.headers['x-target-instance'] !== id) {
      response.writeHead(421, headers).end();
      return;
    }
    record.write(`worker ${id}: gets ${attemptId}`);
    const arrival = {attemptId, atMs: performance.now(), passedAtMs: undefined};
    this.arrivals.push(arrival);
    if (this.running >= slots) {
      record.write(`worker ${id}: refuses ${attemptId}`);
      response.writeHead(503, {...headers, 'x-not-executed': '1'}).end();
      return;
    }
    this.running += 1;
    response.once('close', () => (this.running -= 1));
    await new Promise(resolve => setTimeout(resolve, workMs));
    if (response.destroyed) return;
    if (this.isLeaving) headers['server-leaving'] = '1';
    record.write(
      `worker ${id}: has run ${attemptId}` +
        `${this.isLeaving ? ', says Server-Leaving' : ''}`,
    );
    response.writeHead(200, {
      ...headers,
      'x-server-signature': `signed-${attemptId}`,
      'content-type': 'text/plain',
    });
    response.end(`done ${attemptId}`);
  }
}
