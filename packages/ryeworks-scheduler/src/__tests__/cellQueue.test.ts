import t from 'tap';
import {Cell, QueuedGrantRequest} from '../admission/admissionState.js';
import {countAhead, insertGrantRequest} from '../admission/cellQueue.js';

/** Creates a grant request. */
function createGrantRequest(
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

t.test('a higher tier goes first despite a later deadline', async t => {
  const cell = createCell();
  // Under overload the alerts of an app have much earlier deadlines than
  // narratives, which have the highest tier.
  insertGrantRequest(cell, createGrantRequest('alert', 3, 1000));
  insertGrantRequest(cell, createGrantRequest('summary', 2, 2000));
  const narrative = createGrantRequest('narrative', 1, 9000);
  t.equal(countAhead(cell, narrative), 0);
  t.equal(insertGrantRequest(cell, narrative), 0);
  insertGrantRequest(cell, createGrantRequest('earlier', 1, 5000));
  t.strictSame(
    cell.queue.map(request => request.askId),
    ['earlier', 'narrative', 'summary', 'alert'],
  );
});
