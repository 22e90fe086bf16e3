import {DesiredState, StoreViewRead} from '@ryeworks/dispatch';
import {PrometheusMetrics} from '@ryeworks/logger';
import {DisposableStore} from '@ryeworks/utils';
import {GatewaySettings} from '../gatewaySettings.js';
import {desiredStatePath, storeViewPath} from '../peers/fetchFromPeer.js';
import {createJsonAnswer, startTextServer} from './textServer.js';

const metricsPath = '/metrics';

/** What the servers beside that for callers tell. */
export interface StatusServerOptions {
  readonly settings: GatewaySettings;
  readonly readyPath: string;
  readonly metrics: PrometheusMetrics;
  readonly isReady: () => boolean;
  readonly getDesiredState: () => DesiredState | undefined;
  readonly getStoreView: () => StoreViewRead;
}

/** Starts the servers for the balancer, for peers and for metrics. */
export async function startStatusServers(
  parts: StatusServerOptions,
  disposables: DisposableStore,
): Promise<void> {
  const {getDesiredState, getStoreView, isReady, metrics, readyPath, settings} =
    parts;
  const {metricsListen, peerListen, readyListen} = settings;
  disposables.add(
    await startTextServer(readyListen, {
      [readyPath]: () => createJsonAnswer(isReady() ? 200 : 503, {}),
    }),
  );
  disposables.add(
    await startTextServer(peerListen, {
      [desiredStatePath]: () => {
        const desired = getDesiredState();
        return createJsonAnswer(desired === undefined ? 404 : 200, desired);
      },
      [storeViewPath]: () => createJsonAnswer(200, getStoreView()),
    }),
  );
  if (metricsListen === undefined) return;
  disposables.add(
    await startTextServer(metricsListen, {
      [metricsPath]: async () => ({
        status: 200,
        contentType: 'text/plain; version=0.0.4',
        text: await metrics.format(),
      }),
    }),
  );
}
