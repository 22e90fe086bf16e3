/**
 * Stand-in for the platform's metadata store, as PROTOCOL describes it: lists,
 * watches, creation, replacement and removal of objects of any kind, with one
 * revision counter. It can be made slow, silent or busy for the machines while
 * the operator's own writes, which are calls of this module, go on.
 */
import {createServer} from 'node:http';

/** Starts the store; `history` revisions can be watched from. */
export function startStore({host = '127.0.0.1', port = 0, era} = {}) {
  const kinds = new Map();
  const events = [];
  const waiting = new Set();
  const calls = {count: 0};
  const control = {mode: 'sound', calls, era};
  let revision = 100;

  const getKind = kind => {
    if (!kinds.has(kind)) kinds.set(kind, new Map());
    return kinds.get(kind);
  };
  const notify = () => {
    for (const check of [...waiting]) check();
  };
  const record = (kind, object, deleted) => {
    events.push({kind, revision, object: structuredClone(object), deleted});
    notify();
  };

  /** Writes an object as the operator or a worker would; returns its revision. */
  const put = (kind, name, spec) => {
    revision += 1;
    const objects = getKind(kind);
    const previous = objects.get(name);
    const object = {
      metadata: {
        name,
        revision,
        creation_revision: previous?.metadata.creation_revision ?? revision,
        finalizers: [],
        deletion_time: false,
      },
      spec,
      status: previous?.status ?? null,
    };
    objects.set(name, object);
    record(kind, object, false);
    return revision;
  };
  const remove = (kind, name) => {
    const object = getKind(kind).get(name);
    if (object === undefined) return;
    revision += 1;
    getKind(kind).delete(name);
    record(kind, {...object, metadata: {...object.metadata, revision}}, true);
  };

  const handleRead = (url, kind, name, answer) => {
    const query = url.searchParams;
    const objects = getKind(kind);
    if (name !== undefined) {
      const object = objects.get(name);
      return object ? answer(200, object) : answer(404, {});
    }
    if (query.has('watch')) {
      const since = Number(query.get('watch'));
      const waitMs = Math.min(30_000, Number(query.get('wait_ms') ?? 0));
      const listNew = () =>
        events.filter(event => event.kind === kind && event.revision > since);
      const send = () => {
        waiting.delete(check);
        clearTimeout(timer);
        const found = listNew().map(({deleted, object}) => ({deleted, object}));
        answer(200, {events: found, at: revision});
      };
      const check = () => {
        if (listNew().length > 0) send();
      };
      const timer = setTimeout(send, waitMs);
      waiting.add(check);
      check();
      return undefined;
    }
    const entries = [...objects.values()].sort((a, b) =>
      a.metadata.name < b.metadata.name ? -1 : 1,
    );
    return answer(200, {entries, has_more: false, at: revision});
  };

  const handleWrite = (method, url, kind, name, isStatus, body, answer) => {
    const objects = getKind(kind);
    const wanted = body?.metadata?.revision ?? url.searchParams.get('revision');
    const target = name ?? body?.metadata?.name;
    const existing = objects.get(target);
    if (method === 'POST') {
      if (existing) return answer(409, existing);
      put(kind, target, body.spec);
      return answer(201, objects.get(target));
    }
    if (existing === undefined) return answer(404, {});
    const isOther =
      wanted !== undefined &&
      wanted !== null &&
      Number(wanted) !== existing.metadata.revision;
    if (isOther) return answer(409, existing);
    if (method === 'DELETE') {
      remove(kind, target);
      return answer(200, existing);
    }
    const key = isStatus ? 'status' : 'spec';
    if (JSON.stringify(existing[key]) === JSON.stringify(body[key])) {
      return answer(200, existing);
    }
    revision += 1;
    existing[key] = body[key];
    existing.metadata.revision = revision;
    record(kind, existing, false);
    return answer(200, existing);
  };

  const server = createServer((request, response) => {
    calls.count += 1;
    const chunks = [];
    request.on('data', chunk => chunks.push(chunk));
    request.on('end', () => {
      if (control.mode === 'silent') return;
      const url = new URL(request.url, 'http://store');
      const [, , , kind, name, last] = url.pathname.split('/');
      const answer = (status, body) => {
        if (response.destroyed || control.mode === 'silent') return;
        const text = JSON.stringify(body);
        response.writeHead(status, {
          'content-type': 'application/json',
          'content-length': Buffer.byteLength(text),
          ...(control.era === undefined ? {} : {'store-era': control.era}),
        });
        response.end(text);
      };
      if (control.mode === 'busy') return answer(503, {});
      const text = Buffer.concat(chunks).toString();
      const body = text === '' ? undefined : JSON.parse(text);
      const decoded = name === undefined ? undefined : decodeURIComponent(name);
      if (request.method === 'GET') {
        return handleRead(url, kind, decoded, answer);
      }
      const isStatus = last === 'status';
      return handleWrite(
        request.method,
        url,
        kind,
        decoded,
        isStatus,
        body,
        answer,
      );
    });
  });
  return new Promise(resolve => {
    server.listen(port, host, () =>
      resolve({
        control,
        put,
        remove,
        get: (kind, name) => getKind(kind).get(name),
        port: server.address().port,
        close: () => {
          server.close();
          server.closeAllConnections();
        },
      }),
    );
  });
}
