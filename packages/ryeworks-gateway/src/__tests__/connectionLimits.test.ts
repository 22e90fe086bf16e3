import t from 'tap';
import {
  ConnectionLimits,
  deriveCallerMaximums,
  deriveStatusMaximums,
} from '../callers/connectionLimits.js';
import {SmallChunkLimits} from '../callers/smallChunkLimits.js';

/** A connection, as the limits see it. */
interface FakeConnection {
  readonly name: string;
  bytes: number;
  isAnswering: boolean;
}

/** Creates limits of a few connections, and a function that opens one. */
function createLimits(maxConnections = 3, maxPerAddress = 3) {
  const limits = new ConnectionLimits<FakeConnection>({
    maxConnections,
    maxPerAddress,
    countBytes: ({bytes}) => bytes,
    isAnswering: ({isAnswering}) => isAnswering,
  });
  const open = (name: string, nowMs: number, address = 'balancer') => {
    const connection = {name, bytes: 0, isAnswering: false};
    const {closed, isAdmitted} = limits.admit(connection, address, nowMs);
    return {connection, isAdmitted, closed: closed?.name};
  };
  return {limits, open};
}

// Guards against connections that are held without progress: they would use all
// descriptors, and no caller could connect any more.
t.test('the oldest connection without progress is closed first', async t => {
  const {limits, open} = createLimits();
  const fast = open('fast', 0);
  open('slow', 100);
  open('later', 200);
  for (let nowMs = 500; nowMs <= 2000; nowMs += 500) {
    fast.connection.bytes += 1000;
    limits.sweep(nowMs);
  }
  t.equal(open('new', 2000).closed, 'slow');
  t.equal(open('newer', 2000).closed, 'later');
  t.same(open('newest', 2000), {
    connection: {name: 'newest', bytes: 0, isAnswering: false},
    isAdmitted: false,
    closed: undefined,
  });
  t.equal(limits.count, 3);
});

// Guards against callers that send a byte now and then to count as active.
t.test('progress is measured in bytes per second', async t => {
  const {limits, open} = createLimits(1);
  const {connection} = open('trickle', 0);
  for (let nowMs = 500; nowMs <= 2000; nowMs += 500) {
    connection.bytes += 100;
    limits.sweep(nowMs);
  }
  t.equal(open('new', 2000).closed, 'trickle');
});

// Guards against a request that was passed on and is never answered, because its
// connection makes no progress while the endpoint works.
t.test('a request that is being answered keeps its connection', async t => {
  const {limits, open} = createLimits(1);
  const {connection} = open('answering', 0);
  limits.sweep(5000);
  connection.isAnswering = true;
  t.equal(open('new', 5000).isAdmitted, false, 'one that was slow before');
  limits.sweep(10_000);
  t.equal(open('new', 10_000).isAdmitted, false);
  connection.isAnswering = false;
  t.equal(
    open('new', 10_500).isAdmitted,
    false,
    'its caller has time to go on',
  );
  t.equal(open('new', 11_000).closed, 'answering');
});

// Guards against one address that uses all connections.
t.test('one address leaves connections for others', async t => {
  const {limits, open} = createLimits(3, 2);
  open('a', 0, 'one');
  open('b', 0, 'one');
  t.equal(open('c', 100, 'one').isAdmitted, false);
  const other = open('d', 100, 'two');
  t.ok(other.isAdmitted);
  limits.release(other.connection);
  t.equal(open('c', 2000, 'one').closed, 'a', 'of the same address');
  t.equal(limits.count, 2);
});

// Guards against defaults that leave no descriptors for endpoints, or that refuse
// the connections which a load balancer makes from one address.
t.test('the maximums follow from the descriptors', async t => {
  for (const descriptors of [4100, 10_478]) {
    const callers = deriveCallerMaximums(descriptors);
    const status = deriveStatusMaximums(descriptors);
    const total = callers.maxConnections + 3 * status.maxConnections;
    t.ok(total < (descriptors * 5) / 8);
    t.ok(callers.maxPerAddress > descriptors / 3);
  }
  t.equal(deriveCallerMaximums().maxConnections, Number.POSITIVE_INFINITY);
});

// Guards against bodies in chunks of one byte that take all processor time.
t.test('a few bodies of small chunks are read at a time', async t => {
  const limits = new SmallChunkLimits<string>();
  const send = (body: string, chunks: number, bytes: number) => {
    let hasChanged = false;
    for (let index = 0; index < chunks; index++) {
      hasChanged = limits.recordChunk(body, bytes, 0) || hasChanged;
    }
    return hasChanged;
  };
  t.notOk(send('small body', 250, 1), 'a small body is an ordinary one');
  t.notOk(send('events', 4000, 100), 'and one of chunks of a usual size');
  for (const body of ['a', 'b', 'c']) t.ok(send(body, 2000, 1));
  t.ok(limits.canRead('a') && limits.canRead('b') && limits.canRead('events'));
  t.notOk(limits.canRead('c'));
  t.notOk(limits.hasUsedTurn('a', 2999, 3000));
  t.ok(limits.hasUsedTurn('a', 3000, 3000), 'one that lasts gives way');
  t.ok(limits.drop('a'));
  t.ok(limits.canRead('c'), 'the next one is read in its place');
  t.notOk(limits.hasUsedTurn('b', 9000, 3000), 'nobody waits');
});
