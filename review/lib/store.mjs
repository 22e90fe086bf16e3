// Stand-in for the platform's store, as PROTOCOL.md describes it.
import http from 'node:http';

/** Maximum number of entries on a page of a list. */
const defaultPageSize = 500;

/** Returns the parsed JSON body of a request; undefined if it is empty. */
async function readJson(request) {
  const chunks = [];
  for await (const chunk of request) chunks.push(chunk);
  const text = Buffer.concat(chunks).toString('utf8');
  return text === '' ? undefined : JSON.parse(text);
}

/** A store that keeps its objects and their history in memory. */
export class Store {
  pageSize = defaultPageSize;
  /** Time that an answer takes, in ms. */
  answerMs = 4;
  /** Whether calls are answered at all. */
  isUp = true;
  era = 1;
  revision = 1;
  objects = new Map();
  changes = [];
  #wakers = new Set();
  #server;

  async start(host) {
    this.#server = http.createServer((request, response) => {
      this.#handle(request, response).catch(() => response.destroy());
    });
    await new Promise(resolve => this.#server.listen(0, host, resolve));
    return `${host}:${this.#server.address().port}`;
  }

  stop() {
    this.#server.closeAllConnections();
    this.#server.close();
  }

  /** Cuts all channels and the calls that wait on them. */
  cutChannels() {
    this.#server.closeAllConnections();
    this.#wake();
  }

  get(kind, name) {
    return this.objects.get(`${kind}/${name}`);
  }

  put(kind, name, spec, status) {
    const key = `${kind}/${name}`;
    const known = this.objects.get(key);
    this.revision += 1;
    const object = {
      metadata: {
        name,
        revision: this.revision,
        creation_revision: known?.metadata.creation_revision ?? this.revision,
        finalizers: [],
        deletion_time: false,
      },
      spec: spec ?? known?.spec ?? null,
      status: status ?? known?.status ?? null,
    };
    this.objects.set(key, object);
    this.#addChange({kind, object, deleted: false});
    return object;
  }

  remove(kind, name) {
    const key = `${kind}/${name}`;
    const known = this.objects.get(key);
    if (known === undefined) return;
    this.objects.delete(key);
    this.revision += 1;
    const metadata = {...known.metadata, revision: this.revision};
    this.#addChange({kind, object: {...known, metadata}, deleted: true});
  }

  takeCopy() {
    return {
      objects: new Map(this.objects),
      changes: [...this.changes],
      revision: this.revision,
    };
  }

  /** Comes back from an older copy; revisions go back. */
  restore(copy) {
    this.era += 1;
    this.objects = new Map(copy.objects);
    this.changes = [...copy.changes];
    this.revision = copy.revision;
    this.cutChannels();
  }

  #addChange(change) {
    this.changes.push(change);
    this.#wake();
  }

  #wake() {
    for (const wake of [...this.#wakers]) wake();
    this.#wakers.clear();
  }

  async #handle(request, response) {
    const url = new URL(request.url, 'http://store');
    const [, , , kind, name, part] = url.pathname.split('/');
    const query = url.searchParams;
    const body = await readJson(request);
    if (!this.isUp) return;
    let answer;
    if (request.method !== 'GET') {
      answer = this.#write(request.method, kind, name, part, body);
    } else if (query.has('watch')) {
      answer = await this.#watch(kind, query);
    } else if (name !== undefined) {
      const object = this.get(kind, decodeURIComponent(name));
      answer = object === undefined ? [404, {}] : [200, object];
    } else {
      answer = [200, this.#list(kind, query.get('after') ?? '')];
    }
    const era = this.era;
    await new Promise(resolve => setTimeout(resolve, this.answerMs));
    if (!this.isUp || era !== this.era) {
      response.destroy();
      return;
    }
    const [status, content] = answer;
    response.writeHead(status, {
      'content-type': 'application/json',
      'store-era': `${era}`,
    });
    response.end(JSON.stringify(content));
  }

  #list(kind, after) {
    const entries = [];
    for (const [key, object] of this.objects) {
      if (!key.startsWith(`${kind}/`)) continue;
      if (object.metadata.name > after) entries.push(object);
    }
    entries.sort((a, b) => (a.metadata.name < b.metadata.name ? -1 : 1));
    const page = entries.slice(0, this.pageSize);
    return {
      entries: page,
      has_more: entries.length > page.length,
      at: this.revision,
    };
  }

  async #watch(kind, query) {
    const since = Number(query.get('watch'));
    if (since > this.revision) return [410, {}];
    const findEvents = () => {
      const events = [];
      for (const {deleted, kind: changed, object} of this.changes) {
        if (changed !== kind || object.metadata.revision <= since) continue;
        events.push({deleted, object});
      }
      return events;
    };
    const endMs = performance.now() + Number(query.get('wait_ms') ?? 0);
    while (findEvents().length === 0) {
      const leftMs = endMs - performance.now();
      if (leftMs <= 0) break;
      await new Promise(resolve => {
        const timer = setTimeout(resolve, leftMs);
        this.#wakers.add(() => {
          clearTimeout(timer);
          resolve();
        });
      });
    }
    return [200, {events: findEvents(), at: this.revision}];
  }

  #write(method, kind, pathName, part, body) {
    const name =
      pathName === undefined
        ? body.metadata.name
        : decodeURIComponent(pathName);
    const known = this.get(kind, name);
    if (method === 'POST') {
      if (known !== undefined) return [409, known];
      return [200, this.put(kind, name, body.spec)];
    }
    if (known === undefined) return [404, {}];
    const {revision} = body.metadata;
    if (revision !== undefined && revision !== known.metadata.revision) {
      return [409, known];
    }
    return part === 'status'
      ? [200, this.put(kind, name, undefined, body.status)]
      : [200, this.put(kind, name, body.spec)];
  }
}
