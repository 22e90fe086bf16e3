import {DispatchState} from '@ryeworks/dispatch';
import {Logger} from '@ryeworks/logger';
import {Clock} from '@ryeworks/utils';
import {DeploymentStore} from '../deploymentInterfaces.js';
import {fetchDesiredState, fetchStoreView} from '../peers/fetchFromPeer.js';
import {decodeStoreView} from '../peers/storeViewMessage.js';
import {DispatchLoop, EffectHandlers} from './dispatchLoop.js';

/** Dependencies of the handlers. */
export interface FetchContext {
  readonly clock: Clock;
  readonly logger: Logger;
  readonly loop: DispatchLoop;
  readonly state: DispatchState;
  readonly store: DeploymentStore;
}

/** Fetches the desired state from a peer and submits it to the core. */
async function updateDesiredState(
  {clock, logger, loop}: FetchContext,
  address: string,
): Promise<void> {
  const startedMs = clock.readNowMs();
  try {
    const {content, sizeBytes} = await fetchDesiredState(address);
    const durationMs = Math.round(clock.readNowMs() - startedMs);
    const {version} = content;
    const fields = {address, version, sizeBytes, durationMs};
    logger.info('desired_state_fetched', fields);
    loop.submit({kind: 'desiredStateRead', desiredState: content});
  } catch (error) {
    const detail = (error as Error).message;
    logger.warn('desired_state_not_fetched', {address, detail});
  } finally {
    loop.submit({kind: 'desiredStateFetchEnded'});
  }
}

/**
 * Reads the desired state from the store and submits it to the core. The first
 * read may be stale; if it returns no desired state, or one older than
 * `version`, reads again without allowing staleness.
 */
async function readDesiredState(
  {clock, logger, loop, store}: FetchContext,
  version: number,
): Promise<void> {
  const startedMs = clock.readNowMs();
  try {
    for (const isStaleAllowed of [true, false]) {
      const desiredState = await store.readDesiredState(isStaleAllowed);
      if (desiredState === undefined || desiredState.version < version)
        continue;
      const durationMs = Math.round(clock.readNowMs() - startedMs);
      logger.info('desired_state_fetched', {
        address: 'store',
        version: desiredState.version,
        isStaleAllowed,
        durationMs,
      });
      loop.submit({kind: 'desiredStateRead', desiredState});
      return;
    }
    logger.warn('desired_state_not_read', {
      version,
      detail: 'the store returned an older version or none',
    });
  } catch (error) {
    const detail = (error as Error).message;
    logger.warn('desired_state_not_read', {version, detail});
  } finally {
    loop.submit({kind: 'desiredStateFetchEnded'});
  }
}

/** Fetches a peer's store view and submits it to the core. */
async function updateStoreView(
  {logger, loop, state}: FetchContext,
  address: string,
): Promise<void> {
  try {
    const {content} = await fetchStoreView(address);
    loop.submit(decodeStoreView(content, state.storeEra.current ?? 0));
  } catch (error) {
    const detail = (error as Error).message;
    logger.warn('store_view_not_fetched', {address, detail});
  } finally {
    loop.submit({kind: 'storeViewFetchEnded'});
  }
}

/**
 * Creates the effect handlers that fetch the desired state and the store view
 * from peers or from the store.
 */
export function createFetchHandlers(
  context: FetchContext,
): Pick<
  EffectHandlers,
  'fetchDesiredState' | 'readDesiredState' | 'fetchStoreView'
> {
  return {
    fetchDesiredState: ({address}) => void updateDesiredState(context, address),
    readDesiredState: ({version}) => void readDesiredState(context, version),
    fetchStoreView: ({address}) => void updateStoreView(context, address),
  };
}
