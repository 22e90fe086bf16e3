import {AddressInfo, createServer, Socket} from 'node:net';
import {gzipSync} from 'node:zlib';
import t, {Test} from 'tap';
import {callHttp} from '../callHttp.js';

/** Most bytes that a call may read of an answer without end. */
const maxReadBytes = 32_000_000;
const block = 'a'.repeat(65_536);
const head = 'HTTP/1.1 200 OK\r\n';

/** Answers without end: what they start with, and what follows for ever. */
const endlessAnswers: ReadonlyArray<[string, string, string]> = [
  ['no status line', '', block],
  ['a header line', `${head}X-Filler: `, block],
  ['header lines', head, 'X-F: a\r\n'.repeat(8000)],
  ['interim heads', '', 'HTTP/1.1 102 Processing\r\n\r\n'.repeat(2000)],
  ['a body', `${head}\r\n`, block],
  [
    'small chunks',
    `${head}Transfer-Encoding: chunked\r\n\r\n`,
    `20\r\n${'a'.repeat(32)}\r\n`.repeat(2000),
  ],
];

/** Starts a server that writes bytes and returns its `host:port`. */
async function startServer(
  t: Test,
  answer: (socket: Socket) => void,
): Promise<string> {
  const server = createServer(socket => {
    socket.on('error', () => {});
    socket.once('data', () => answer(socket));
    t.teardown(() => socket.destroy());
  });
  t.teardown(() => server.close());
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
  return `127.0.0.1:${(server.address() as AddressInfo).port}`;
}

// Guards against a store or a peer whose answer never ends: its bytes are kept
// until the call ends, and take the memory of the VM.
for (const [name, start, more] of endlessAnswers) {
  t.test(`a call ends at an answer without end: ${name}`, async t => {
    let writtenBytes = 0;
    const address = await startServer(t, socket => {
      socket.write(start);
      const writeMore = () => {
        if (socket.destroyed) return;
        writtenBytes += more.length;
        if (socket.write(more)) setImmediate(writeMore);
        else socket.once('drain', writeMore);
      };
      writeMore();
    });
    const call = {address, method: 'GET', path: '/', timeoutMs: 500} as const;
    await t.rejects(callHttp(call));
    const isInterim = name === 'interim heads';
    t.ok(isInterim || writtenBytes < maxReadBytes, `${writtenBytes} bytes`);
  });
}

// Guards against a small answer that takes the memory once it is unpacked.
t.test('a call ends at a compressed answer that is too large', async t => {
  const body = gzipSync(`[${' '.repeat(100_000_000)}]`);
  const address = await startServer(t, socket => {
    socket.write(`${head}Content-Encoding: gzip\r\n`);
    socket.write(`Content-Length: ${body.length}\r\n\r\n`);
    socket.end(body);
  });
  const call = {address, method: 'GET', path: '/', timeoutMs: 500} as const;
  await t.rejects(callHttp({...call, acceptsGzip: true}), /unreadable/);
});
