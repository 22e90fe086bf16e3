import t from 'tap';
import {
  createPrometheusMetrics,
  PrometheusMetricsOptions,
} from '../createPrometheusMetrics.js';

/** Creates metrics whose errors are collected. */
function createMetrics(options: Partial<PrometheusMetricsOptions>) {
  const errors: Error[] = [];
  const metrics = createPrometheusMetrics({
    counterLabels: {},
    histogramLabels: {},
    reportError: error => errors.push(error),
    ...options,
  });
  return {errors, metrics};
}

t.test('counters and histograms are formatted as text', async t => {
  const {metrics} = createMetrics({
    counterLabels: {requests: ['tier']},
    histogramLabels: {request_ms: ['tier']},
  });
  metrics.count('requests', {tier: '0'});
  metrics.count('requests', {tier: '0'});
  metrics.observe('request_ms', {tier: '0'}, 30);
  t.match(await metrics.format(), /ryeworks_requests_total\{tier="0"\} 2/);
  metrics.count('requests', {tier: '0'});
  const text = await metrics.format();
  t.match(text, /ryeworks_requests_total\{tier="0"\} 3/);
  t.match(text, /ryeworks_request_ms_count\{tier="0"\} 1/);
});

t.test('no observed time is lost before the metrics are requested', async t => {
  const {metrics} = createMetrics({histogramLabels: {request_ms: ['tier']}});
  for (let index = 0; index < 5000; index++) {
    metrics.observe('request_ms', {tier: '1'}, index % 100);
  }
  const text = await metrics.format();
  t.match(text, /ryeworks_request_ms_count\{tier="1"\} 5000/);
});

// Guards against a gauge that keeps the value of its first reading.
t.test('gauges are read at each request', async t => {
  let value = 1;
  const {metrics} = createMetrics({gaugeReaders: {held_bytes: () => value}});
  t.match(await metrics.format(), /^ryeworks_held_bytes 1$/m);
  value = 2;
  t.match(await metrics.format(), /^ryeworks_held_bytes 2$/m);
});

// Guards against an end of the process because the metrics' library is missing.
t.test('a library that cannot be loaded is reported', async t => {
  let isMissing = true;
  const {errors, metrics} = createMetrics({
    histogramLabels: {request_ms: ['tier']},
    loadClient: async () => {
      if (isMissing) throw new Error('cannot load');
      return (await import('prom-client')).default;
    },
  });
  const observeMany = () => {
    for (let index = 0; index < 2500; index++) {
      metrics.observe('request_ms', {tier: '1'}, 1);
    }
  };
  observeMany();
  await new Promise(resolve => setImmediate(resolve));
  t.match(errors, [{message: 'cannot load'}]);
  await t.rejects(metrics.format(), {message: 'cannot load'});
  isMissing = false;
  observeMany();
  t.match(await metrics.format(), /ryeworks_request_ms_count\{tier="1"\} 2500/);
});

// Guards against one wrong series that ends the process or hides all others.
t.test('a series with unknown labels loses no other series', async t => {
  const {errors, metrics} = createMetrics({
    counterLabels: {requests: ['tier'], retries: ['tier']},
  });
  metrics.count('requests', {zone: 'a'});
  metrics.count('retries', {tier: '0'});
  t.match(await metrics.format(), /ryeworks_retries_total\{tier="0"\} 1/);
  t.equal(errors.length, 1);
});
