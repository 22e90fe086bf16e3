import {systemClock} from '@ryeworks/utils';
import {once} from 'node:events';
import {AddressInfo, createServer} from 'node:net';
import t from 'tap';
import {connectEndpoint} from '../endpoints/connectEndpoint.js';

/** Longer than the time that a connection may take to open, in ms. */
const pauseMs = 400;

/** Blocks this process for a time. */
function blockProcess(durationMs: number): void {
  const untilMs = systemClock.readNowMs() + durationMs;
  while (systemClock.readNowMs() < untilMs);
}

// Guards against a connection that counts as not opened because the process was
// paused while it opened.
t.test('a connection that opened during a pause is used', async t => {
  const server = createServer().listen(0, '127.0.0.1');
  await once(server, 'listening');
  const {port} = server.address() as AddressInfo;
  const socket = connectEndpoint('127.0.0.1', port);
  t.teardown(() => {
    socket.destroy();
    server.close();
  });
  blockProcess(pauseMs);
  await t.resolves(once(socket, 'connect'));
});
