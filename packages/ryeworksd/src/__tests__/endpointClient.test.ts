import {createServer, Server, ServerResponse} from 'node:http';
import t from 'tap';
import {listenAsEndpoint, startTestCall} from './testCall.js';

/** Events of the stream; the connection is cut after the first two. */
const words = ['one', 'two', 'three'];
const eventsBeforeCut = 2;

/** Writes the events of the stream after the first ones. */
function writeEvents(response: ServerResponse, from: number, to: number): void {
  for (let index = from; index < to; index++) {
    response.write(`id: ${index + 1}\ndata: "${words[index]}"\n\n`);
  }
}

/**
 * Creates an engine that cuts its stream once and answers the first call that
 * would resume it with 503.
 */
function createEngine(): Server {
  let resumes = 0;
  const server = createServer((request, response) => {
    if (request.method === 'POST') {
      writeEvents(response, 0, eventsBeforeCut);
      setTimeout(() => response.destroy(), 50);
      return;
    }
    resumes += 1;
    if (resumes === 1) {
      response.writeHead(503).end();
      return;
    }
    const from = Number(request.headers['last-event-id'] ?? 0);
    writeEvents(response, from, words.length);
    response.end('data: [DONE]\n\n');
  });
  return server;
}

// Guards against pieces of a stream that the caller receives twice.
t.test('a stream goes on where it was after a refused resume', async t => {
  const server = createEngine();
  const endpoint = await listenAsEndpoint(server);
  t.teardown(() => {
    server.close();
  });
  const request = {
    kind: 'model' as const,
    path: '/v1/chat/completions',
    contentType: 'application/json',
    body: Buffer.from('{}'),
    isStreamed: true,
    model: 'm',
  };
  const failures: string[] = [];
  let handleDone = () => {};
  const done = new Promise<void>(resolve => (handleDone = resolve));
  const {body} = startTestCall(t, endpoint, request, (input, call) => {
    if (input.kind === 'endpointDone') handleDone();
    if (input.kind !== 'endpointFailed') return;
    failures.push(input.failure);
    const {client, requestId} = call;
    client.resume({kind: 'resume', requestId, endpoint, streamId: requestId});
  });
  await done;
  t.strictSame(failures, ['cut', 'refused']);
  const events = words.map(word => `data: "${word}"\n\n`);
  t.strictSame(body, [...events, 'data: [DONE]\n\n']);
});
