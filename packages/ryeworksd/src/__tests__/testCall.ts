import {Input} from '@ryeworks/scheduler';
import {Endpoint} from '@ryeworks/types';
import {systemClock} from '@ryeworks/utils';
import {Server} from 'node:net';
import {Test} from 'tap';
import {AnswerBuffer} from '../answers/answerBuffer.js';
import {OpenRequest} from '../answers/openRequests.js';
import {SchedulerLoop} from '../core/schedulerLoop.js';
import {EndpointClient} from '../endpoints/endpointClient.js';

const requestId = 'r1';

/** A call of a test, and what was forwarded of its answer. */
export interface TestCall {
  readonly requestId: string;
  readonly endpoint: Endpoint;
  readonly client: EndpointClient;
  readonly body: string[];
  status: number | undefined;
}

/** Listens on a free loopback port; returns the server as an endpoint. */
export async function listenAsEndpoint(server: Server): Promise<Endpoint> {
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
  const {port} = server.address() as {port: number};
  return {address: `http://127.0.0.1:${port}`} as Endpoint;
}

/** Calls an endpoint for a request; passes on what the client reports. */
export function startTestCall(
  t: Test,
  endpoint: Endpoint,
  request: Omit<OpenRequest, 'requestId' | 'method' | 'answer'>,
  submit: (input: Input, call: TestCall) => void,
): TestCall {
  const answer = new AnswerBuffer(true);
  const openRequest = {...request, requestId, method: 'POST', answer};
  const client = new EndpointClient(
    {submit: input => submit(input, call)} as SchedulerLoop,
    systemClock,
    new Map([[requestId, openRequest]]),
  );
  const body: string[] = [];
  const call: TestCall = {requestId, endpoint, client, body, status: undefined};
  answer.addSink({
    writeHead: status => (call.status = status),
    writeBody: chunk => body.push(chunk.toString()),
    end: () => {},
    fail: () => {},
  });
  t.teardown(() => client.close());
  client.dispatch({kind: 'dispatch', requestId, endpoint, deadlineInMs: 5000});
  return call;
}
