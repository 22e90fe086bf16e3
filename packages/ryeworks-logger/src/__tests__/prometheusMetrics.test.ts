import t from 'tap';
import {createPrometheusMetrics} from '../createPrometheusMetrics.js';

t.test('counters and histograms are formatted as text', async t => {
  const metrics = createPrometheusMetrics(
    {requests: ['tier']},
    {request_ms: ['tier']},
  );
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
  const metrics = createPrometheusMetrics({}, {request_ms: ['tier']});
  for (let index = 0; index < 5000; index++) {
    metrics.observe('request_ms', {tier: '1'}, index % 100);
  }
  const text = await metrics.format();
  t.match(text, /ryeworks_request_ms_count\{tier="1"\} 5000/);
});

// Guards against a gauge that keeps the value of its first reading.
t.test('gauges are read at each request', async t => {
  let value = 1;
  const metrics = createPrometheusMetrics({}, {}, {held_bytes: () => value});
  t.match(await metrics.format(), /^ryeworks_held_bytes 1$/m);
  value = 2;
  t.match(await metrics.format(), /^ryeworks_held_bytes 2$/m);
});
