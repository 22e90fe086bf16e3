import t from 'tap';
import {HeldChunks} from '../endpoints/heldChunks.js';
import {MemoryBudget} from '../memory/memoryBudget.js';

const sentBytes = 1_000_000;
/** Memory that they may take, garbage included, in bytes. */
const maxTakenBytes = 50 * sentBytes;

// Guards against an endpoint that sends an answer byte by byte: each byte would be
// kept as an object of its own.
t.test('single bytes take about their size', async t => {
  const budget = new MemoryBudget({
    limitBytes: Number.POSITIVE_INFINITY,
    handleChange: () => {},
  });
  const held = new HeldChunks(budget);
  const beforeBytes = process.memoryUsage().rss;
  for (let index = 0; index < sentBytes; index++) {
    held.add(Buffer.allocUnsafeSlow(1).fill(index));
  }
  const takenBytes = process.memoryUsage().rss - beforeBytes;
  t.ok(takenBytes < maxTakenBytes, `${takenBytes} bytes`);
  t.equal(budget.heldBytes, sentBytes);
  const bytes = held.removeAll();
  t.ok(bytes.every((byte, index) => byte === index % 256));
  t.equal(budget.heldBytes, 0);
});
