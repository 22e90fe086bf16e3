import {createDispatchState} from '@ryeworks/dispatch';
import {createLogger} from '@ryeworks/logger';
import {systemClock} from '@ryeworks/utils';
import {PassThrough} from 'node:stream';
import {setTimeout as sleep} from 'node:timers/promises';
import t from 'tap';
import {CallerServer} from '../callers/callerServer.js';
import {DispatchLoop, EffectHandlers} from '../core/dispatchLoop.js';
import {GracefulStop} from '../stop/gracefulStop.js';
import {testOptions} from './testOptions.js';

/** Starts a stop whose callers never close their connections. */
function createStop(
  graceMs: number,
  changes: object = {isUsed: true, stopListening: () => {}},
): GracefulStop {
  const state = createDispatchState(testOptions);
  const loop = new DispatchLoop(state, systemClock);
  const handlers = new Proxy({} as EffectHandlers, {get: () => () => {}});
  loop.start(handlers, () => {});
  t.teardown(() => loop.stop());
  const callerServer = Object.assign(changes, {
    startStopping: () => {},
    closeIdle: () => {},
  }) as unknown as CallerServer;
  const logger = createLogger({
    level: 'error',
    base: {},
    stream: new PassThrough(),
  });
  const clock = systemClock;
  const openRequests = new Map();
  const options = {callerServer, clock, logger, loop, openRequests, state};
  return new GracefulStop(options, graceMs);
}

// Guards against a stop that takes longer than the platform waits.
for (const [name, startMs, beforeMs, duringMs, wantedMs] of [
  ['shorter before', 2000, 500, 500, 500],
  ['longer before', 300, 600, 600, 600],
  ['shorter during', 2000, 2000, 500, 500],
  ['longer during', 600, 600, 2000, 600],
] as ReadonlyArray<[string, number, number, number, number]>) {
  t.test(`a grace period that gets ${name} the stop`, async t => {
    const stop = createStop(startMs);
    stop.applyGrace(beforeMs);
    const signalledMs = systemClock.readNowMs();
    const finished = stop.finishRequests(signalledMs);
    await sleep(100);
    stop.applyGrace(duringMs);
    await finished;
    const tookMs = systemClock.readNowMs() - signalledMs;
    t.ok(tookMs <= wantedMs && tookMs > wantedMs * 0.7, `${tookMs} ms`);
  });
}

// Guards against a stop that ends early, as all callers have left, and closes the
// connection of one that comes in that moment.
t.test('a request that arrives as a stop ends early is answered', async t => {
  const last = {
    isUsed: false,
    isAnswered: false,
    stopListening: () => {
      last.isUsed = true;
      setTimeout(() => {
        last.isUsed = false;
        last.isAnswered = true;
      }, 200);
    },
  };
  const stop = createStop(1000, last);
  await stop.finishRequests(systemClock.readNowMs());
  t.ok(last.isAnswered);
});
