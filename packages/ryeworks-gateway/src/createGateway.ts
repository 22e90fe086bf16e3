import {
  counterLabels,
  countColdEndpoints,
  createDispatchState,
  createStoreView,
  DispatchState,
  getBounds,
  histogramLabels,
  isReady,
  WriteCrashReports,
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
  getOrCreate,
} from '@ryeworks/utils';
import {asFunction, asValue, AwilixContainer, createContainer} from 'awilix';
import {CallerServer} from './callers/callerServer.js';
import {createAnswerHandlers} from './callers/createAnswerHandlers.js';
import {LimitReason} from './callers/listenerGuard.js';
import {OpenRequests} from './callers/openRequest.js';
import {createFaultHandler, reportFault} from './core/createFaultHandler.js';
import {createFetchHandlers} from './core/createFetchHandlers.js';
import {DispatchLoop, EffectHandlers} from './core/dispatchLoop.js';
import {
  AnnouncedVm,
  DeploymentStore,
  WireFormat,
} from './deploymentInterfaces.js';
import {EndpointClient} from './endpoints/endpointClient.js';
import {probeEndpoint} from './endpoints/probeEndpoint.js';
import {GatewaySettings} from './gatewaySettings.js';
import {getBudgetBytes} from './memory/getBudgetBytes.js';
import {MemoryBudget} from './memory/memoryBudget.js';
import {PeerSocket} from './peers/peerSocket.js';
import {createReportHandlers} from './reports/createReportHandlers.js';
import {startStatusServers} from './reports/startStatusServers.js';
import {
  listChangedSettings,
  settingEffect,
} from './settings/settingsEffects.js';
import {GracefulStop} from './stop/gracefulStop.js';
import {createStoreHandlers} from './store/createStoreHandlers.js';
import {StoreWatcher} from './store/storeWatcher.js';

/** File descriptor of standard output. */
const logFd = 1;

/** The interfaces of the deployment that a gateway runs on. */
export interface Deployment {
  readonly wire: WireFormat;
  readonly store: DeploymentStore;
}

/** The components of a gateway. */
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
  budget: MemoryBudget;
  endpointClient: EndpointClient;
  peerSocket: PeerSocket;
  callerServer: CallerServer;
  storeWatcher: StoreWatcher;
  gracefulStop: GracefulStop;
}

/** A running gateway, which forwards callers' requests to endpoints. */
export interface Gateway {
  /** Applies those of the new settings that need no restart, and logs changes. */
  applySettings(settings: GatewaySettings): void;
  /** Logs a warning, for example about settings that cannot be read. */
  reportWarning(event: string, detail: string): void;
  /** Reports an error that nothing has caught. */
  reportUncaughtError(error: unknown): void;
  /**
   * Finishes the requests in progress, then stops the gateway. Later calls wait
   * for the same stop.
   *
   * @param signalledAtMs when the stop was requested, in ms; now by default
   */
  stop(signalledAtMs?: number): Promise<void>;
}

/** Creates the initial state of the dispatch core. */
function createState(settings: GatewaySettings, clock: Clock): DispatchState {
  const startedMs = clock.readWallClockMs();
  const options = {
    vm: settings.vm,
    peerAddress: formatHostPort(settings.peerListen),
    availabilityZone: settings.availabilityZone,
    incarnation: startedMs,
    seed: getHash(`${settings.vm}/${startedMs}`),
    relayCapacity: settings.relayCapacity,
    evacuationMs: settings.evacuationMs,
    regionByZone: settings.regionByZone,
    ...getBounds(settings),
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

/** Creates the budget of a gateway, which logs when it becomes short or free. */
function createBudget(
  {memoryBytes}: GatewaySettings,
  logger: Logger,
): MemoryBudget {
  const limitBytes = getBudgetBytes(memoryBytes);
  const budget: MemoryBudget = new MemoryBudget({
    limitBytes,
    handleChange: isShort => {
      const event = isShort ? 'memory_short' : 'memory_free';
      logger.warn(event, {heldBytes: budget.heldBytes, limitBytes});
    },
  });
  return budget;
}

/** Minimum time between two log lines about the same limit of a listener, in ms. */
const limitLogPeriodMs = 1000;

/**
 * Creates the function that reports connections beyond a limit. A line tells of all
 * since the line before: callers that connect in a loop must not fill the log.
 */
function createLimitReporter(
  logger: Logger,
  metrics: PrometheusMetrics,
  clock: Clock,
) {
  const unreported = new Map<
    string,
    {connections: number; loggedAtMs: number}
  >();
  const createEntry = () => ({
    connections: 0,
    loggedAtMs: Number.NEGATIVE_INFINITY,
  });
  return (reason: LimitReason, listener: string) => {
    metrics.count('connections_limited', {listener, reason});
    const entry = getOrCreate(unreported, `${listener} ${reason}`, createEntry);
    entry.connections += 1;
    const nowMs = clock.readNowMs();
    if (nowMs - entry.loggedAtMs < limitLogPeriodMs) return;
    const {connections} = entry;
    logger.warn('connection_limited', {listener, reason, connections});
    entry.connections = 0;
    entry.loggedAtMs = nowMs;
  };
}

/**
 * Creates the dependency injection container, the only place where the
 * components are wired together.
 */
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
    metrics: asFunction(({budget, logger, state}: Components) =>
      createPrometheusMetrics({
        counterLabels,
        histogramLabels,
        gaugeReaders: {
          held_bytes: () => budget.heldBytes,
          held_bytes_limit: () => budget.limitBytes,
          evacuated_zones: () => state.evacuations.size,
          cold_endpoints: () => countColdEndpoints(state),
        },
        reportError: ({message}) =>
          logger.error('metrics_failed', {detail: message}),
      }),
    ).singleton(),
    budget: asFunction(({logger}: Components) =>
      createBudget(settings, logger),
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
      ({budget, clock, logger, loop, metrics, openRequests}: Components) =>
        new CallerServer({
          budget,
          maxDescriptors: settings.maxDescriptors,
          reportLimit: createLimitReporter(logger, metrics, clock),
          clock,
          loop,
          wire,
          openRequests,
          reportUnanswered: (cause, request) => {
            metrics.count('requests_unanswered', {cause});
            logger.warn('request_unanswered', {cause, request});
          },
          reportUnreadable: (reason, detail) => {
            metrics.count('requests_refused', {reason, tier: 'none'});
            logger.warn('request_unreadable', {reason, detail});
          },
          reportFault: error => reportFault({logger, metrics}, error, 'caller'),
        }),
    ).singleton(),
    storeWatcher: asFunction(
      ({clock, logger, loop}: Components) =>
        new StoreWatcher(
          store,
          createStoreHandlers(loop, logger, clock),
          settings.evacuationMs !== undefined,
        ),
    ).singleton(),
    gracefulStop: asFunction(
      (components: Components) =>
        new GracefulStop(components, settings.stopGraceMs),
    ).singleton(),
  });
  return container;
}

