const utils = 'packages/ryeworks-utils/dist';
const gateway = 'packages/ryeworks-gateway/dist';
const entry = 'packages/ryeworksd/dist';

/** Mutations of the shells around the decision cores; see `proofMutations`. */
export const shellMutations = [
  {
    promise: 'a request sent ahead is not begun before its turn',
    file: `${utils}/requestQueue.js`,
    from: /if \(this\.current === undefined\) \{\s+this\.start/,
    to: 'if (true) {\n            this.start',
    test: `${utils}/__tests__/requestQueue.test.js`,
  },
  {
    promise: 'what a caller sends ahead is bounded',
    file: `${utils}/requestQueue.js`,
    from: /\|\| this\.waitingBytes > maxAheadBytes/,
    to: '',
    test: `${utils}/__tests__/requestQueue.test.js`,
  },
  {
    promise: 'no request sent ahead begins behind the last answer of a stop',
    file: `${utils}/requestQueue.js`,
    from: /if \(!this\.socket\.writable\) \{/,
    to: 'if (false) {',
    test: `${utils}/__tests__/requestQueue.test.js`,
  },
  {
    promise: 'a stop keeps to a grace period that has changed',
    file: `${gateway}/stop/gracefulStop.js`,
    from: /this\.graceMs = graceMs;\s+this\.graceFrom = graceSource\.change;/,
    to: 'this.graceFrom = graceSource.change;',
    test: `${gateway}/__tests__/gracefulStop.test.js`,
  },
  {
    promise: 'a stop does not become longer than the platform has said',
    file: `${gateway}/stop/gracefulStop.js`,
    from: /isStopping && graceMs > this\.graceMs/,
    to: 'false',
    test: `${gateway}/__tests__/gracefulStop.test.js`,
  },
  {
    promise: 'a signal to stop that comes early is kept',
    file: `${entry}/signals/stopSignals.js`,
    from: /if \(this\.signalledAtMs !== undefined\)\s+stop\(this\.signalledAtMs\);/,
    to: '',
    test: `${entry}/__tests__/stopSignals.test.js`,
  },
  {
    promise: 'no large body is begun while memory is short',
    file: `${gateway}/callers/readBody.js`,
    from: /return !this\.budget\.isShort && /,
    to: 'return true || ',
    test: `${gateway}/__tests__/readBody.test.js`,
  },
  {
    promise: 'bodies near the limit are read one after the other',
    file: `${gateway}/callers/readBody.js`,
    from: /if \(!this\.budget\.canHoldLarge\(rest\)\)/,
    to: 'if (true)',
    test: `${gateway}/__tests__/readBody.test.js`,
  },
  {
    promise: 'no connection is closed while its request is being answered',
    file: `${gateway}/callers/connectionLimits.js`,
    from: /if \(this\.options\.isAnswering\(connection\)\)\s+continue;/,
    to: '',
    test: `${gateway}/__tests__/connectionLimits.test.js`,
  },
  {
    promise: 'the progress of a caller is measured in bytes per second',
    file: `${gateway}/callers/connectionLimits.js`,
    from: /bytes \* 1000 < durationMs \* minBytesPerSecond/,
    to: 'bytes === 0',
    test: `${gateway}/__tests__/connectionLimits.test.js`,
  },
  {
    promise: 'bodies of small chunks are read a few at a time',
    file: `${gateway}/callers/smallChunkLimits.js`,
    from: /if \(ahead >= maxReading\)\s+return false;/,
    to: '',
    test: `${gateway}/__tests__/connectionLimits.test.js`,
  },
  {
    promise: 'requests that are received together are parsed one by one',
    file: `${gateway}/callers/socketInlet.js`,
    from: /return at < 0 \? piece\.length : at \+ headEnd\.length;/,
    to: 'return piece.length;',
    test: `${gateway}/__tests__/socketInlet.test.js`,
  },
];
