import {Input} from '@ryeworks/scheduler';
import {Endpoint} from '@ryeworks/types';
import {systemClock} from '@ryeworks/utils';
import {createServer, Server, ServerResponse} from 'node:http';
import {AddressInfo} from 'node:net';
import t from 'tap';
import {AnswerBuffer} from '../answers/answerBuffer.js';
import {SchedulerLoop} from '../core/schedulerLoop.js';
import {EndpointClient} from '../endpoints/endpointClient.js';

const requestId = 'r1';
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
 * Starts an engine that cuts its stream once and answers the first call that
 * would resume it with 503.
 */
async function startEngine(): Promise<Server> {
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
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
  return server;
}

// Guards against pieces of a stream that the caller receives twice.
t.test('a stream goes on where it was after a refused resume', async t => {
  const server = await startEngine();
  const {port} = server.address() as AddressInfo;
  const endpoint = {address: `http://127.0.0.1:${port}`} as Endpoint;
  const answer = new AnswerBuffer(true);
  const body: string[] = [];
  answer.addSink({
    writeHead: () => {},
    writeBody: chunk => body.push(chunk.toString()),
    end: () => {},
    fail: () => {},
  });
  const openRequest = {
    requestId,
    kind: 'model' as const,
    method: 'POST',
    path: '/v1/chat/completions',
    contentType: 'application/json',
    body: Buffer.from('{}'),
    isStreamed: true,
    model: 'm',
    answer,
  };
  const failures: string[] = [];
  let handleDone = () => {};
  const done = new Promise<void>(resolve => (handleDone = resolve));
  const submit = (input: Input) => {
    if (input.kind === 'endpointDone') handleDone();
    if (input.kind !== 'endpointFailed') return;
    failures.push(input.failure);
    const streamId = requestId;
    client.resume({kind: 'resume', requestId, endpoint, streamId});
  };
  const client: EndpointClient = new EndpointClient(
    {submit} as SchedulerLoop,
    systemClock,
    new Map([[requestId, openRequest]]),
  );
  t.teardown(async () => {
    await client.close();
    server.close();
  });
  client.dispatch({
    kind: 'dispatch',
    requestId,
    endpoint,
    deadlineInMs: 5000,
  });
  await done;
  t.strictSame(failures, ['cut', 'refused']);
  const events = words.map(word => `data: "${word}"\n\n`);
  t.strictSame(body, [...events, 'data: [DONE]\n\n']);
});
