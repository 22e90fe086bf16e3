import t from 'tap';
import {AnswerRegistry} from '../answers/answerRegistry.js';
import {AnswerSink} from '../answers/answerSink.js';
import {OpenRequest} from '../answers/openRequests.js';
import {createEffectHandlers, EffectContext} from '../createEffectHandlers.js';

/** Bytes that the cache holds, and of the one answer. */
const cacheBytes = 100;
const answerBytes = 60;

/** Sends an answer through a sink. */
function sendAnswer(sink: AnswerSink): void {
  sink.writeHead(200, 'text/plain');
  sink.writeBody(Buffer.alloc(answerBytes));
  sink.end();
}

/** Lets a retry get the answer of a VM; returns that VM's registry. */
function attachRetry(holder: string): AnswerRegistry {
  const answers = new AnswerRegistry(cacheBytes, 60_000);
  if (holder === 'vm-1') sendAnswer(answers.create('first', true));
  const answer = answers.create('retry', true);
  const context: Partial<EffectContext> = {
    vm: 'vm-1',
    answers,
    openRequests: new Map([['retry', {answer} as OpenRequest]]),
    peerClient: {
      attach: async (_address: string, _id: string, sink: AnswerSink) =>
        sendAnswer(sink),
    } as never,
    logger: {} as never,
    metrics: {} as never,
  };
  const {attachAnswer} = createEffectHandlers(context as EffectContext);
  attachAnswer({
    kind: 'attachAnswer',
    requestId: 'retry',
    holder,
    holderAddress: 'vm-2:1',
    holderRequestId: 'first',
  });
  return answers;
}

// Guards against answers that a copy for a retry drives out of the cache.
t.test('the answer to a retry is kept at its holder only', async t => {
  for (const holder of ['vm-1', 'vm-2']) {
    const answers = attachRetry(holder);
    t.teardown(() => answers.dispose());
    t.equal(answers.find('retry'), undefined, holder);
    t.equal(answers.find('first') !== undefined, holder === 'vm-1', holder);
  }
});
