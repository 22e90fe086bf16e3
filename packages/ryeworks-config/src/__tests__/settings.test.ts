import t from 'tap';
import {parsePlansList} from '../lists.js';
import {parseSettings} from '../settings.js';

const settings = {
  vm: 'vm-1',
  availabilityZone: 'a',
  availabilityZones: ['a', 'b'],
  callerListen: {host: '127.0.0.1', port: 1},
  peerListen: {host: '127.0.0.1', port: 2},
  peerKey: 'secret-1',
  operatorKey: 'secret-2',
  platform: {url: 'http://127.0.0.1:3', token: ''},
  services: [
    {
      service: 's',
      kind: 'plain',
      routes: [{method: 'GET', path: '/x', class: 'idempotent'}],
    },
  ],
};

/** Formats settings as a file, one key a line. */
function formatSettings(change: object): string {
  return JSON.stringify({...settings, ...change}, null, 1);
}

t.test('comments are read and defaults filled in', async t => {
  const text = `// A comment.\n${formatSettings({})}`;
  const read = parseSettings(text, 'x.jsonc');
  t.equal(read.logLevel, 'info');
  t.equal(read.services[0].defaultDeadlineMs, 30_000);
});

t.test('an unknown key is named with its place', async t => {
  const text = formatSettings({colour: 'red'});
  t.throws(() => parseSettings(text, 'x.jsonc'), {
    message: /^x\.jsonc:\d+:\d+: "colour" is not a known key/,
  });
});

t.test('a wrong value is named with what is allowed', async t => {
  const text = formatSettings({logLevel: 'loud'});
  t.throws(() => parseSettings(text, 'x.jsonc'), {
    message: /"logLevel" must be .*: info, warn, error/,
  });
});

t.test('a zone that is not listed is refused', async t => {
  const text = formatSettings({availabilityZone: 'c'});
  t.throws(() => parseSettings(text, 'x.jsonc'), {
    message: /does not list: a, b/,
  });
});

t.test('broken JSON is named with its place', async t => {
  t.throws(() => parseSettings('{"vm": \n  }', 'x.jsonc'), {
    message: /^x\.jsonc:2:/,
  });
});

t.test('a customer on a plan that does not exist is refused', async t => {
  const list = {
    plans: [],
    customers: [{customer: 'c', plan: 'gold', keyHashes: []}],
  };
  t.throws(() => parsePlansList(JSON.stringify(list), 'p'), {
    message: /customer "c" has plan "gold"/,
  });
});
