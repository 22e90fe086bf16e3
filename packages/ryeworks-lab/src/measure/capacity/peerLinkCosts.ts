import {
  createSchedulerState,
  defaultSchedulerOptions,
  PeerMessage,
} from '@ryeworks/scheduler';
import {
  AnswerRegistry,
  createPeerServer,
  PeerClient,
  SchedulerLoop,
  systemClock,
} from 'ryeworksd';
import {loopbackHost, pickPorts} from '../../deployment/pickPorts.js';
import {createLineFit, LineFit} from './createLineFit.js';

/** How long each message rate is measured, in ms. */
const windowMs = 3000;
/** Interval at which batches of messages are sent, in ms. */
const sendIntervalMs = 20;

/** A message of typical size. */
const message: PeerMessage = {
  kind: 'grantEnd',
  askId: 'request-000000000/1',
  cellKey: 'unknown@v1@lowland-1#0',
  outcome: 'done',
  firstTokenMs: 40,
  interTokenMs: 20,
  outputTokens: 30,
};

/**
 * Measures the processor time per second at both ends of a local peer
 * connection, in ms, against the messages per second. The slope is the cost of
 * one message.
 */
export async function measurePeerLinkCost(): Promise<LineFit> {
  const [port] = pickPorts(1);
  const peerKey = 'peer-key-of-the-lab';
  const state = createSchedulerState(
    {
      ...defaultSchedulerOptions,
      vm: 'vm-b',
      availabilityZone: 'lowland-1',
      availabilityZones: ['lowland-1'],
      peerAddress: `${loopbackHost}:${port}`,
      initialIncarnation: 1,
      seedPeers: [],
      seed: 1,
      services: [],
    },
    0,
  );
  const loop = new SchedulerLoop(state, systemClock);
  const answers = new AnswerRegistry(0, 0);
  const peerServer = createPeerServer({peerKey, loop, answers});
  await new Promise<void>(resolve =>
    peerServer.server.listen(port, loopbackHost, () => resolve()),
  );
  const client = new PeerClient({vm: 'vm-a', peerKey});
  const points: [number, number][] = [];
  for (const messagesPerSecond of [0, 500, 1000, 2000]) {
    const before = process.cpuUsage();
    const timer = setInterval(() => {
      for (
        let index = 0;
        index < (messagesPerSecond * sendIntervalMs) / 1000;
        index++
      ) {
        const address = `${loopbackHost}:${port}`;
        client.send({kind: 'sendPeer', to: 'vm-b', address, message});
      }
    }, sendIntervalMs);
    await new Promise(resolve => setTimeout(resolve, windowMs));
    clearInterval(timer);
    const used = process.cpuUsage(before);
    const cpuMs = (used.user + used.system) / 1000;
    points.push([messagesPerSecond, cpuMs / (windowMs / 1000)]);
  }
  loop.stop();
  client.close();
  await peerServer.close();
  return createLineFit(points);
}
