// Stand-in for a model worker that crashes under one part of a prompt.
import http from 'node:http';

/** Number of requests that wait for a slot. */
const maxWaiting = 24;

/** Returns the ids of the parts of a prompt. */
function listParts(request) {
  const entries = `${request.headers['x-prefix-hash'] ?? ''}`.split(',');
  return entries.map(entry => entry.trim().split(':')[0]);
}

/** A worker that streams events and is back some time after a crash. */
export class Engine {
  /** The requests that arrived: id, time and whether they crash workers. */
  arrivals = [];
  /** Times of the crashes, in ms. */
  crashes = [];
  /** Number of sound requests whose answers crashes have cut. */
  cut = 0;
  #running = 0;
  #waiting = [];
  #sockets = new Set();
  #server;
  #isStopped = false;
  #port = 0;

  constructor(options) {
    this.options = options;
  }

  async start() {
    const {host, id, service, slots, store, zone} = this.options;
    this.#server = http.createServer((request, response) => {
      this.#handle(request, response).catch(() => response.destroy());
    });
    this.#server.on('connection', socket => {
      this.#sockets.add(socket);
      socket.once('close', () => this.#sockets.delete(socket));
    });
    await new Promise(resolve => {
      this.#server.listen(this.#port, host, resolve);
    });
    this.#port = this.#server.address().port;
    store.put('servers', id, {
      service,
      address: `${host}:${this.#port}`,
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
    this.#isStopped = true;
    this.#server.close();
    for (const socket of this.#sockets) socket.destroy();
  }

  #crash(attemptId) {
    const {backAfterMs, id, record} = this.options;
    record.write(
      `worker ${id}: crashes under ${attemptId}, with ${this.#running} running`,
    );
    this.crashes.push(performance.now());
    this.cut += this.#running - 1;
    this.#server.close();
    for (const socket of this.#sockets) socket.resetAndDestroy();
    this.#running = 0;
    this.#waiting = [];
    setTimeout(() => {
      if (this.#isStopped) return;
      record.write(`worker ${id}: is back`);
      void this.start();
    }, backAfterMs);
  }

  /** Waits for a slot; returns false if there is no room. */
  async #takeSlot() {
    if (this.#running < this.options.slots) {
      this.#running += 1;
      return true;
    }
    if (this.#waiting.length >= maxWaiting) return false;
    await new Promise(resolve => this.#waiting.push(resolve));
    return true;
  }

  #freeSlot() {
    const next = this.#waiting.shift();
    if (next === undefined) this.#running = Math.max(0, this.#running - 1);
    else next();
  }

  async #handle(request, response) {
    const {badPart, eventMs, events, firstEventMs, id, record} = this.options;
    const crashesBefore = this.crashes.length;
    for await (const chunk of request) void chunk;
    const attemptId = request.headers['x-attempt-id'];
    const headers = {'x-attempt-id': attemptId};
    if (request.headers['x-target-instance'] !== id) {
      response.writeHead(421, headers).end();
      return;
    }
    const isBad = listParts(request).includes(badPart);
    const kind = isBad ? ' with the crashing part' : '';
    record.write(`worker ${id}: gets ${attemptId}${kind}`);
    this.arrivals.push({attemptId, isBad, atMs: performance.now()});
    if (!(await this.#takeSlot())) {
      response.writeHead(503, {...headers, 'x-not-executed': '1'}).end();
      return;
    }
    response.once('close', () => {
      if (this.crashes.length === crashesBefore) this.#freeSlot();
    });
    await new Promise(resolve => setTimeout(resolve, firstEventMs));
    if (response.destroyed || this.crashes.length > crashesBefore) return;
    if (isBad) {
      this.#crash(attemptId);
      return;
    }
    response.writeHead(200, {
      ...headers,
      'x-server-signature': `signed-${attemptId}`,
      'content-type': 'text/event-stream',
    });
    const lastId = Number(request.headers['last-event-id'] ?? 0);
    for (let event = lastId + 1; event <= events; event++) {
      if (response.destroyed) return;
      response.write(`id: ${event}\ndata: ${event}\n\n`);
      await new Promise(resolve => setTimeout(resolve, eventMs));
    }
    response.end();
  }
}
