import {StoreViewRead} from '@ryeworks/dispatch';
import t from 'tap';
import {
  decodeStoreView,
  encodeStoreView,
  StoreViewMessage,
} from '../peers/storeViewMessage.js';

const order = {
  service: 's',
  toVersion: 'v2',
  durationMs: 8000,
  phase: 'moving',
} as const;
const view: StoreViewRead = {
  kind: 'storeViewRead',
  position: {era: 3, revision: 40},
  ordersPosition: {era: 3, revision: 39},
  endpoints: [],
  orders: [
    {
      ...order,
      position: {era: 3, revision: 39},
      orderedAt: {era: 3, revision: 12},
      provenVersions: [],
    },
  ],
};

/** Returns a message as a peer receives it. */
function transmit(message: StoreViewMessage): StoreViewMessage {
  return JSON.parse(JSON.stringify(message)) as StoreViewMessage;
}

t.test('a store view arrives as it was sent', async t => {
  t.strictSame(decodeStoreView(transmit(encodeStoreView(view)), 1), view);
});

t.test('a build that knows no eras reads the same fields', async t => {
  const {orders, revision} = transmit(encodeStoreView(view));
  t.equal(revision, 40);
  t.strictSame(orders, [{...order, revision: 39, createdRevision: 12}]);
});

t.test('a view without an era is of the era of its reader', async t => {
  const orders = [{...order, revision: 39, createdRevision: 12}];
  const decoded = decodeStoreView({revision: 40, endpoints: [], orders}, 3);
  const ordersPosition = {era: 3, revision: 40};
  t.strictSame(decoded, {...view, ordersPosition});
});

// Guards against VMs without the store that miss an evacuation, and against an
// older build's view that passes for one without evacuations.
t.test('evacuations are sent with the era of their own', async t => {
  const position = {era: 4, revision: 7};
  const evacuations = {position, zones: ['zone-a']};
  const sent = transmit(encodeStoreView({...view, evacuations}));
  t.strictSame(decodeStoreView(sent, 1).evacuations, evacuations);
  t.equal(
    decodeStoreView(transmit(encodeStoreView(view)), 1).evacuations,
    undefined,
  );
});
