import {Socket} from 'node:net';
import {Duplex} from 'node:stream';
import {setImmediate as waitForTurn} from 'node:timers/promises';
import t from 'tap';
import {SocketInlet} from '../callers/socketInlet.js';

/** Creates an inlet, and what it has passed on. */
function createInlet() {
  const stream = new Duplex({read: () => {}, write: () => {}});
  const gate = {isOpen: true};
  const inlet = new SocketInlet(stream as Socket, {
    budget: undefined,
    canPass: () => gate.isOpen,
    handlePassed: () => {},
  });
  const passed: string[] = [];
  stream.on('data', (chunk: Buffer) => passed.push(chunk.toString()));
  return {gate, inlet, passed, stream};
}

// Guards against thousands of requests that are parsed at once because they were
// received at once.
t.test('each piece holds the end of one head at most', async t => {
  const {gate, inlet, passed, stream} = createInlet();
  await waitForTurn();
  stream.once('data', () => (gate.isOpen = false));
  stream.push(Buffer.from('a\r\n\r\nb\r\n\r\nc'));
  t.strictSame(passed, ['a\r\n\r\n'], 'the listener stops between requests');
  t.equal(inlet.heldBytes, 6);
  gate.isOpen = true;
  inlet.flush();
  t.strictSame(passed, ['a\r\n\r\n', 'b\r\n\r\n', 'c']);
});

// Guards against a refused body that costs processor time until its end.
t.test('what follows a refusal is not passed on', async t => {
  const {inlet, passed, stream} = createInlet();
  await waitForTurn();
  inlet.startDiscarding();
  stream.push(Buffer.from('1\r\na\r\n'));
  t.strictSame(passed, []);
  t.equal(inlet.heldBytes, 0);
});
