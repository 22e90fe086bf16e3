import Fastify, {FastifyInstance} from 'fastify';

/** Options of {@link startPlatform}. */
export interface PlatformServerOptions {
  readonly host: string;
  readonly port: number;
  /**
   * Maximum reads per second. Once it is exceeded, reads and writes are refused
   * with status 429 until the second ends.
   */
  readonly readsPerSecond: number;
  /** Maximum writes per second, with the same effect when it is exceeded. */
  readonly writesPerSecond: number;
}

/** Faults that can be injected into the platform. */
interface PlatformFaults {
  /** Whether every call is refused. */
  isDown: boolean;
  /** Delay of every answer, in ms. */
  delayMs: number;
  /** Number of next writes that take effect but get no answer. */
  loseAnswers: number;
}

/** A stored object. */
interface StoredObject {
  name: string;
  version: number;
  value: unknown;
}

/** Starts a stand-in server for the platform's object API. */
export async function startPlatform(
  options: PlatformServerOptions,
): Promise<FastifyInstance> {
  const server = Fastify({forceCloseConnections: true, bodyLimit: 1_048_576});
  const objectsByKind = new Map<string, Map<string, StoredObject>>();
  const versionByKind = new Map<string, number>();
  const watchers = new Set<() => void>();
  const faults: PlatformFaults = {isDown: false, delayMs: 0, loseAnswers: 0};
  const callCounts = {reads: 0, writes: 0, watches: 0};
  const callsThisSecond = {reads: 0, writes: 0};
  let version = 0;

  const rateTimer = setInterval(() => {
    callsThisSecond.reads = 0;
    callsThisSecond.writes = 0;
  }, 1000);
  server.addHook('onClose', () => clearInterval(rateTimer));

  server.addHook('onRequest', async (request, reply) => {
    if (request.url.startsWith('/control')) return;
    const isWrite = request.method !== 'GET';
    callsThisSecond[isWrite ? 'writes' : 'reads'] += 1;
    const isOverRate =
      callsThisSecond.reads > options.readsPerSecond ||
      callsThisSecond.writes > options.writesPerSecond;
    if (faults.delayMs > 0) {
      await new Promise(resolve => setTimeout(resolve, faults.delayMs));
    }
    if (faults.isDown) await reply.code(503).send({error: 'down'});
    else if (isOverRate) await reply.code(429).send({error: 'too many calls'});
  });

  /** Lists the objects of a kind with the version of its last change. */
  function listKind(kind: string): {version: number; items: StoredObject[]} {
    const items = [...(objectsByKind.get(kind)?.values() ?? [])];
    return {version: versionByKind.get(kind) ?? 0, items};
  }

  server.get<{Params: {kind: string}}>('/objects/:kind', request => {
    callCounts.reads += 1;
    return listKind(request.params.kind);
  });

  server.get<{Params: {kind: string; name: string}}>(
    '/objects/:kind/:name',
    (request, reply) => {
      callCounts.reads += 1;
      const {kind, name} = request.params;
      const object = objectsByKind.get(kind)?.get(name);
      return object ?? reply.code(404).send({error: 'not found'});
    },
  );

  server.put<{
    Params: {kind: string; name: string};
    Querystring: {expected?: string};
  }>('/objects/:kind/:name', (request, reply) => {
    callCounts.writes += 1;
    const {kind, name} = request.params;
    const objects = objectsByKind.get(kind) ?? new Map<string, StoredObject>();
    objectsByKind.set(kind, objects);
    const currentVersion = objects.get(name)?.version ?? 0;
    const {expected} = request.query;
    if (expected !== undefined && Number(expected) !== currentVersion) {
      return reply.code(409).send({version: currentVersion});
    }
    version += 1;
    objects.set(name, {name, version, value: request.body});
    versionByKind.set(kind, version);
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
      callCounts.writes += 1;
      const {kind, name} = request.params;
      version += 1;
      objectsByKind.get(kind)?.delete(name);
      versionByKind.set(kind, version);
      for (const notify of [...watchers]) notify();
      return {version};
    },
  );

  server.get<{
    Params: {kind: string};
    Querystring: {since: string; timeoutMs: string};
  }>('/watch/:kind', async (request, reply) => {
    callCounts.watches += 1;
    const {kind} = request.params;
    const since = Number(request.query.since);
    const hasChanged = () => (versionByKind.get(kind) ?? 0) > since;
    if (!hasChanged()) {
      await new Promise<void>(resolve => {
        const timeoutMs = Number(request.query.timeoutMs);
        const timer = setTimeout(finish, timeoutMs);
        function finish(): void {
          clearTimeout(timer);
          watchers.delete(notify);
          resolve();
        }
        function notify(): void {
          if (hasChanged()) finish();
        }
        watchers.add(notify);
      });
    }
    if (faults.isDown) return reply.code(503).send({error: 'down'});
    if (!hasChanged()) return reply.code(204).send();
    return listKind(kind);
  });

  server.post<{Body: Partial<PlatformFaults>}>('/control', request =>
    Object.assign(faults, request.body),
  );
  server.get('/control/calls', () => callCounts);

  await server.listen({host: options.host, port: options.port});
  return server;
}
