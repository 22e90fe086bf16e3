import {systemClock} from '@ryeworks/utils';
import {IncomingMessage} from 'node:http';
import {PassThrough} from 'node:stream';
import {setTimeout as sleep} from 'node:timers/promises';
import t from 'tap';
import {BodyOutcome, BodyReader} from '../callers/readBody.js';
import {HeldBody} from '../memory/heldBody.js';
import {MemoryBudget} from '../memory/memoryBudget.js';

const maxBodyBytes = 200_000;
const headerTimeoutMs = 300;
const bounds = {deadlineAtMs: undefined, headerTimeoutMs, maxBodyBytes};
const limitBytes = 1_000_000;
/** More than is read of a paused request. */
const settleMs = 30;

/** Creates a budget and a reader of bodies. */
function createReader() {
  const changes: boolean[] = [];
  const budget = new MemoryBudget({
    limitBytes,
    handleChange: isShort => changes.push(isShort),
  });
  const reader = new BodyReader(budget, systemClock.readNowMs);
  /** Begins to read a body; sends the first bytes of it. */
  const begin = (sizeBytes: number, sentBytes: number) => {
    const stream = new PassThrough();
    const headers = {'content-length': `${sizeBytes}`};
    const request = Object.assign(stream, {headers});
    const reading = {stream, outcome: undefined as BodyOutcome | undefined};
    void reader
      .read(request as unknown as IncomingMessage, bounds)
      .then(outcome => (reading.outcome = outcome));
    stream.write(Buffer.alloc(sentBytes));
    return reading;
  };
  return {begin, budget, changes};
}

// Guards against bodies that together take more than the budget, and against ones
// that wait for each other for ever.
t.test('near the limit, bodies are read one after the other', async t => {
  const {begin, budget, changes} = createReader();
  const readings = Array.from({length: 6}, () => begin(200_000, 60_000));
  await sleep(settleMs);
  t.strictSame(changes, [true], 'the budget is short, told once');
  t.same(await begin(200_000, 1).outcome, undefined);
  const [late, small] = [begin(200_000, 1), begin(1000, 0)];
  small.stream.end(Buffer.alloc(1000));
  for (const {stream} of readings) stream.end(Buffer.alloc(140_000));
  await sleep(settleMs);
  t.same(late.outcome, {refusal: 'memoryShort'}, 'no large body is begun');
  t.ok(small.outcome && 'body' in small.outcome, 'a small one is');
  t.ok(budget.heldBytes <= limitBytes, 'the budget is kept to');
  for (const [index, reading] of readings.entries()) {
    const {outcome} = reading;
    if (outcome === undefined || !('body' in outcome)) {
      t.fail(`body ${index} is not read in its turn`);
      return;
    }
    outcome.body.release();
    await sleep(settleMs);
  }
  t.strictSame(changes, [true, false], 'the budget is free again, told once');
});

// Guards against bodies that wait for memory, or for their caller, without end.
t.test('a body that does not go on is refused', async t => {
  const {begin, budget} = createReader();
  const stalled = begin(1000, 10);
  const kept = Array.from({length: 4}, () => begin(190_000, 190_000));
  for (const {stream} of kept) stream.end();
  const waiting = [begin(200_000, 60_000), begin(200_000, 60_000)];
  for (const {stream} of waiting) stream.write(Buffer.alloc(130_000));
  await sleep(3 * headerTimeoutMs);
  t.same(stalled.outcome, {refusal: 'bodyTooSlow'});
  t.same(waiting.at(-1)?.outcome, {refusal: 'memoryShort'});
  for (const {outcome} of kept) {
    if (outcome && 'body' in outcome) outcome.body.release();
  }
  t.equal(budget.heldBytes, 0, 'nothing is held any more');
});

// Guards against tiny chunks, each of which would take far more than its bytes.
t.test('small chunks are copied into blocks', async t => {
  const {budget} = createReader();
  const body = new HeldBody(budget);
  const sent = Buffer.from('0123456789'.repeat(2000));
  for (let at = 0; at < sent.length; at += 7) {
    body.add(sent.subarray(at, at + 7));
  }
  t.ok(body.getChunks().length < 10);
  t.ok(Buffer.concat(body.getChunks()).equals(sent), 'the bytes are the same');
  body.release();
  t.throws(() => body.getChunks(), /released/);
});
