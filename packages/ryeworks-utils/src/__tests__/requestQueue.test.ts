import {createServer, ServerResponse} from 'node:http';
import {AddressInfo, connect, Socket} from 'node:net';
import {setImmediate} from 'node:timers/promises';
import t, {Test} from 'tap';
import {RequestQueue} from '../requestQueue.js';

/** Most that a queue reads: what may be sent ahead, and two reads of Node. */
const maxReadBytes = 16_384 + 2 * 65_536;
/** Time in which everything that is read has been read, in ms. */
const settleMs = 150;

function sleep(delayMs: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, delayMs));
}

/** Starts a server whose requests are begun by a queue, and connects to it. */
async function startServer(t: Test) {
  const begun: Array<{url: string; response: ServerResponse}> = [];
  let queue!: RequestQueue;
  let accepted!: Socket;
  const server = createServer((request, response) =>
    queue.add({
      request,
      response,
      begin: () => {
        request.resume();
        begun.push({url: request.url!, response});
      },
      handleEnd: () => {},
    }),
  );
  server.on('connection', socket => {
    accepted = socket;
    queue = new RequestQueue(socket);
  });
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
  const {port} = server.address() as AddressInfo;
  const caller = connect({host: '127.0.0.1', port});
  let received = '';
  caller.on('data', chunk => (received += chunk));
  caller.on('error', () => {});
  t.teardown(() => {
    caller.destroy();
    accepted.destroy();
    server.close();
  });
  const answerAll = async (count: number) => {
    for (let index = 0; index < count; index++) {
      while (begun.length <= index) await setImmediate();
      begun[index].response.end();
    }
  };
  return {
    answerAll,
    begun,
    caller,
    getQueue: () => queue,
    getSocket: () => accepted,
    countAnswers: () => received.split('200 OK').length - 1,
  };
}

// Guards against memory that a caller fills by sending ahead without end, and
// against requests that stay unread once their turn has come.
for (const [name, count, bodyBytes] of [
  ['small requests', 4000, 0],
  ['requests with bodies', 200, 10_000],
  ['requests with long bodies', 8, 300_000],
] as ReadonlyArray<[string, number, number]>) {
  t.test(`${name} sent ahead are left in the socket`, async t => {
    const site = await startServer(t);
    const body = 'a'.repeat(bodyBytes);
    const send = (index: number) =>
      site.caller.write(
        `POST /${index} HTTP/1.1\r\nHost: a\r\nContent-Length: ${bodyBytes}\r\n\r\n${body}`,
      );
    send(0);
    for (let index = 1; index < count; index++) send(index);
    await sleep(settleMs);
    const unbegunBytes = site.getSocket().bytesRead - bodyBytes;
    t.ok(unbegunBytes <= maxReadBytes, `${unbegunBytes} bytes are read`);
    t.equal(site.begun.length, 1);
    await site.answerAll(count);
    await sleep(settleMs);
    t.equal(site.countAnswers(), count);
    t.same(
      site.begun.map(({url}) => url),
      Array.from({length: count}, (_, index) => `/${index}`),
    );
  });
}

// Guards against a caller whose leaving is not noticed, because its connection is
// not read: it has sent little or nothing ahead.
for (const count of [1, 3]) {
  t.test(`a caller that leaves with ${count} requests is noticed`, async t => {
    const site = await startServer(t);
    site.caller.write('GET / HTTP/1.1\r\nHost: a\r\n\r\n'.repeat(count));
    await sleep(settleMs);
    site.caller.end();
    await sleep(settleMs);
    t.ok(site.getSocket().readableEnded);
  });
}

// Guards against requests that begin behind the last answer of a connection, while
// its unread bytes are discarded.
t.test('what comes after the last answer of a stop never begins', async t => {
  const site = await startServer(t);
  const text = 'GET / HTTP/1.1\r\nHost: a\r\n\r\n';
  site.caller.write(text.repeat(2));
  await sleep(settleMs);
  site.getQueue().startStopping();
  site.caller.write(text.repeat(2));
  await site.answerAll(1);
  while (site.begun.length < 2) await sleep(1);
  t.equal(site.getQueue().hasNext, false);
  site.begun[1].response.setHeader('connection', 'close').end();
  await sleep(settleMs);
  t.equal(site.begun.length, 2);
  t.equal(site.countAnswers(), 2);
  t.ok(site.getSocket().destroyed, 'the connection is closed');
});
