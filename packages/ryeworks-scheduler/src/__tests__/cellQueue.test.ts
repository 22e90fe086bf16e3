import t from 'tap';
import {Cell, QueuedGrantRequest} from '../admission/admissionState.js';
import {countAhead, insertGrantRequest} from '../admission/cellQueue.js';

/** Creates an ask. */
function createAsk(
  askId: string,
  tier: QueuedGrantRequest['tier'],
  deadlineMs: number,
): QueuedGrantRequest {
  return {
    askId,
    holder: 'vm-a',
    tier,
    promptTokens: 100,
    maxTokens: 10,
    prefixHash: 0,
    engines: [],
    avoid: [],
    isPacked: false,
    deadlineMs,
  };
}

/** Creates an empty cell. */
function createCell(): Cell {
  return {
    cellKey: 'a/m/0',
    service: 'm',
    queue: [],
    grants: new Map(),
    endpointStats: new Map(),
    meanHoldMs: 0,
    sweepAtMs: 0,
  };
}

t.test('lower tiers that are due sooner stay behind the highest', async t => {
  const cell = createCell();
  // Pattern: under overload app alerts are due long before narratives are.
  insertGrantRequest(cell, createAsk('alert', 3, 1000));
  insertGrantRequest(cell, createAsk('summary', 2, 2000));
  const narrative = createAsk('narrative', 1, 9000);
  t.equal(countAhead(cell, narrative), 0);
  t.equal(insertGrantRequest(cell, narrative), 0);
  insertGrantRequest(cell, createAsk('soon', 1, 5000));
  t.strictSame(
    cell.queue.map(ask => ask.askId),
    ['soon', 'narrative', 'summary', 'alert'],
  );
});
