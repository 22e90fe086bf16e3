import t from 'tap';
import {stopSignals} from '../signals/stopSignals.js';

// Guards against a signal that comes before there is anything to stop, or again.
t.test('the first signal stops what runs, even later', async t => {
  const stops: number[] = [];
  t.notOk(stopSignals.isStopRequested);
  process.emit('SIGTERM');
  t.ok(stopSignals.isStopRequested);
  stopSignals.handleWith(signalledAtMs => stops.push(signalledAtMs));
  process.emit('SIGINT');
  process.emit('SIGTERM');
  t.equal(stops.length, 1);
});
