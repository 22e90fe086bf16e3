import {createServer} from 'node:http';

/**
 * Stand-in for the platform's store: objects by kind and name, one revision
 * counter, lists in pages, watches, and writes under a condition.
 */
export class Store {
  constructor() {
    this.revision = 1;
    this.era = 1;
    this.objects = new Map();
    this.changes = [];
    this.wakers = new Set();
    /** Called with each write: method, path, body. */
    this.handleWrite = () => {};
    /** Returns true if a call is to get no answer. */
    this.isSilentFor = () => false;
    this.server = createServer((request, response) => {
      void this.handle(request, response);
    });
  }

  async start() {
    await new Promise(resolve => this.server.listen(0, '127.0.0.1', resolve));
    this.address = `127.0.0.1:${this.server.address().port}`;
    return this.address;
  }

  async stop() {
    this.server.closeAllConnections();
    await new Promise(resolve => this.server.close(resolve));
  }

  /** Writes an object as the operator or a server does. */
  put(kind, name, spec, status) {
    this.revision += 1;
    const key = `${kind}/${name}`;
    const before = this.objects.get(key);
    const object = {
      metadata: {
        name,
        revision: this.revision,
        creation_revision: before?.metadata.creation_revision ?? this.revision,
        finalizers: [],
        deletion_time: false,
      },
      spec,
      status: status ?? before?.status ?? null,
    };
    this.objects.set(key, object);
    this.addChange({kind, deleted: false, object});
    return object;
  }

  remove(kind, name) {
    const key = `${kind}/${name}`;
    const object = this.objects.get(key);
    if (object === undefined) return;
    this.revision += 1;
    this.objects.delete(key);
    const metadata = {...object.metadata, revision: this.revision};
    this.addChange({kind, deleted: true, object: {...object, metadata}});
  }

  addChange(change) {
    this.changes.push(change);
    for (const wake of [...this.wakers]) wake();
  }

  async handle(request, response) {
    const chunks = [];
    for await (const chunk of request) chunks.push(chunk);
    const text = Buffer.concat(chunks).toString();
    const body = text === '' ? undefined : JSON.parse(text);
    const url = new URL(request.url, 'http://store');
    const [, , , kind, name, sub] = url.pathname.split('/');
    const send = (status, value) => {
      if (this.isSilentFor(request, body)) return;
      response.writeHead(status, {
        'content-type': 'application/json',
        'store-era': `${this.era}`,
      });
      response.end(JSON.stringify(value));
    };
    if (request.method === 'GET') {
      if (name !== undefined) {
        const object = this.objects.get(`${kind}/${decodeURIComponent(name)}`);
        return object === undefined ? send(404, {}) : send(200, object);
      }
      if (url.searchParams.has('watch')) {
        return this.watch(kind, url.searchParams, response, send);
      }
      const entries = [];
      for (const [key, object] of this.objects) {
        if (key.startsWith(`${kind}/`)) entries.push(object);
      }
      return send(200, {entries, has_more: false, at: this.revision});
    }
    this.handleWrite(request.method, url.pathname, body);
    const target = name ?? body?.metadata?.name;
    const existing = this.objects.get(`${kind}/${target}`);
    if (request.method === 'POST') {
      if (existing !== undefined) return send(409, existing);
      return send(201, this.put(kind, target, body.spec));
    }
    if (existing === undefined) return send(404, {});
    const condition = body?.metadata?.revision;
    if (condition !== undefined && condition !== existing.metadata.revision) {
      return send(409, existing);
    }
    if (request.method === 'DELETE') {
      this.remove(kind, target);
      return send(200, {});
    }
    if (sub === 'status') {
      return send(200, this.put(kind, target, existing.spec, body.status));
    }
    return send(200, this.put(kind, target, body.spec));
  }

  async watch(kind, query, response, send) {
    const since = Number(query.get('watch'));
    if (since > this.revision) return send(410, {});
    const list = () =>
      this.changes.filter(
        change =>
          change.kind === kind && change.object.metadata.revision > since,
      );
    if (list().length === 0) {
      await new Promise(resolve => {
        const end = () => {
          clearTimeout(timer);
          this.wakers.delete(wake);
          resolve();
        };
        const wake = () => {
          if (list().length > 0) end();
        };
        const timer = setTimeout(end, Number(query.get('wait_ms')));
        this.wakers.add(wake);
        response.once('close', end);
      });
    }
    const events = list().map(({deleted, object}) => ({deleted, object}));
    send(200, {events, at: this.revision});
  }
}
