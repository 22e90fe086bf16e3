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
  /** Revision of the last write of the order's entry. */
  readonly revision: number;
  /** Revision at which the order was written. */
  readonly createdRevision: number;
  /** Era of `createdRevision`; undefined if it is that of the view. */
  readonly createdEra?: number;
  /** Undefined if none are known. */
  readonly provenVersions?: readonly string[];
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

/** Encodes a move order for a view of an era. */
function encodeOrder(order: MoveOrder, era: number): OrderMessage {
  const {orderedAt, position, provenVersions, ...fields} = order;
  return {
    ...fields,
    revision: position.revision,
    createdRevision: orderedAt.revision,
    ...(orderedAt.era === era ? {} : {createdEra: orderedAt.era}),
    ...(provenVersions.length === 0 ? {} : {provenVersions}),
  };
}

/** Decodes a move order of a view of an era. */
function decodeOrder(message: OrderMessage, era: number): MoveOrder {
  const {durationMs, phase, service, toVersion} = message;
  const {createdEra = era, provenVersions = []} = message;
  return {
    service,
    toVersion,
    durationMs,
    phase,
    provenVersions,
    orderedAt: {era: createdEra, revision: message.createdRevision},
    position: {era, revision: message.revision},
  };
}

/** Encodes a store view for a peer. */
export function encodeStoreView(view: StoreViewRead): StoreViewMessage {
  const {endpoints, evacuations, orders, ordersPosition, position} = view;
  const encodedOrders = orders.map(order => encodeOrder(order, position.era));
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
  const orders = message.orders.map(order => decodeOrder(order, era));
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
