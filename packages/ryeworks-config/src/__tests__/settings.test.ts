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

/** Formats the settings with changes as a file with one key per line. */
function formatSettings(change: object): string {
  return JSON.stringify({...settings, ...change}, null, 1);
}

t.test('comments are accepted and defaults are filled in', async t => {
  const text = `// A comment.\n${formatSettings({})}`;
  const parsed = parseSettings(text, 'x.jsonc');
  t.equal(parsed.logLevel, 'info');
  t.equal(parsed.services[0].defaultDeadlineMs, 30_000);
});

t.test('an unknown key is reported with its position', async t => {
  const text = formatSettings({colour: 'red'});
  t.throws(() => parseSettings(text, 'x.jsonc'), {
    message: /^x\.jsonc:\d+:\d+: "colour" is not a known key/,
  });
});

t.test('an invalid value is reported with the allowed values', async t => {
  const text = formatSettings({logLevel: 'loud'});
  t.throws(() => parseSettings(text, 'x.jsonc'), {
    message: /"logLevel" must be .*: info, warn, error/,
  });
});

t.test('an availability zone that is not listed is rejected', async t => {
  const text = formatSettings({availabilityZone: 'c'});
  t.throws(() => parseSettings(text, 'x.jsonc'), {
    message: /does not list: a, b/,
  });
});

t.test('invalid JSON is reported with its position', async t => {
  t.throws(() => parseSettings('{"vm": \n  }', 'x.jsonc'), {
    message: /^x\.jsonc:2:/,
  });
});

t.test('a customer with a nonexistent plan is rejected', async t => {
  const list = {
    plans: [],
    customers: [{customer: 'c', plan: 'gold', keyHashes: []}],
  };
  t.throws(() => parsePlansList(JSON.stringify(list), 'p'), {
    message: /customer "c" has plan "gold"/,
  });
});
