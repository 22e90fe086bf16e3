import {createServer, Socket} from 'node:net';
import t, {Test} from 'tap';
import {listenAsEndpoint, startTestCall} from './testCall.js';

/** Size of an upload, in bytes: more than the socket buffers hold. */
const uploadBytes = 8_000_000;

/** Outcome of a call, and what was forwarded of its answer. */
interface Outcome {
  /** The failure that was reported; undefined if the call is done. */
  readonly failure: string | undefined;
  readonly status: number | undefined;
  readonly body: string;
}

/** Calls an endpoint of a plain service that answers as given. */
async function callEndpoint(
  t: Test,
  handleRequest: (socket: Socket) => void,
  body: Buffer,
): Promise<Outcome> {
  const sockets = new Set<Socket>();
  const server = createServer(socket => {
    sockets.add(socket);
    socket.on('error', () => {});
    socket.once('data', () => handleRequest(socket));
  });
  const endpoint = await listenAsEndpoint(server);
  t.teardown(() => {
    for (const socket of sockets) socket.destroy();
    server.close();
  });
  const request = {
    kind: 'plain' as const,
    path: '/samples',
    contentType: 'text/plain',
    body,
    isStreamed: false,
    model: '',
  };
  return new Promise(resolve =>
    startTestCall(t, endpoint, request, (input, call) => {
      const failure =
        input.kind === 'endpointFailed' ? input.failure : undefined;
      if (input.kind !== 'endpointDone' && failure === undefined) return;
      resolve({failure, status: call.status, body: call.body.join('')});
    }),
  );
}

// Guards against the part of an answer that its caller takes for all of it, as the
// endpoint resets the connection.
for (const [name, sizeBytes, isRead] of [
  ['a small request', 10, true],
  ['an upload that is read', uploadBytes, true],
  ['an upload that is not read', uploadBytes, false],
] as const) {
  for (const afterMs of [0, 50]) {
    t.test(`reset after ${afterMs} ms, ${name}`, async t => {
      const outcome = await callEndpoint(
        t,
        socket => {
          if (!isRead) socket.pause();
          socket.write('HTTP/1.1 200 OK\r\n\r\npart');
          setTimeout(() => socket.resetAndDestroy(), afterMs);
        },
        Buffer.alloc(sizeBytes, 'u'),
      );
      t.same(outcome, {failure: 'cut', status: undefined, body: ''});
    });
  }
}

t.test('an answer without a length that ends is complete', async t => {
  const outcome = await callEndpoint(
    t,
    socket => socket.end('HTTP/1.1 200 OK\r\n\r\nwhole'),
    Buffer.from('{}'),
  );
  t.same(outcome, {failure: undefined, status: 200, body: 'whole'});
});

// Guards against a status that is none and reaches a caller as an answer.
for (const status of ['000', '001', '099', '199', '600', '999']) {
  t.test(`the status ${status} is no answer`, async t => {
    const outcome = await callEndpoint(
      t,
      socket => {
        const length = 'Content-Length: 4';
        socket.end(`HTTP/1.1 ${status} Odd\r\n${length}\r\n\r\ndone`);
      },
      Buffer.from('{}'),
    );
    t.same(outcome, {failure: 'cut', status: undefined, body: ''});
  });
}
