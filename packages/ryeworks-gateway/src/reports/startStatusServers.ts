import {DesiredState, StoreViewRead} from '@ryeworks/dispatch';
import {PrometheusMetrics} from '@ryeworks/logger';
import {DisposableStore} from '@ryeworks/utils';
import {deriveStatusMaximums} from '../callers/connectionLimits.js';
import {LimitReason} from '../callers/listenerGuard.js';
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
  readonly readNowMs: () => number;
  /** Called when a connection is refused or closed because of a limit. */
  readonly reportLimit: (reason: LimitReason, listener: string) => void;
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
  const {readNowMs, reportLimit} = options;
  const createLimits = (listener: string) => ({
    ...deriveStatusMaximums(settings.maxDescriptors),
    listener,
    readNowMs,
    report: reportLimit,
  });
  const {metricsListen, peerListen, readyListen} = settings;
  const desiredStateAnswer = new DesiredStateAnswer();
  disposables.add(
    await startTextServer(
      readyListen,
      {[readyPath]: () => createJsonAnswer(isReady() ? 200 : 503, {})},
      createLimits('ready'),
    ),
  );
  disposables.add(
    await startTextServer(
      peerListen,
      {
        [desiredStatePath]: () =>
          desiredStateAnswer.getAnswer(getDesiredState()),
        [storeViewPath]: () =>
          createJsonAnswer(200, encodeStoreView(getStoreView())),
      },
      createLimits('peers'),
    ),
  );
  if (metricsListen === undefined) return;
  disposables.add(
    await startTextServer(
      metricsListen,
      {
        [metricsPath]: async () => ({
          status: 200,
          contentType: 'text/plain; version=0.0.4',
          text: await metrics.format(),
        }),
      },
      createLimits('metrics'),
    ),
  );
}
