import {
  counterLabels,
  createDispatchState,
  createStoreView,
  DispatchState,
  histogramLabels,
  isReady,
} from '@ryeworks/dispatch';
import {
  createBoundedLineStream,
  createLogger,
  createPrometheusMetrics,
  Logger,
  PrometheusMetrics,
} from '@ryeworks/logger';
import {
  Clock,
  DisposableStore,
  formatHostPort,
  getHash,
  systemClock,
} from '@ryeworks/utils';
import {asFunction, asValue, AwilixContainer, createContainer} from 'awilix';
import {CallerServer} from './callers/callerServer.js';
import {OpenRequests} from './callers/openRequest.js';
import {DispatchLoop, EffectHandlers} from './core/dispatchLoop.js';
import {
  DeploymentStore,
  AnnouncedVm,
  WireFormat,
} from './deploymentInterfaces.js';
import {EndpointClient} from './endpoints/endpointClient.js';
import {GatewaySettings} from './gatewaySettings.js';
import {fetchDesiredState, fetchStoreView} from './peers/fetchFromPeer.js';
import {PeerSocket} from './peers/peerSocket.js';
import {createReportHandlers} from './reports/createReportHandlers.js';
import {startStatusServers} from './reports/startStatusServers.js';
import {createStoreHandlers} from './store/createStoreHandlers.js';
import {StoreWatcher} from './store/storeWatcher.js';

/** Time from the signal to stop until idle connections are closed, in ms. */
const idleCloseDelayMs = 2500;
/** Time between two looks whether a stopping process has finished, in ms. */
const stopPollMs = 25;
/** Time left before the process would be killed, in ms. */
const stopMarginMs = 300;
/** Standard output. */
const logFd = 1;

/** The deployment that a gateway runs on. */
export interface Deployment {
  readonly wire: WireFormat;
  readonly store: DeploymentStore;
}

/** The parts of a gateway. */
interface Components {
  settings: GatewaySettings;
  clock: Clock;
  logger: Logger;
  metrics: PrometheusMetrics;
  wire: WireFormat;
  store: DeploymentStore;
  state: DispatchState;
  loop: DispatchLoop;
  openRequests: OpenRequests;
  endpointClient: EndpointClient;
  peerSocket: PeerSocket;
  callerServer: CallerServer;
  storeWatcher: StoreWatcher;
}

/** A running gateway. */
export interface Gateway {
  /** Brings new settings into force, as far as that needs no restart. */
  applySettings(settings: GatewaySettings): void;
  /** Reports settings that could not be read. */
  reportWarning(event: string, detail: string): void;
  /** Finishes the requests in progress, then ends all work. */
  stop(): Promise<void>;
}

/** Creates the state of the decision core. */
function createState(settings: GatewaySettings, clock: Clock): DispatchState {
  const startedMs = clock.readWallClockMs();
  const options = {
    vm: settings.vm,
    peerAddress: formatHostPort(settings.peerListen),
    availabilityZone: settings.availabilityZone,
    incarnation: startedMs,
    seed: getHash(`${settings.vm}/${startedMs}`),
    retryBounds: settings.retryBounds,
    limitBounds: settings.limitBounds,
    trialRatio: settings.trialRatio,
    trialAllowance: settings.trialAllowance,
  };
  return createDispatchState(options);
}

/** Creates the logger of a gateway. */
function createGatewayLogger(settings: GatewaySettings, clock: Clock): Logger {
  const stream = createBoundedLineStream({
    fd: logFd,
    linesPerSecond: settings.logLinesPerSecond,
    readNowMs: clock.readNowMs,
  });
  return createLogger({level: 'info', base: {vm: settings.vm}, stream});
}

/** Registers how each part is made; the one place that wires them. */
function createComponents(
  settings: GatewaySettings,
  {store, wire}: Deployment,
): AwilixContainer<Components> {
  const container = createContainer<Components>();
  container.register({
    settings: asValue(settings),
    clock: asValue(systemClock),
    wire: asValue(wire),
    store: asValue(store),
    openRequests: asValue(new Map()),
    logger: asFunction(({clock}: Components) =>
      createGatewayLogger(settings, clock),
    ).singleton(),
    metrics: asFunction(() =>
      createPrometheusMetrics(counterLabels, histogramLabels),
    ).singleton(),
    state: asFunction(({clock}: Components) =>
      createState(settings, clock),
    ).singleton(),
    loop: asFunction(
      ({clock, state}: Components) => new DispatchLoop(state, clock),
    ).singleton(),
    endpointClient: asFunction(
      ({clock, loop, openRequests}: Components) =>
        new EndpointClient({
          wire,
          openRequests,
          readNowMs: clock.readNowMs,
          submit: input => loop.submit(input),
        }),
    ).singleton(),
    peerSocket: asFunction(
      ({logger, loop}: Components) =>
        new PeerSocket({
          handleMessage: message =>
            loop.submit({kind: 'peerMessageReceived', message}),
          handleWarning: (event, detail) => logger.warn(event, {detail}),
        }),
    ).singleton(),
    callerServer: asFunction(
      ({clock, loop, openRequests}: Components) =>
        new CallerServer({clock, loop, wire, openRequests}),
    ).singleton(),
    storeFollower: asFunction(
      ({logger, loop}: Components) =>
        new StoreWatcher(store, createStoreHandlers(loop, logger)),
    ).singleton(),
  });
  return container;
}

