import {
  Endpoint,
  EvacuationsView,
  MoveOrder,
  StoreViewRead,
} from '@ryeworks/dispatch';

/** A move order in a store view. */
interface OrderMessage {
  readonly service: string;
  readonly toVersion: string;
  readonly durationMs: number;
  readonly phase?: MoveOrder['phase'];
  /** Revision of the order's last write. */
  readonly revision: number;
  /** Revision at which the order was created. */
  readonly createdRevision: number;
}

/**
 * A store view as a peer sends it. All its revisions belong to one era; peers of
 * a build that knows no eras send none.
 */
export interface StoreViewMessage {
  readonly era?: number;
  readonly revision: number;
  /**
   * Revision up to which the orders were read; that of the view if a build does
   * not report it apart.
   */
  readonly ordersRevision?: number;
  readonly endpoints: readonly Endpoint[];
  readonly orders: readonly OrderMessage[];
  /** Undefined if the peer has read none; their position has its own era. */
  readonly evacuations?: EvacuationsView;
}

/** Encodes a store view for a peer. */
export function encodeStoreView(view: StoreViewRead): StoreViewMessage {
  const {endpoints, evacuations, orders, ordersPosition, position} = view;
  const encodedOrders: OrderMessage[] = [];
  for (const {createdAt, position: lastWrite, ...fields} of orders) {
    const {revision} = lastWrite;
    const createdRevision = createdAt.revision;
    encodedOrders.push({...fields, revision, createdRevision});
  }
  const ordersRevision = ordersPosition.revision;
  return {
    ...position,
    ordersRevision,
    endpoints,
    orders: encodedOrders,
    ...(evacuations === undefined ? {} : {evacuations}),
  };
}

/**
 * Decodes a peer's store view.
 *
 * @param defaultEra the era of a view that names none
 */
export function decodeStoreView(
  message: StoreViewMessage,
  defaultEra: number,
): StoreViewRead {
  const {endpoints, era = defaultEra, revision} = message;
  const orders: MoveOrder[] = [];
  for (const order of message.orders) {
    const {durationMs, phase, service, toVersion} = order;
    const createdAt = {era, revision: order.createdRevision};
    const lastWrite = {era, revision: order.revision};
    const fields = {service, toVersion, durationMs, phase};
    orders.push({...fields, createdAt, position: lastWrite});
  }
  const position = {era, revision};
  const {ordersRevision = revision} = message;
  const ordersPosition = {era, revision: ordersRevision};
  const {evacuations} = message;
  return {
    kind: 'storeViewRead',
    position,
    ordersPosition,
    endpoints,
    orders,
    ...(evacuations === undefined ? {} : {evacuations}),
  };
}
