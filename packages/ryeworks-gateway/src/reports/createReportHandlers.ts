import {Logger, PrometheusMetrics} from '@ryeworks/logger';
import {EffectHandlers} from '../core/dispatchLoop.js';

/** Creates the effect handlers for counters, histograms and logs. */
export function createReportHandlers(
  logger: Logger,
  metrics: PrometheusMetrics,
): Pick<EffectHandlers, 'count' | 'observe' | 'log'> {
  return {
    count: ({labels, name}) => metrics.count(name, labels),
    observe: ({labels, name, valueMs}) =>
      metrics.observe(name, labels, valueMs),
    log: ({event, fields}) => logger.info(event, fields),
  };
}
