import {
  createSchedulerState,
  defaultSchedulerOptions,
} from '@ryeworks/scheduler';
import {systemClock} from '@ryeworks/utils';
import {once} from 'node:events';
import {AddressInfo, connect, createServer, Socket} from 'node:net';
import t from 'tap';
import {EffectHandlers, SchedulerLoop} from '../core/schedulerLoop.js';

/** Time for which the process stands still, in ms. */
const pauseMs = 400;
/** Time until the timer is due, shorter than the pause, in ms. */
const timerDelayMs = 100;

/** Blocks the whole process. */
function pauseProcess(): void {
  Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, pauseMs);
}

// Guards against endpoints and peers that are taken for silent although their
// data has arrived.
t.test(
  'data that arrived during a pause is read before timers run',
  async t => {
    const server = createServer();
    server.listen(0, '127.0.0.1');
    await once(server, 'listening');
    const {port} = server.address() as AddressInfo;
    const sender = connect(port, '127.0.0.1');
    const [receiver] = (await once(server, 'connection')) as [Socket];
    const events: string[] = [];
    receiver.on('data', () => events.push('data'));

    const options = {
      ...defaultSchedulerOptions,
      vm: 'vm-a',
      availabilityZone: 'a',
      availabilityZones: ['a'],
      peerAddress: 'vm-a:1',
      initialIncarnation: 1,
      seedPeers: ['vm-b:1'],
      seed: 1,
      services: [],
    };
    const state = createSchedulerState(options, systemClock.readNowMs());
    const loop = new SchedulerLoop(state, systemClock);
    const handlers = {
      sendPeer: () => events.push('timer'),
      setWatching: () => {},
      writeStatus: () => {},
      count: () => {},
      log: () => {},
    };
    loop.start(handlers as unknown as EffectHandlers);
    t.teardown(() => {
      loop.stop();
      sender.destroy();
      server.close();
    });
    events.length = 0;
    const dueMs = systemClock.readNowMs() + timerDelayMs;
    state.timers.set('probe', '', dueMs);
    loop.submit({kind: 'callerGone', requestId: 'none'});
    await new Promise<void>(resolve =>
      setImmediate(() => {
        sender.write('data');
        pauseProcess();
        resolve();
      }),
    );
    while (events.length < 2) await new Promise(resolve => setTimeout(resolve));
    t.strictSame(events, ['data', 'timer']);
  },
);
