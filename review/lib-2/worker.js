import {createServer} from 'node:net';

/**
 * Stand-in for a worker that reads requests from raw connections. `answer` gets
 * the socket and the request, and writes whatever it wants.
 */
export class Worker {
  constructor({
    id,
    service,
    zone = 'zone-1',
    slots = 6,
    answer,
    version = 'v1',
    host = '127.0.0.1',
  }) {
    Object.assign(this, {id, service, zone, slots, answer, version, host});
    this.sockets = new Set();
    this.born = Date.now();
    this.sequence = 1;
    this.state = 'available';
  }

  async start(port = 0) {
    this.server = createServer({allowHalfOpen: false}, socket =>
      this.serve(socket),
    );
    await new Promise(resolve => this.server.listen(port, this.host, resolve));
    this.port = this.server.address().port;
    this.address = `${this.host}:${this.port}`;
    return this;
  }

  /** The entry of this worker in the store. */
  get entry() {
    this.sequence += 1;
    return {
      service: this.service,
      address: this.address,
      zone: this.zone,
      version: this.version,
      slots: this.slots,
      state: this.state,
      cold_remaining_ms: 0,
      phase: 'mixed',
      models: [{name: 'm', version: 1, adapters: []}],
      sequence: this.sequence,
      born: this.born,
    };
  }

  serve(socket) {
    this.sockets.add(socket);
    socket.on('close', () => this.sockets.delete(socket));
    socket.on('error', () => {});
    let bytes = Buffer.alloc(0);
    let request;
    socket.on('data', chunk => {
      bytes = Buffer.concat([bytes, chunk]);
      for (;;) {
        if (request === undefined) {
          const end = bytes.indexOf('\r\n\r\n');
          if (end < 0) return;
          request = parseHead(bytes.subarray(0, end).toString('latin1'));
          bytes = bytes.subarray(end + 4);
        }
        const body = takeBody(request, bytes);
        if (body === undefined) return;
        request.body = body.content;
        bytes = bytes.subarray(body.end);
        const done = request;
        request = undefined;
        void this.answer(socket, done, this);
      }
    });
  }

  stop() {
    for (const socket of this.sockets) socket.destroy();
    return new Promise(resolve => this.server.close(resolve));
  }
}

function parseHead(text) {
  const [first, ...lines] = text.split('\r\n');
  const [method, path] = first.split(' ');
  const headers = {};
  for (const line of lines) {
    const at = line.indexOf(':');
    headers[line.slice(0, at).toLowerCase()] = line.slice(at + 1).trim();
  }
  return {method, path, headers};
}

function takeBody({headers}, bytes) {
  if (headers['transfer-encoding'] === 'chunked') {
    let at = 0;
    const parts = [];
    for (;;) {
      const line = bytes.indexOf('\r\n', at);
      if (line < 0) return undefined;
      const size = parseInt(bytes.subarray(at, line).toString(), 16);
      const end = line + 2 + size + 2;
      if (bytes.length < end) return undefined;
      if (size === 0) return {content: Buffer.concat(parts), end};
      parts.push(bytes.subarray(line + 2, line + 2 + size));
      at = end;
    }
  }
  const length = Number(headers['content-length'] ?? 0);
  if (bytes.length < length) return undefined;
  return {content: bytes.subarray(0, length), end: length};
}

/** Creates the head of a worker's own answer. */
export function createHead(request, status, headers = {}) {
  const lines = [
    `HTTP/1.1 ${status}`,
    `X-Attempt-Id: ${request.headers['x-attempt-id']}`,
    'X-Server-Signature: 3e1b.07.5a2.600.0.c9f2a4d1',
  ];
  for (const [name, value] of Object.entries(headers))
    lines.push(`${name}: ${value}`);
  return `${lines.join('\r\n')}\r\n\r\n`;
}

/** Answers with a complete body. */
export function sendAnswer(
  socket,
  request,
  text,
  status = '200 OK',
  headers = {},
) {
  if (socket.destroyed) return;
  socket.write(
    createHead(request, status, {
      ...headers,
      'Content-Length': Buffer.byteLength(text),
    }) + text,
  );
}

/** Sends a sound stream of events, in chunks. */
export function sendEvents(socket, request, {events = 10, gapMs = 30} = {}) {
  const headers = {
    'Content-Type': 'text/event-stream',
    'Transfer-Encoding': 'chunked',
  };
  socket.write(createHead(request, '200 OK', headers));
  let id = Number(request.headers['last-event-id'] ?? 0);
  const last = events;
  const timer = setInterval(() => {
    if (socket.destroyed) {
      clearInterval(timer);
      return;
    }
    id += 1;
    const event = `id: ${id}\ndata: piece ${id} of the narrative\n\n`;
    socket.write(`${event.length.toString(16)}\r\n${event}\r\n`);
    if (id < last) return;
    clearInterval(timer);
    socket.write('0\r\n\r\n');
  }, gapMs);
}

/** Sends a block again and again until the caller closes the connection. */
export function sendWithoutEnd(socket, block) {
  const send = () => {
    if (socket.destroyed) return;
    if (socket.write(block)) setImmediate(send);
    else socket.once('drain', () => setImmediate(send));
  };
  send();
}
