import {findCustomerByKeyHash, isConfigured} from '@ryeworks/scheduler';
import {errorAnswers, ErrorKind} from '@ryeworks/types';
import {getHash} from '@ryeworks/utils';
import Fastify, {FastifyInstance, FastifyReply, FastifyRequest} from 'fastify';
import {createHash, randomBytes} from 'node:crypto';
import {Socket} from 'node:net';
import {addStatusRoute} from './addStatusRoute.js';
import {CallerServerContext} from './callerServerContext.js';
import {createQueuedServer, refuseUnreadable} from './createQueuedServer.js';
import {CallHeaders, readCallHeaders} from './readCallHeaders.js';
import {CompletionRequest, readCompletion} from './readCompletion.js';
import {createErrorBody, createErrorHeaders, ReplySink} from './replySink.js';

/** Path of chat completions, both on this server and on model engines. */
const completionsPath = '/v1/chat/completions';

/** Number of random bytes in a request ID. */
const requestIdBytes = 12;
/** Length of a claim key in base64 characters, which hold six bits each. */
const claimKeyCharacters = 22;

/** A parsed call that is ready to be scheduled. */
interface ParsedCall {
  readonly customer: string;
  readonly service: string;
  readonly method: string;
  readonly path: string;
  readonly headers: CallHeaders;
  readonly completion?: CompletionRequest;
}

/** Answers a call with an error without submitting it to the scheduler. */
function sendRefusal(
  context: CallerServerContext,
  request: FastifyRequest,
  reply: FastifyReply,
  error: ErrorKind,
  detail?: string,
): FastifyReply {
  const {ran, status} = errorAnswers[error];
  const failure = {error, ran, retryAfterMs: 0};
  context.metrics.count('request.refused', {reason: error}, 1);
  return reply
    .code(status)
    .headers({...createErrorHeaders(failure), 'x-request-id': request.id})
    .send(createErrorBody(failure, request.id, detail));
}

/** Finds the customer by the API key of a call, if the key is known. */
function authenticateCaller(
  context: CallerServerContext,
  request: FastifyRequest,
): string | undefined {
  const [scheme, key] = (request.headers.authorization ?? '').split(' ');
  if (scheme.toLowerCase() !== 'bearer' || key === undefined) return undefined;
  const keyHash = createHash('sha256').update(key).digest('hex');
  return findCustomerByKeyHash(context.loop.state.documents, keyHash);
}

/** Returns the body of a call as bytes. */
function getBody(request: FastifyRequest): Buffer {
  return Buffer.isBuffer(request.body) ? request.body : Buffer.alloc(0);
}

/** Creates a request ID, short because every message about the request has it. */
function createRequestId(): string {
  return randomBytes(requestIdBytes).toString('base64url');
}

/** Creates a short claim key that is unique across customers. */
function createClaimKey(
  customer: string,
  idempotencyKey: string | undefined,
): string | undefined {
  if (idempotencyKey === undefined) return undefined;
  const hash = createHash('sha256').update(`${customer}/${idempotencyKey}`);
  return hash.digest('base64url').slice(0, claimKeyCharacters);
}

/** Submits a call to the scheduler and connects the reply to its answer. */
function scheduleCall(
  context: CallerServerContext,
  request: FastifyRequest,
  reply: FastifyReply,
  call: ParsedCall,
): void {
  const {answers, loop, openRequests} = context;
  const {completion, headers} = call;
  const body = getBody(request);
  const requestId = request.id;
  const isCached = headers.idempotencyKey !== undefined;
  const answer = answers.create(requestId, isCached);
  const sink = new ReplySink(reply, requestId);
  reply.hijack();
  answer.addSink(sink);
  reply.raw.on('close', () => {
    answer.removeSink(sink);
    if (!answer.hasEnded) loop.submit({kind: 'callerGone', requestId});
  });
  openRequests.set(requestId, {
    requestId,
    kind: completion === undefined ? 'plain' : 'model',
    method: call.method,
    path: call.path,
    contentType: request.headers['content-type'] ?? '',
    body,
    idempotencyKey: headers.idempotencyKey,
    isStreamed: completion?.isStreamed ?? false,
    model: completion?.model ?? '',
    answer,
  });
  const [path] = call.path.split('?');
  const route = `${call.method} ${path}`;
  loop.submit({
    kind: 'requestReceived',
    requestId,
    customer: call.customer,
    service: call.service,
    route,
    promptTokens: completion?.promptTokens ?? 0,
    maxTokens: completion?.maxTokens ?? 0,
    prefixHash: completion?.prefixHash ?? 0,
    fingerprint: getHash(`${route} ${body.toString('latin1')}`),
    ...headers,
    idempotencyKey: createClaimKey(call.customer, headers.idempotencyKey),
  });
}