/** Fetches a peer's desired state and brings it into force. */
function updateDesiredState(parts: Components, address: string): void {
  const {logger, loop} = parts;
  fetchDesiredState(address).then(
    desiredState => loop.submit({kind: 'desiredStateRead', desiredState}),
    (error: Error) =>
      logger.warn('desired_state_not_fetched', {
        address,
        detail: error.message,
      }),
  );
}

/** Reads the desired state in the store, again when it is too old. */
async function readDesiredState(
  {logger, loop, store}: Components,
  version: number,
): Promise<void> {
  try {
    for (const isStaleAllowed of [true, false]) {
      const desiredState = await store.readDesiredState(isStaleAllowed);
      if (desiredState === undefined || desiredState.version < version)
        continue;
      loop.submit({kind: 'desiredStateRead', desiredState});
      return;
    }
    logger.warn('desired_state_not_read', {version, detail: 'too old'});
  } catch (error) {
    const detail = (error as Error).message;
    logger.warn('desired_state_not_read', {version, detail});
  }
}

/** Fetches a peer's view of the store and brings it into the books. */
function updateStoreView({logger, loop}: Components, address: string): void {
  fetchStoreView(address).then(
    view => loop.submit({...view, kind: 'storeViewRead'}),
    (error: Error) =>
      logger.warn('store_view_not_fetched', {address, detail: error.message}),
  );
}

/** Creates a handler for each kind of effect. */
function createEffectHandlers(parts: Components): EffectHandlers {
  const {callerServer, endpointClient, logger, metrics} = parts;
  const {openRequests, peerSocket, store} = parts;
  return {
    ...createReportHandlers(logger, metrics),
    startCall: effect => endpointClient.startCall(effect),
    cancelCall: ({requestId}) => endpointClient.cancelCall(requestId),
    answerError: ({error, requestId, retryAfterMs}) =>
      openRequests.get(requestId)?.sendError(error, retryAfterMs),
    forwardFailure: ({requestId}) => {
      const open = openRequests.get(requestId);
      if (open?.heldFailure !== undefined) open.sendAnswer(open.heldFailure);
    },
    abortResponse: ({requestId}) => openRequests.get(requestId)?.abort(),
    sendPeer: ({address, message}) => peerSocket.send(address, message),
    applyCallerBounds: ({bounds}) => callerServer.applyBounds(bounds),
    fetchDesiredState: ({address}) => updateDesiredState(parts, address),
    readDesiredState: ({version}) => void readDesiredState(parts, version),
    fetchStoreView: ({address}) => updateStoreView(parts, address),
    setStoreWatch: ({isWatching}) => parts.storeWatcher.setWatching(isWatching),
    writeMoveResult: ({result}) => {
      store.writeMoveResult(result).catch((error: Error) =>
        logger.warn('move_result_not_written', {
          service: result.service,
          phase: result.phase,
          detail: error.message,
        }),
      );
    },
  };
}

/** Waits for a time. */
function sleep(delayMs: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, delayMs));
}

/**
 * Serves what comes until the balancer sends no more, then finishes what runs.
 * Connections are closed with their last answer; idle ones once it is quiet.
 */
async function finishRequests(parts: Components): Promise<void> {
  const {callerServer, clock, loop, openRequests, settings} = parts;
  const startedMs = clock.readNowMs();
  const lastMs = startedMs + settings.stopGraceMs - stopMarginMs;
  loop.submit({kind: 'stopRequested', endAtMs: lastMs});
  callerServer.startStopping();
  await sleep(Math.min(idleCloseDelayMs, settings.stopGraceMs / 2));
  while (clock.readNowMs() < lastMs) {
    callerServer.closeIdle();
    await sleep(stopPollMs);
    if (openRequests.size === 0) return;
  }
}

/** Starts a gateway on a deployment. */
export async function createGateway(
  settings: GatewaySettings,
  deployment: Deployment,
): Promise<Gateway> {
  const parts = createComponents(settings, deployment).cradle;
  const {callerServer, logger, loop, peerSocket, storeWatcher} = parts;
  const disposables = new DisposableStore();
  const {availabilityZone, peerListen, seedPeers, vm} = settings;

  await peerSocket.listen(peerListen);
  disposables.add(() => peerSocket.close());
  disposables.add(() => parts.endpointClient.close());
  loop.start(createEffectHandlers(parts));
  disposables.add(() => loop.stop());
  for (const address of seedPeers) {
    loop.submit({kind: 'seedListed', address});
  }
  const self: AnnouncedVm = {
    vm,
    address: formatHostPort(peerListen),
    availabilityZone,
  };
  storeWatcher.start(self);
  disposables.add(() => storeWatcher.stop());
  await callerServer.listen(settings.callerListen);
  disposables.add(() => callerServer.close());
  logger.info('started', {callerPort: settings.callerListen.port});
  const {metrics, state, wire} = parts;
  await startStatusServers(
    {
      settings,
      metrics,
      readyPath: wire.readyPath,
      isReady: () => isReady(state) && state.stop === undefined,
      getDesiredState: () => state.desiredState.current,
      getStoreView: () => createStoreView(state),
    },
    disposables,
  );
  return {
    applySettings: bounds => loop.submit({kind: 'boundsChanged', bounds}),
    reportWarning: (event, detail) => logger.warn(event, {detail}),
    stop: async () => {
      await finishRequests(parts);
      logger.info('stopped', {open: parts.openRequests.size});
      await disposables.dispose();
    },
  };
}
