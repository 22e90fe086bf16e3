import {startIoTimer, systemClock} from '@ryeworks/utils';
import {once} from 'node:events';
import {AddressInfo, connect, createServer, Socket} from 'node:net';
import t, {Test} from 'tap';

/** Delay of the timer under test, in ms. */
const delayMs = 100;
/** How long a synchronous step takes, in ms. */
const stepMs = 200;

/** Creates two connected sockets. */
async function createSocketPair(t: Test): Promise<[Socket, Socket]> {
  const server = createServer();
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  const accepted = once(server, 'connection');
  const near = connect((server.address() as AddressInfo).port, '127.0.0.1');
  const [far] = (await accepted) as [Socket];
  t.teardown(() => {
    near.destroy();
    far.destroy();
    server.close();
  });
  return [near, far];
}

/** Blocks the process, and then sends data. */
function blockAndSend(socket: Socket): void {
  const untilMs = systemClock.readNowMs() + stepMs;
  while (systemClock.readNowMs() < untilMs);
  socket.write('progress');
}

// Guards against data that arrives during a long step, such as the application of
// a desired state, being read after the callback of a timer that expired just
// before the step.
t.test(
  'a timer that expires before a long step waits for its data',
  async t => {
    const [stepSender, stepReader] = await createSocketPair(t);
    const [sender, reader] = await createSocketPair(t);
    const order: string[] = [];
    reader.on('data', () => order.push('data'));
    stepReader.on('data', () => blockAndSend(sender));
    await new Promise<void>(resolve => {
      // Expires together with the timer under test; the data is read next.
      setTimeout(() => stepSender.write('step'), delayMs);
      startIoTimer(() => {
        order.push('timer');
        resolve();
      }, delayMs);
    });
    t.same(order, ['data', 'timer']);
  },
);