/** The authenticated customer of a call and the call's parsed headers. */
interface AuthenticatedCaller {
  readonly customer: string;
  readonly headers: CallHeaders;
}

/**
 * Authenticates the caller and parses the headers of a call. Returns undefined
 * if the call was refused.
 */
function readCaller(
  context: CallerServerContext,
  request: FastifyRequest,
  reply: FastifyReply,
): AuthenticatedCaller | undefined {
  const customer = authenticateCaller(context, request);
  if (customer === undefined) {
    sendRefusal(context, request, reply, 'unauthenticated');
    return undefined;
  }
  const wallClockMs = context.clock.readWallClockMs();
  const headers = readCallHeaders(request.headers, wallClockMs);
  if (typeof headers === 'string') {
    sendRefusal(context, request, reply, 'malformedRequest', headers);
    return undefined;
  }
  return {customer, headers};
}

/** Handles a chat completion call. */
function handleCompletionCall(
  context: CallerServerContext,
  request: FastifyRequest,
  reply: FastifyReply,
): FastifyReply | void {
  const caller = readCaller(context, request, reply);
  if (caller === undefined) return reply;
  let parsed: unknown;
  try {
    parsed = JSON.parse(getBody(request).toString('utf8'));
  } catch (error) {
    const detail = (error as Error).message;
    return sendRefusal(context, request, reply, 'malformedRequest', detail);
  }
  const completion = readCompletion(parsed);
  if (typeof completion === 'string') {
    return sendRefusal(context, request, reply, 'malformedRequest', completion);
  }
  return scheduleCall(context, request, reply, {
    ...caller,
    service: completion.model,
    method: 'POST',
    path: completionsPath,
    completion,
  });
}

/** Handles a call to a plain service. */
function handleServiceCall(
  context: CallerServerContext,
  request: FastifyRequest,
  reply: FastifyReply,
): FastifyReply | void {
  const caller = readCaller(context, request, reply);
  if (caller === undefined) return reply;
  const {service} = request.params as {service: string};
  const path = request.url.slice(`/services/${service}`.length);
  const {method} = request;
  const call = {...caller, service, method, path};
  return scheduleCall(context, request, reply, call);
}

/** Creates the server for callers, the load balancer and operators. */
export function createCallerServer(
  context: CallerServerContext,
): FastifyInstance {
  const {openReplies} = context;
  const server = Fastify({
    bodyLimit: context.settings.maxBodyBytes,
    genReqId: createRequestId,
    serverFactory: handleRequest =>
      createQueuedServer(handleRequest, openReplies),
    clientErrorHandler: ({code}, socket) =>
      refuseUnreadable(openReplies, code ?? '', socket as Socket),
  });
  server.addHook('onRequest', (_request, reply, done) => {
    openReplies.add(reply.raw);
    done();
  });
  server.removeAllContentTypeParsers();
  server.addContentTypeParser(
    '*',
    {parseAs: 'buffer'},
    (_request, body, done) => done(null, body),
  );
  server.setErrorHandler((error, request, reply) => {
    const isTooLarge =
      (error as {code?: string}).code === 'FST_ERR_CTP_BODY_TOO_LARGE';
    const kind = isTooLarge ? 'bodyTooLarge' : 'malformedRequest';
    const detail = (error as Error).message;
    return sendRefusal(context, request, reply, kind, detail);
  });
  server.setNotFoundHandler((request, reply) =>
    sendRefusal(context, request, reply, 'unknownService'),
  );
  server.post(completionsPath, (request, reply) =>
    handleCompletionCall(context, request, reply),
  );
  server.all('/services/:service/*', (request, reply) =>
    handleServiceCall(context, request, reply),
  );
  server.get('/healthz', () => ({alive: true}));
  server.get('/readyz', (_request, reply) => {
    const {documents, draining} = context.loop.state;
    const isReady = isConfigured(documents) && !draining;
    return reply.code(isReady ? 200 : 503).send({ready: isReady});
  });
  addStatusRoute(server, context);
  return server;
}
