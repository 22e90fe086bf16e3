import {ErrorKind} from '@ryeworks/types';
import t from 'tap';
import {createAnswerHandlers} from '../callers/createAnswerHandlers.js';

// Guards against a caller that waits for ever, because the failure that it is to
// get is not there.
t.test('a failure that is not there is answered as unknown', t => {
  const sent: ErrorKind[] = [];
  const openRequest = {
    heldFailure: undefined,
    hasStarted: false,
    sendError: (kind: ErrorKind) => sent.push(kind),
  };
  const openRequests = new Map([['7', openRequest]]);
  const handlers = createAnswerHandlers({openRequests} as never);
  handlers.forwardFailure({kind: 'forwardFailure', requestId: '7'});
  t.same(sent, ['outcomeUnknown']);
  t.end();
});