/** Writes crash reports to the store and submits the result to the core. */
async function writeCrashReports(
  {logger, loop, store}: Components,
  {reports}: WriteCrashReports,
): Promise<void> {
  let isWritten = false;
  try {
    await store.writeCrashReports(reports);
    isWritten = true;
  } catch (error) {
    const detail = (error as Error).message;
    logger.warn('crash_reports_not_written', {detail});
  }
  loop.submit({kind: 'crashReportsWritten', isWritten});
}

/** Creates a handler for each kind of effect. */
function createEffectHandlers(components: Components): EffectHandlers {
  const {callerServer, endpointClient, logger, metrics} = components;
  const {peerSocket, store} = components;
  return {
    ...createReportHandlers(logger, metrics),
    ...createFetchHandlers(components),
    startCall: effect => endpointClient.startCall(effect),
    cancelCall: effect => endpointClient.cancelCall(effect),
    probeEndpoint: effect => void probeEndpoint(components.loop, effect),
    ...createAnswerHandlers(components),
    sendPeer: ({address, message}) => peerSocket.send(address, message),
    applyCallerBounds: ({bounds}) => callerServer.applyBounds(bounds),
    setStoreWatch: ({isWatching}) =>
      components.storeWatcher.setWatching(isWatching),
    announceVm: () => components.storeWatcher.announceAgain(),
    writeCrashReports: effect => void writeCrashReports(components, effect),
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

/** Leaves an error to the process, which stops gracefully. */
function stopProcess(error: unknown): void {
  setImmediate(() => {
    throw error;
  });
}

/** Applies changed settings, and logs which have changed. */
function applySettings(
  {gracefulStop, logger, loop}: Components,
  before: GatewaySettings,
  after: GatewaySettings,
): void {
  const changed = listChangedSettings(before, after);
  for (const {effect, field, from, to} of changed) {
    if (effect === settingEffect.nextStart) {
      logger.warn('setting_needs_restart', {field, from, to});
    } else {
      logger.info('setting_applied', {field, from, to});
    }
  }
  if (changed.length === 0) return;
  gracefulStop.applyGrace(after.stopGraceMs);
  loop.submit({kind: 'boundsChanged', bounds: after});
}

/** Starts a gateway on a deployment. */
export async function createGateway(
  settings: GatewaySettings,
  deployment: Deployment,
): Promise<Gateway> {
  const components = createComponents(settings, deployment).cradle;
  const {callerServer, logger, loop, peerSocket, storeWatcher} = components;
  const disposables = new DisposableStore();
  const {availabilityZone, peerListen, seedPeers, vm} = settings;

  await peerSocket.listen(peerListen);
  disposables.add(() => peerSocket.close());
  disposables.add(() => components.endpointClient.close());
  loop.start(
    createEffectHandlers(components),
    createFaultHandler(components, stopProcess),
  );
  disposables.add(() => loop.stop());
  for (const address of seedPeers) {
    loop.submit({kind: 'seedListed', address});
  }
  const ownVm: AnnouncedVm = {
    vm,
    address: formatHostPort(peerListen),
    availabilityZone,
  };
  storeWatcher.start(ownVm);
  disposables.add(() => storeWatcher.stop());
  await callerServer.listen(settings.callerListen);
  disposables.add(() => callerServer.close());
  logger.info('started', {callerPort: settings.callerListen.port});
  const {metrics, state, wire} = components;
  await startStatusServers(
    {
      settings,
      metrics,
      readyPath: wire.readyPath,
      isReady: () => isReady(state) && state.stop === undefined,
      getDesiredState: () => state.desiredState.current,
      getStoreView: () => createStoreView(state),
      readNowMs: components.clock.readNowMs,
      reportLimit: createLimitReporter(logger, metrics, components.clock),
    },
    disposables,
  );
  const {clock, gracefulStop} = components;
  const stop = async (signalledAtMs: number) => {
    await gracefulStop.finishRequests(signalledAtMs);
    await disposables.dispose();
  };
  let latest = settings;
  let stopped: Promise<void> | undefined;
  return {
    applySettings: changed => {
      applySettings(components, latest, changed);
      latest = changed;
    },
    reportWarning: (event, detail) => logger.warn(event, {detail}),
    reportUncaughtError: error => reportFault(components, error, 'uncaught'),
    stop: (signalledAtMs = clock.readNowMs()) =>
      (stopped ??= stop(signalledAtMs)),
  };
}
