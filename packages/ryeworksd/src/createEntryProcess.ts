import {Settings} from '@ryeworks/config';
import {createLogger, createMetrics, Logger, Metrics} from '@ryeworks/logger';
import {createHttpPlatform, PlatformPort} from '@ryeworks/platform';
import {
  createSchedulerState,
  defaultSchedulerOptions,
  isDrained,
  SchedulerOptions,
} from '@ryeworks/scheduler';
import {Clock, DisposableStore, getHash, systemClock} from '@ryeworks/utils';
import {asFunction, asValue, AwilixContainer, createContainer} from 'awilix';
import {FastifyInstance} from 'fastify';
import {AnswerRegistry} from './answers/answerRegistry.js';
import {OpenRequests} from './answers/openRequests.js';
import {createCallerServer} from './callers/createCallerServer.js';
import {SchedulerLoop} from './core/schedulerLoop.js';
import {createEffectHandlers} from './createEffectHandlers.js';
import {EndpointClient} from './endpoints/endpointClient.js';
import {LoadPoller} from './endpoints/loadPoller.js';
import {createPeerServer, PeerServer} from './peers/createPeerServer.js';
import {PeerClient} from './peers/peerClient.js';
import {PlatformWatcher} from './platform/platformWatcher.js';

/** Interval between checks whether a stopping VM has drained, in ms. */
const drainPollMs = 20;
/**
 * Minimum time between a stop request and the closing of the listeners, in ms.
 * Within this time the peers learn of the stop.
 */
const minDrainMs = 300;

/** Components of an entry process, by their name in the container. */
interface Parts {
  settings: Settings;
  clock: Clock;
  logger: Logger;
  metrics: Metrics;
  platform: PlatformPort;
  schedulerOptions: SchedulerOptions;
  loop: SchedulerLoop;
  answers: AnswerRegistry;
  openRequests: OpenRequests;
  endpointClient: EndpointClient;
  peerClient: PeerClient;
  platformWatcher: PlatformWatcher;
  loadPoller: LoadPoller;
  peerServer: PeerServer;
  callerServer: FastifyInstance;
}

/** A running entry process. */
export interface EntryProcess {
  /** Stops gracefully: waits for requests in progress, then closes everything. */
  stop(): Promise<void>;
}

/** Creates the scheduler options from the settings. */
function createSchedulerOptions(
  settings: Settings,
  clock: Clock,
): SchedulerOptions {
  const startedMs = clock.readWallClockMs();
  return {
    ...defaultSchedulerOptions,
    ...settings.scheduler,
    vm: settings.vm,
    availabilityZone: settings.availabilityZone,
    availabilityZones: settings.availabilityZones,
    peerAddress: `${settings.peerListen.host}:${settings.peerListen.port}`,
    seedPeers: settings.seedPeers,
    initialIncarnation: Math.floor(startedMs / 1000),
    services: settings.services,
    seed: getHash(`${settings.vm}/${startedMs}`),
  };
}

/** Creates the dependency injection container that wires all components. */
function createParts(settings: Settings): AwilixContainer<Parts> {
  const container = createContainer<Parts>();
  container.register({
    settings: asValue(settings),
    clock: asValue(systemClock),
    logger: asFunction(() =>
      createLogger({
        level: settings.logLevel,
        base: {vm: settings.vm, availabilityZone: settings.availabilityZone},
      }),
    ).singleton(),
    metrics: asFunction(() =>
      createMetrics({...settings.statsd, tags: {vm: settings.vm}}),
    ).singleton(),
    platform: asFunction(() =>
      createHttpPlatform(settings.platform),
    ).singleton(),
    schedulerOptions: asFunction(({clock}: Parts) =>
      createSchedulerOptions(settings, clock),
    ).singleton(),
    loop: asFunction(({schedulerOptions, clock}: Parts) => {
      const nowMs = clock.readNowMs();
      const offsetMs = clock.readWallClockMs() - nowMs;
      const state = createSchedulerState(schedulerOptions, nowMs, offsetMs);
      return new SchedulerLoop(state, clock);
    }).singleton(),
    answers: asFunction(({schedulerOptions}: Parts) => {
      const cacheDurationMs = schedulerOptions.claimWindowMs;
      return new AnswerRegistry(settings.answerCacheBytes, cacheDurationMs);
    }).singleton(),
    openRequests: asValue(new Map()),
    endpointClient: asFunction(
      ({loop, clock, openRequests}: Parts) =>
        new EndpointClient(loop, clock, openRequests),
    ).singleton(),
    peerClient: asFunction(() => {
      const {vm, peerKey} = settings;
      return new PeerClient({vm, peerKey});
    }).singleton(),
    platformWatcher: asFunction(
      ({platform, loop, logger}: Parts) =>
        new PlatformWatcher(platform, loop, logger),
    ).singleton(),
    loadPoller: asFunction(({loop}: Parts) => new LoadPoller(loop)).singleton(),
    peerServer: asFunction(({loop, answers}: Parts) => {
      const {peerKey} = settings;
      return createPeerServer({peerKey, loop, answers});
    }).singleton(),
    callerServer: asFunction(
      ({clock, loop, metrics, answers, openRequests, peerServer}: Parts) =>
        createCallerServer({
          settings,
          clock,
          loop,
          metrics,
          answers,
          openRequests,
          peerServer,
        }),
    ).singleton(),
  });
  return container;
}

/** Starts to listen for connections from peers. */
function listenForPeers(parts: Parts): Promise<void> {
  const {host, port} = parts.settings.peerListen;
  const {server} = parts.peerServer;
  return new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(port, host, () => resolve());
  });
}

/**
 * Waits until a stopping VM has completed its requests and answers, but not
 * longer than the stop timeout.
 */
async function waitUntilDrained(parts: Parts): Promise<void> {
  const {answers, clock, loop, settings} = parts;
  const startedMs = clock.readNowMs();
  for (;;) {
    const elapsedMs = clock.readNowMs() - startedMs;
    const isDone = isDrained(loop.state) && answers.countOpen() === 0;
    if (isDone && elapsedMs >= minDrainMs) return;
    if (elapsedMs >= settings.stopTimeoutMs) return;
    await new Promise(resolve => setTimeout(resolve, drainPollMs));
  }
}

/** Creates and starts an entry process. */
export async function createEntryProcess(
  settings: Settings,
): Promise<EntryProcess> {
  const parts = createParts(settings).cradle;
  const store = new DisposableStore();
  const {callerServer, loop, logger, platformWatcher} = parts;
  store.add(() => parts.metrics.close());
  store.add(() => parts.platform.close());
  store.add(() => parts.peerClient.close());
  store.add(() => parts.endpointClient.close());
  store.add(() => parts.answers.dispose());
  store.add(() => loop.stop());
  store.add(() => parts.loadPoller.stop());
  store.add(() => platformWatcher.stop());

  await listenForPeers(parts);
  store.add(() => parts.peerServer.close());
  const {vm} = settings;
  loop.start(createEffectHandlers({...parts, vm}));
  await platformWatcher.start(settings.availabilityZone);
  if (loop.state.options.routing === 'leastLoadedOfTwo') {
    parts.loadPoller.start();
  }
  await callerServer.listen(settings.callerListen);
  store.add(() => callerServer.close());
  logger.info('started', {
    callerPort: settings.callerListen.port,
    peerPort: settings.peerListen.port,
  });
  return {
    stop: async () => {
      loop.submit({kind: 'stopRequested'});
      await waitUntilDrained(parts);
      await store.dispose();
      logger.info('stopped');
    },
  };
}
