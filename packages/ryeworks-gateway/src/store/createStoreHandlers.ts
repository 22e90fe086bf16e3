import {
  countPeersWithRecentDigest,
  Endpoint,
  MoveOrder,
} from '@ryeworks/dispatch';
import {Logger} from '@ryeworks/logger';
import {Clock} from '@ryeworks/utils';
import {DispatchLoop} from '../core/dispatchLoop.js';
import {StoreContents, StoreItem, StoreKind} from '../deploymentInterfaces.js';
import {StoreHandlers} from './storeWatcher.js';

/** Returns the contents of the objects that could be decoded. */
function listContents<K extends StoreKind>(
  items: ReadonlyArray<StoreItem<K>>,
): Array<StoreContents[K]> {
  const contents: Array<StoreContents[K]> = [];
  for (const {content} of items) {
    if (content !== undefined) contents.push(content);
  }
  return contents;
}

/** Creates the handlers that submit the store's objects to the core. */
export function createStoreHandlers(
  loop: DispatchLoop,
  logger: Logger,
  clock: Clock,
): StoreHandlers {
  const orders = new Map<string, MoveOrder>();
  const evacuatedZones = new Set<string>();

  /** Submits the desired state that was read. */
  function submitDesiredState(
    items: ReadonlyArray<StoreItem<'desiredState'>>,
  ): void {
    for (const desiredState of listContents(items)) {
      loop.submit({kind: 'desiredStateRead', desiredState});
    }
  }

  /** Submits changes to single endpoints. */
  function submitEndpointChanges(
    items: ReadonlyArray<StoreItem<'endpoint'>>,
  ): void {
    for (const {content, name} of items) {
      if (content === undefined) {
        loop.submit({kind: 'endpointRemoved', id: name});
      } else {
        loop.submit({kind: 'endpointChanged', endpoint: content});
      }
    }
  }

  /** Submits all move orders, with the given changes applied. */
  function submitMoveOrders(
    items: ReadonlyArray<StoreItem<'move'>>,
    era: number,
  ): void {
    for (const {content, name} of items) {
      if (content === undefined) orders.delete(name);
      else orders.set(name, content);
    }
    loop.submit({kind: 'movesRead', era, orders: [...orders.values()]});
  }

  /** Submits all evacuations, with the given changes applied. */
  function submitEvacuations(
    items: ReadonlyArray<StoreItem<'evacuation'>>,
    era: number,
  ): void {
    for (const {content, name} of items) {
      if (content === undefined) evacuatedZones.delete(name);
      else evacuatedZones.add(content);
    }
    loop.submit({kind: 'evacuationsRead', era, zones: [...evacuatedZones]});
  }

  return {
    replace: {
      desiredState: submitDesiredState,
      endpoint: (items, era) => {
        const endpoints: Endpoint[] = listContents(items);
        loop.submit({kind: 'endpointsListed', era, endpoints});
      },
      move: (items, era) => {
        orders.clear();
        submitMoveOrders(items, era);
      },
      vm: items => {
        for (const vm of listContents(items)) {
          loop.submit({kind: 'vmListed', ...vm});
        }
      },
      evacuation: (items, era) => {
        evacuatedZones.clear();
        submitEvacuations(items, era);
      },
      crashReports: items => {
        for (const reports of listContents(items)) {
          loop.submit({kind: 'crashReportsRead', reports});
        }
      },
    },
    change: {
      desiredState: submitDesiredState,
      endpoint: submitEndpointChanges,
      move: submitMoveOrders,
      evacuation: submitEvacuations,
      vm: () => {},
      crashReports: () => {},
    },
    handleEra: era => loop.submit({kind: 'storeEraRead', era}),
    handlePosition: (position, ordersPosition, evacuationsPosition) =>
      loop.submit({
        kind: 'storePositionRead',
        position,
        ordersPosition,
        evacuationsPosition,
      }),
    handleReachability: isReachable =>
      loop.submit({kind: 'storeReachabilityChanged', isReachable}),
    hasReportingPeers: () =>
      countPeersWithRecentDigest(loop.state.peers, clock.readNowMs()) > 0,
    handleWarning: (event, detail) => logger.warn(event, {detail}),
  };
}
