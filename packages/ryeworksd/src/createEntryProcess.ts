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
import {OpenReplies} from './callers/openReplies.js';
import {EndpointClient} from './endpoints/endpointClient.js';
import {LoadPoller} from './endpoints/loadPoller.js';
import {createPeerServer, PeerServer} from './peers/createPeerServer.js';
import {PeerClient} from './peers/peerClient.js';
import {PlatformWatcher} from './platform/platformWatcher.js';

/** Interval between checks whether a stopping VM has drained, in ms. */
const drainPollMs = 20;
/**
 * Minimum time between a stop request and the closing of the listeners, in ms.
 * It gives the peers time to learn of the stop.
 */
const minDrainMs = 300;

/** Components of an entry process, by their name in the container. */
interface Components {
  settings: Settings;
  clock: Clock;
  logger: Logger;
  metrics: Metrics;
  platform: PlatformPort;
  schedulerOptions: SchedulerOptions;
  loop: SchedulerLoop;
  answers: AnswerRegistry;
  openRequests: OpenRequests;
  openReplies: OpenReplies;
  endpointClient: EndpointClient;
  peerClient: PeerClient;
  platformWatcher: PlatformWatcher;
  loadPoller: LoadPoller;
  peerServer: PeerServer;
  callerServer: FastifyInstance;
}

/** A running entry process, which serves callers on one VM. */
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

/**
 * Creates the dependency injection container, the only place where the
 * components are wired together.
 */
function createComponents(settings: Settings): AwilixContainer<Components> {
  const container = createContainer<Components>();
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
    schedulerOptions: asFunction(({clock}: Components) =>
      createSchedulerOptions(settings, clock),
    ).singleton(),
    loop: asFunction(({schedulerOptions, clock}: Components) => {
      const nowMs = clock.readNowMs();
      const wallClockOffsetMs = clock.readWallClockMs() - nowMs;
      const state = createSchedulerState(
        schedulerOptions,
        nowMs,
        wallClockOffsetMs,
      );
      return new SchedulerLoop(state, clock);
    }).singleton(),
    answers: asFunction(({schedulerOptions}: Components) => {
      const cacheDurationMs = schedulerOptions.claimWindowMs;
      return new AnswerRegistry(settings.answerCacheBytes, cacheDurationMs);
    }).singleton(),
    openRequests: asValue(new Map()),
    openReplies: asValue(new OpenReplies()),
    endpointClient: asFunction(
      ({loop, clock, openRequests}: Components) =>
        new EndpointClient(loop, clock, openRequests),
    ).singleton(),
    peerClient: asFunction(({logger}: Components) => {
      const {vm, peerKey} = settings;
      return new PeerClient({vm, peerKey, logger});
    }).singleton(),
    platformWatcher: asFunction(
      ({platform, loop, logger}: Components) =>
        new PlatformWatcher(platform, loop, logger),
    ).singleton(),
    loadPoller: asFunction(
      ({loop}: Components) => new LoadPoller(loop),
    ).singleton(),
    peerServer: asFunction(({loop, answers}: Components) => {
      const {peerKey} = settings;
      return createPeerServer({peerKey, loop, answers});
    }).singleton(),
    callerServer: asFunction(
      ({
        clock,
        loop,
        metrics,
        answers,
        openRequests,
        openReplies,
        peerServer,
      }: Components) =>
        createCallerServer({
          settings,
          clock,
          loop,
          metrics,
          answers,
          openRequests,
          openReplies,
          peerServer,
        }),
    ).singleton(),
  });
  return container;
}

/** Starts to listen for connections from peers. */
function listenForPeers(components: Components): Promise<void> {
  const {host, port} = components.settings.peerListen;
  const {server} = components.peerServer;
  return new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(port, host, () => resolve());
  });
}

/**
 * Waits until a stopping VM has completed its requests and answers and sent all
 * replies, but not longer than the stop timeout. An answer that has ended may not
 * have been sent yet, as its caller reads slowly; to close the server cuts it.
 */
async function waitUntilDrained(components: Components): Promise<void> {
  const {answers, clock, loop, openReplies, settings} = components;
  const startedMs = clock.readNowMs();
  for (;;) {
    const elapsedMs = clock.readNowMs() - startedMs;
    const openCount = answers.countOpen() + openReplies.count();
    const isDone = isDrained(loop.state) && openCount === 0;
    if (isDone && elapsedMs >= minDrainMs) return;
    if (elapsedMs >= settings.stopTimeoutMs) return;
    await new Promise(resolve => setTimeout(resolve, drainPollMs));
  }
}

/** Creates and starts an entry process. */
export async function createEntryProcess(
  settings: Settings,
): Promise<EntryProcess> {
  const components = createComponents(settings).cradle;
  const disposables = new DisposableStore();
  const {callerServer, loop, logger, platformWatcher} = components;
  disposables.add(() => components.metrics.close());
  disposables.add(() => components.platform.close());
  disposables.add(() => components.peerClient.close());
  disposables.add(() => components.endpointClient.close());
  disposables.add(() => components.answers.dispose());
  disposables.add(() => loop.stop());
  disposables.add(() => components.loadPoller.stop());
  disposables.add(() => platformWatcher.stop());

  await listenForPeers(components);
  disposables.add(() => components.peerServer.close());
  const {vm} = settings;
  loop.start(createEffectHandlers({...components, vm}));
  await platformWatcher.start(settings.availabilityZone);
  if (loop.state.options.routing === 'leastLoadedOfTwo') {
    components.loadPoller.start();
  }
  await callerServer.listen(settings.callerListen);
  disposables.add(() => callerServer.close());
  logger.info('started', {
    callerPort: settings.callerListen.port,
    peerPort: settings.peerListen.port,
  });
  return {
    stop: async () => {
      loop.submit({kind: 'stopRequested'});
      components.openReplies.startStopping();
      await waitUntilDrained(components);
      await disposables.dispose();
      logger.info('stopped');
    },
  };
}
