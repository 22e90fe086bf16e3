import {createServer, ServerResponse} from 'node:http';
import {AddressInfo} from 'node:net';
import t, {Test} from 'tap';
import {createHttpPlatform} from '../createHttpPlatform.js';

/** Number of parts in which the list is sent, and the pause between them. */
const parts = 20;
const partPauseMs = 150;

/** Starts a server that answers as given; returns its base URL. */
async function startServer(
  t: Test,
  answer: (response: ServerResponse) => void,
): Promise<string> {
  const server = createServer((_request, response) => answer(response));
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
  t.teardown(() => {
    server.closeAllConnections();
    server.close();
  });
  return `http://127.0.0.1:${(server.address() as AddressInfo).port}`;
}

/** Sends JSON with long white space inside, in equal parts, like a slow link. */
async function sendSlowly(response: ServerResponse): Promise<void> {
  response.write('{"version":7,"items":[');
  for (let part = 0; part < parts && !response.destroyed; part++) {
    response.write(' '.repeat(1000));
    await new Promise(resolve => setTimeout(resolve, partPauseMs));
  }
  response.end(']}');
}

// Guards against a large list that is abandoned and read again from the first
// byte as long as it takes longer than the time limit of a call.
t.test('a large list arrives over a slow link', async t => {
  const url = await startServer(t, response => void sendSlowly(response));
  const platform = createHttpPlatform({url, token: 'operator'});
  t.teardown(() => platform.close());
  const list = await platform.listObjects('config');
  t.match(list, {version: 7, items: []});
});

t.test('a platform that does not answer is given up', async t => {
  const url = await startServer(t, () => {});
  const platform = createHttpPlatform({url, token: 'operator'});
  await t.rejects(platform.listObjects('config'), {
    name: 'PlatformAnswerLostError',
  });
});

t.test('an answer that stops in the middle is given up', async t => {
  const url = await startServer(t, response => {
    response.write('{"version":7,');
  });
  const platform = createHttpPlatform({url, token: 'operator'});
  await t.rejects(platform.listObjects('config'), {
    name: 'PlatformAnswerLostError',
  });
});
