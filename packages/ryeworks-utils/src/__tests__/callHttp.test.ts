import t from 'tap';
import {setTimeout as sleep} from 'node:timers/promises';
import {callHttp, HttpCallError} from '../index.js';

/** Time limit of the calls, in ms. */
const timeoutMs = 20;

// Guards against an address or path, as a peer may name it, that ends the process
// from a timer.
t.test('a call that cannot be begun is rejected', async t => {
  let thrown = 0;
  const countThrown = () => (thrown += 1);
  process.on('uncaughtException', countThrown);
  t.teardown(() => process.off('uncaughtException', countThrown));
  const calls = [
    ['127.0.0.1:99999', '/'],
    ['127.0.0.1:x', '/'],
    ['no port', '/'],
    ['', '/'],
    ['127.0.0.1:80', '/a b\n'],
  ];
  for (const [address, path] of calls) {
    const call = {address, method: 'GET', path, timeoutMs} as const;
    await t.rejects(callHttp(call), HttpCallError, address);
  }
  await sleep(2 * timeoutMs);
  t.equal(thrown, 0);
});
