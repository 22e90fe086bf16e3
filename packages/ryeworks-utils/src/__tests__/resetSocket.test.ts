import {spawn} from 'node:child_process';
import t from 'tap';

const moduleUrl = new URL('../resetSocket.js', import.meta.url).href;
/** Ends and resets one connection to itself, and lets the process end. */
const program = `
import {connect, createServer} from 'node:net';
import {resetSocket} from '${moduleUrl}';
const server = createServer(socket => socket.on('error', () => {}));
server.listen(0, '127.0.0.1', () => {
  const socket = connect(server.address().port, '127.0.0.1');
  socket.on('error', () => {});
  socket.once('connect', () => {
    socket.end();
    resetSocket(socket);
    server.close();
  });
});`;
/** Time in which the process must have ended, in ms. */
const exitTimeoutMs = 5000;

// Guards against a process that never ends: Node fails to reset a connection whose
// end is being sent, and then waits for it without end at its exit.
t.test('a process that has reset an ended connection exits', t => {
  const args = ['--input-type=module', '--eval', program];
  const child = spawn(process.execPath, args, {stdio: 'inherit'});
  const timer = setTimeout(() => child.kill('SIGKILL'), exitTimeoutMs);
  child.once('exit', (code, signal) => {
    clearTimeout(timer);
    t.match({code, signal}, {code: 0, signal: null});
    t.end();
  });
});
