import {DesiredState, StoreViewRead} from '@ryeworks/dispatch';
import {PrometheusMetrics} from '@ryeworks/logger';
import {DisposableStore} from '@ryeworks/utils';
import {GatewaySettings} from '../gatewaySettings.js';
import {desiredStatePath, storeViewPath} from '../peers/fetchFromPeer.js';
import {encodeStoreView} from '../peers/storeViewMessage.js';
import {DesiredStateAnswer} from './desiredStateAnswer.js';
import {createJsonAnswer, startTextServer} from './textServer.js';

const metricsPath = '/metrics';

/** Dependencies of the status servers. */
export interface StatusServerOptions {
  readonly settings: GatewaySettings;
  readonly readyPath: string;
  readonly metrics: PrometheusMetrics;
  readonly isReady: () => boolean;
  readonly getDesiredState: () => DesiredState | undefined;
  readonly getStoreView: () => StoreViewRead;
}

/**
 * Starts the HTTP servers for the load balancer's readiness check, for fetches by
 * peers and for metrics.
 */
export async function startStatusServers(
  options: StatusServerOptions,
  disposables: DisposableStore,
): Promise<void> {
  const {getDesiredState, getStoreView, isReady, metrics, readyPath, settings} =
    options;
  const {metricsListen, peerListen, readyListen} = settings;
  const desiredStateAnswer = new DesiredStateAnswer();
  disposables.add(
    await startTextServer(readyListen, {
      [readyPath]: () => createJsonAnswer(isReady() ? 200 : 503, {}),
    }),
  );
  disposables.add(
    await startTextServer(peerListen, {
      [desiredStatePath]: () => desiredStateAnswer.getAnswer(getDesiredState()),
      [storeViewPath]: () =>
        createJsonAnswer(200, encodeStoreView(getStoreView())),
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
