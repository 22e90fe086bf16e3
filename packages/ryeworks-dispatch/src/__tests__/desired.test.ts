import {createRandomSource} from '@ryeworks/utils';
import t from 'tap';
import {
  createRouteTable,
  findRoute,
  pickService,
} from '../desired/routeTable.js';
import {
  createDesiredState,
  createEndpoint,
  createReadyState,
  createRequest,
  listEffects,
  names,
  routes,
  runInput,
} from './fixtures.js';

t.test('the longest prefix of a host wins', async t => {
  const inner = {...routes.booking, name: 'inner', pathPrefix: '/booking/vip/'};
  const root = {...routes.booking, name: 'root', pathPrefix: '/'};
  const table = createRouteTable(
    createDesiredState(1, {routes: [routes.booking, inner, root]}),
  );
  t.equal(findRoute(table, names.host, '/booking/vip/1')?.name, 'inner');
  t.equal(findRoute(table, names.host, '/booking/vip')?.name, 'booking');
  t.equal(findRoute(table, names.host, '/other')?.name, 'root');
  t.equal(findRoute(table, 'other.example', '/booking/1'), undefined);
});

t.test('services of a route are picked by weight', async t => {
  const random = createRandomSource(1);
  const targets = [
    {service: 'a', weight: 90},
    {service: 'b', weight: 10},
  ];
  let picked = 0;
  for (let index = 0; index < 2000; index++) {
    const service = pickService({...routes.booking, targets}, random);
    if (service === 'b') picked += 1;
  }
  t.ok(picked > 120 && picked < 280, `${picked} of 2000`);
});

t.test('an older version never comes back into force', async t => {
  const state = createReadyState(
    [createEndpoint('e1', names.ledger)],
    createDesiredState(5),
  );
  const stale = createDesiredState(4, {customers: []});
  runInput(state, {kind: 'desiredStateRead', desiredState: stale}, 1);
  const effects = runInput(state, createRequest('booking', 2), 2);
  t.equal(listEffects(effects, 'startCall').length, 1);
  const revoked = createDesiredState(9, {customers: []});
  runInput(state, {kind: 'desiredStateRead', desiredState: revoked}, 3);
  const after = runInput(state, createRequest('booking', 4), 4);
  t.equal(listEffects(after, 'answerError')[0].error, 'unauthenticated');
});
