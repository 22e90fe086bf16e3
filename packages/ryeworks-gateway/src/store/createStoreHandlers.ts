import {Endpoint, MoveOrder} from '@ryeworks/dispatch';
import {Logger} from '@ryeworks/logger';
import {DispatchLoop} from '../core/dispatchLoop.js';
import {StoreContents, StoreItem, StoreKind} from '../deploymentInterfaces.js';
import {StoreHandlers} from './storeWatcher.js';

/** Returns the contents of the objects that can be read. */
function listContents<K extends StoreKind>(
  items: ReadonlyArray<StoreItem<K>>,
): Array<StoreContents[K]> {
  const contents: Array<StoreContents[K]> = [];
  for (const {content} of items) {
    if (content !== undefined) contents.push(content);
  }
  return contents;
}

/** Turns what the store says into inputs of the decision core. */
export function createStoreHandlers(
  loop: DispatchLoop,
  logger: Logger,
): StoreHandlers {
  const orders = new Map<string, MoveOrder>();

  /** Brings the newest desired state into force. */
  function applyDesired(items: ReadonlyArray<StoreItem<'desiredState'>>): void {
    for (const desiredState of listContents(items)) {
      loop.submit({kind: 'desiredStateRead', desiredState});
    }
  }

  /** Brings changes of single endpoints into the book. */
  function applyEndpoints(items: ReadonlyArray<StoreItem<'endpoint'>>): void {
    for (const {content, name} of items) {
      if (content === undefined) {
        loop.submit({kind: 'endpointRemoved', id: name});
      } else {
        loop.submit({kind: 'endpointChanged', endpoint: content});
      }
    }
  }

  /** Brings changes of the operators' orders into the book. */
  function applyMoves(items: ReadonlyArray<StoreItem<'move'>>): void {
    for (const {content, name} of items) {
      if (content === undefined) orders.delete(name);
      else orders.set(name, content);
    }
    loop.submit({kind: 'movesRead', orders: [...orders.values()]});
  }

  return {
    replace: {
      desiredState: applyDesired,
      endpoint: items => {
        const endpoints: Endpoint[] = listContents(items);
        loop.submit({kind: 'endpointsListed', endpoints});
      },
      move: items => {
        orders.clear();
        applyMoves(items);
      },
      vm: items => {
        for (const vm of listContents(items)) {
          loop.submit({kind: 'vmListed', ...vm});
        }
      },
    },
    change: {
      desiredState: applyDesired,
      endpoint: applyEndpoints,
      move: applyMoves,
      vm: () => {},
    },
    handleRevision: revision =>
      loop.submit({kind: 'storeRevisionRead', revision}),
    handleReachability: isReachable =>
      loop.submit({kind: 'storeReachabilityChanged', isReachable}),
    handleWarning: (event, detail) => logger.warn(event, {detail}),
  };
}
