import {getHash} from '@ryeworks/utils';
import Fastify, {FastifyInstance, FastifyReply} from 'fastify';
import {WorkPause} from '../pause/workPause.js';
import {
  addSequence,
  cancelSequence,
  createEngineModel,
  EngineEvent,
  EngineOptions,
  FaultOptions,
  finishStep,
  isIdle,
  startStep,
} from './engineModel.js';

/** Time for which an ended stream can still be resumed, in ms. */
const streamRetentionMs = 30_000;
/** Age of the reported load values, in ms. */
const loadReportLagMs = 1000;
/** Number of characters that count as one token. */
const charactersPerToken = 4;
/** Number of characters of a prompt that form its prefix. */
const prefixCharacters = 256;

/** Paths that are answered during a pause, too. */
const controlPaths: ReadonlySet<string> = new Set([
  '/load',
  '/runs',
  '/version',
  '/control',
]);

/** An answer stream that can be read, interrupted and resumed. */
interface EngineStream {
  /** Idempotency key or, without one, the request ID; part of each word. */
  readonly label: string;
  readonly events: string[];
  isDone: boolean;
  isFailed: boolean;
  reader?: FastifyReply;
}

/** Options of {@link startEngine}. */
export interface EngineServerOptions {
  readonly host: string;
  readonly port: number;
  readonly version: string;
  readonly checksFencing: boolean;
  readonly engine: EngineOptions;
}

/** Body of a completion request. */
interface CompletionBody {
  messages?: {content?: string}[];
  max_tokens?: number;
}

/** Writes a frame to a reader; the first write also sends the headers. */
function writeFrame(reply: FastifyReply, frame: string): void {
  if (!reply.raw.headersSent) {
    reply.raw.writeHead(200, {'content-type': 'text/event-stream'});
  }
  if (frame !== '') reply.raw.write(frame);
}

/** Starts a stand-in for a model engine with the completions API. */
export async function startEngine(
  options: EngineServerOptions,
): Promise<FastifyInstance> {
  const model = createEngineModel(options.engine);
  const streams = new Map<string, EngineStream>();
  const runs: Record<string, number> = {};
  const loadReports: {running: number; queued: number}[] = [];
  const pause = new WorkPause();
  let fencing = 0;
  let isStepping = false;

  const server = Fastify({forceCloseConnections: true, bodyLimit: 8_388_608});

  server.addHook('onRequest', async request => {
    if (!controlPaths.has(request.url)) await pause.waitForEnd();
  });

  /** Stores an event of a stream and sends it to the reader, if any. */
  function emitEvent(stream: EngineStream, data: string): void {
    const frame = `id: ${stream.events.length + 1}\ndata: ${data}\n\n`;
    stream.events.push(frame);
    if (stream.reader !== undefined) writeFrame(stream.reader, frame);
  }

  /** Applies an event of the engine to the stream of its call. */
  function applyEvent(event: EngineEvent): void {
    const stream = streams.get(event.id);
    if (stream === undefined) return;
    if (event.kind === 'token') {
      const content = `w${stream.events.length + 1}-${stream.label} `;
      const choices = [{index: 0, delta: {content}, finish_reason: null}];
      const object = 'chat.completion.chunk';
      emitEvent(stream, JSON.stringify({id: event.id, object, choices}));
      return;
    }
    if (event.kind === 'done') {
      emitEvent(stream, '[DONE]');
      stream.isDone = true;
      stream.reader?.raw.end();
    } else {
      stream.isFailed = true;
      const {reader} = stream;
      if (reader !== undefined && !reader.raw.headersSent) {
        reader.raw.writeHead(500, {'content-type': 'application/json'});
      }
      reader?.raw.end('{"error":"engine failure"}');
    }
    setTimeout(() => streams.delete(event.id), streamRetentionMs).unref();
  }

  /** Runs steps until the engine is idle. */
  function runSteps(): void {
    if (isStepping || isIdle(model)) return;
    isStepping = true;
    const stepMs = startStep(model);
    setTimeout(async () => {
      await pause.waitForEnd();
      for (const event of finishStep(model)) applyEvent(event);
      isStepping = false;
      runSteps();
    }, stepMs);
  }

  /** Makes a reply the reader of a stream; skips the first `from` events. */
  function attachReader(
    reply: FastifyReply,
    stream: EngineStream,
    from: number,
  ): void {
    reply.hijack();
    stream.reader = reply;
    reply.raw.on('close', () => {
      if (stream.reader === reply) stream.reader = undefined;
    });
    if (from > 0) writeFrame(reply, '');
    for (const frame of stream.events.slice(from)) writeFrame(reply, frame);
    if (stream.isDone || stream.isFailed) reply.raw.end();
  }

  server.post('/v1/chat/completions', (request, reply) => {
    const body = (request.body ?? {}) as CompletionBody;
    const id = String(request.headers['x-request-id'] ?? request.id);
    const text = (body.messages ?? [])
      .map(message => message.content ?? '')
      .join('\n');
    runs[id] = (runs[id] ?? 0) + 1;
    const key = request.headers['idempotency-key'];
    if (key !== undefined) runs[`key:${key}`] = (runs[`key:${key}`] ?? 0) + 1;
    const stream: EngineStream = {
      label: String(key ?? id),
      events: [],
      isDone: false,
      isFailed: false,
    };
    streams.set(id, stream);
    addSequence(model, {
      id,
      route: String(request.headers['x-route'] ?? ''),
      promptTokens: Math.max(1, Math.ceil(text.length / charactersPerToken)),
      maxTokens: Math.max(1, body.max_tokens ?? 16),
      prefix: `${getHash(text.slice(0, prefixCharacters))}`,
    });
    attachReader(reply, stream, 0);
    runSteps();
  });

  server.get<{Params: {id: string}}>('/v1/streams/:id', (request, reply) => {
    const stream = streams.get(request.params.id);
    if (stream === undefined) {
      return reply.code(404).send({error: 'no such stream'});
    }
    const from = Number(request.headers['last-event-id'] ?? 0);
    attachReader(reply, stream, from);
    return undefined;
  });

  server.delete<{Params: {id: string}}>('/v1/streams/:id', (request, reply) => {
    cancelSequence(model, request.params.id);
    streams.delete(request.params.id);
    return reply.code(204).send();
  });

  server.get('/load', () => loadReports[0] ?? {running: 0, queued: 0});
  server.get('/runs', () => runs);
  server.get('/version', () => ({version: options.version}));

  server.post<{Body: {fencing: number}}>('/orders', (request, reply) => {
    const isOutdated = request.body.fencing < fencing;
    if (options.checksFencing && isOutdated) {
      return reply.code(409).send({error: 'old fencing number', fencing});
    }
    fencing = Math.max(fencing, request.body.fencing);
    return {fencing};
  });

  server.post<{
    Body: Partial<FaultOptions> & {slowdown?: number; pauseMs?: number};
  }>('/control', request => {
    const {pauseMs, slowdown, ...faults} = request.body;
    if (slowdown !== undefined) model.slowdown = slowdown;
    if (pauseMs !== undefined) pause.start(pauseMs);
    Object.assign(model.faults, faults);
    return model.faults;
  });

  const loadTimer = setInterval(() => {
    loadReports.push({
      running: model.running.length,
      queued: model.waiting.length,
    });
    if (loadReports.length > 10) loadReports.shift();
  }, loadReportLagMs / 10);
  server.addHook('onClose', () => clearInterval(loadTimer));
  await server.listen({host: options.host, port: options.port});
  return server;
}
