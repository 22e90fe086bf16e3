import {DesiredState} from '@ryeworks/dispatch';
import {TextMetrics} from '@ryeworks/logger';
import {DisposableStore} from '@ryeworks/utils';
import {FastifyInstance} from 'fastify';
import {GatewaySettings, ListenAddress} from '../gatewaySettings.js';
import {createDesiredStateServer} from '../peers/createDesiredStateServer.js';
import {createMetricsServer, createReadyServer} from './statusServers.js';

/** What the servers beside that for callers tell. */
export interface StatusServerParts {
  readonly settings: GatewaySettings;
  readonly readyPath: string;
  readonly metrics: TextMetrics;
  readonly isReady: () => boolean;
  readonly getDesired: () => DesiredState | undefined;
}

/** Starts a server and adds its end to the disposables. */
async function startServer(
  server: FastifyInstance,
  address: ListenAddress,
  disposables: DisposableStore,
): Promise<void> {
  await server.listen(address);
  disposables.add(() => server.close());
}

/** Starts the servers for the balancer, for peers and for metrics. */
export async function startStatusServers(
  parts: StatusServerParts,
  disposables: DisposableStore,
): Promise<void> {
  const {getDesired, isReady, metrics, readyPath, settings} = parts;
  const {metricsListen, peerListen, readyListen} = settings;
  const ready = createReadyServer(readyPath, isReady);
  await startServer(ready, readyListen, disposables);
  const exchange = createDesiredStateServer(getDesired);
  await startServer(exchange, peerListen, disposables);
  if (metricsListen === undefined) return;
  const fetched = createMetricsServer(metrics);
  await startServer(fetched, metricsListen, disposables);
}
