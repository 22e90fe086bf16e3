import Fastify, {FastifyInstance} from 'fastify';

/** Options of {@link startPlatform}. */
export interface PlatformServerOptions {
  readonly host: string;
  readonly port: number;
  /** Calls a second before the platform refuses with 429. */
  readonly readsPerSecond: number;
  readonly writesPerSecond: number;
}

/** Faults of the platform that can be switched on. */
interface PlatformFaults {
  /** Every call is refused. */
  isDown: boolean;
  /** Time by which every answer is delayed, in ms. */
  delayMs: number;
  /** The next writes take effect and their answers are lost. */
  loseAnswers: number;
}

/** One stored object. */
interface StoredObject {
  name: string;
  version: number;
  value: unknown;
}

/** Starts a stand-in for the platform's object API. */
export async function startPlatform(
  options: PlatformServerOptions,
): Promise<FastifyInstance> {
  const server = Fastify({forceCloseConnections: true, bodyLimit: 1_048_576});
  const kinds = new Map<string, Map<string, StoredObject>>();
  const kindVersions = new Map<string, number>();
  const watchers = new Set<() => void>();
  const faults: PlatformFaults = {isDown: false, delayMs: 0, loseAnswers: 0};
  const calls = {reads: 0, writes: 0, watches: 0};
  const second = {reads: 0, writes: 0};
  let version = 0;

  const secondTimer = setInterval(() => {
    second.reads = 0;
    second.writes = 0;
  }, 1000);
  server.addHook('onClose', () => clearInterval(secondTimer));

  server.addHook('onRequest', async (request, reply) => {
    if (request.url.startsWith('/control')) return;
    const isWrite = request.method !== 'GET';
    second[isWrite ? 'writes' : 'reads'] += 1;
    const isOverRate =
      second.reads > options.readsPerSecond ||
      second.writes > options.writesPerSecond;
    if (faults.delayMs > 0) {
      await new Promise(resolve => setTimeout(resolve, faults.delayMs));
    }
    if (faults.isDown) await reply.code(503).send({error: 'down'});
    else if (isOverRate) await reply.code(429).send({error: 'too many calls'});
  });

  /** Lists a kind with the version of its last change. */
  function listKind(kind: string): {version: number; items: StoredObject[]} {
    const items = [...(kinds.get(kind)?.values() ?? [])];
    return {version: kindVersions.get(kind) ?? 0, items};
  }

  server.get<{Params: {kind: string}}>('/objects/:kind', request => {
    calls.reads += 1;
    return listKind(request.params.kind);
  });

  server.get<{Params: {kind: string; name: string}}>(
    '/objects/:kind/:name',
    (request, reply) => {
      calls.reads += 1;
      const {kind, name} = request.params;
      const found = kinds.get(kind)?.get(name);
      return found ?? reply.code(404).send({error: 'not found'});
    },
  );

  server.put<{
    Params: {kind: string; name: string};
    Querystring: {expected?: string};
  }>('/objects/:kind/:name', (request, reply) => {
    calls.writes += 1;
    const {kind, name} = request.params;
    const objects = kinds.get(kind) ?? new Map<string, StoredObject>();
    kinds.set(kind, objects);
    const present = objects.get(name)?.version ?? 0;
    const {expected} = request.query;
    if (expected !== undefined && Number(expected) !== present) {
      return reply.code(409).send({version: present});
    }
    version += 1;
    objects.set(name, {name, version, value: request.body});
    kindVersions.set(kind, version);
    for (const notify of [...watchers]) notify();
    if (faults.loseAnswers > 0) {
      faults.loseAnswers -= 1;
      request.raw.socket.destroy();
      return reply.hijack();
    }
    return {version};
  });

  server.delete<{Params: {kind: string; name: string}}>(
    '/objects/:kind/:name',
    request => {
      calls.writes += 1;
      const {kind, name} = request.params;
      version += 1;
      kinds.get(kind)?.delete(name);
      kindVersions.set(kind, version);
      for (const notify of [...watchers]) notify();
      return {version};
    },
  );

  server.get<{
    Params: {kind: string};
    Querystring: {since: string; timeoutMs: string};
  }>('/watch/:kind', async (request, reply) => {
    calls.watches += 1;
    const {kind} = request.params;
    const since = Number(request.query.since);
    const isNew = () => (kindVersions.get(kind) ?? 0) > since;
    if (!isNew()) {
      await new Promise<void>(resolve => {
        const timeoutMs = Number(request.query.timeoutMs);
        const timer = setTimeout(finish, timeoutMs);
        function finish(): void {
          clearTimeout(timer);
          watchers.delete(notify);
          resolve();
        }
        function notify(): void {
          if (isNew()) finish();
        }
        watchers.add(notify);
      });
    }
    if (faults.isDown) return reply.code(503).send({error: 'down'});
    if (!isNew()) return reply.code(204).send();
    return listKind(kind);
  });

  server.post<{Body: Partial<PlatformFaults>}>('/control', request =>
    Object.assign(faults, request.body),
  );
  server.get('/control/calls', () => calls);

  await server.listen({host: options.host, port: options.port});
  return server;
}
