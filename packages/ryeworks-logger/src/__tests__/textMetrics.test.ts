import t from 'tap';
import {createTextMetrics} from '../createTextMetrics.js';

t.test('counters and histograms are served as text', async t => {
  const metrics = createTextMetrics(
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

t.test('no time is lost before somebody asks', async t => {
  const metrics = createTextMetrics({}, {request_ms: ['tier']});
  for (let index = 0; index < 5000; index++) {
    metrics.observe('request_ms', {tier: '1'}, index % 100);
  }
  const text = await metrics.format();
  t.match(text, /ryeworks_request_ms_count\{tier="1"\} 5000/);
});
