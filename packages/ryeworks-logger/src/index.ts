export * from './createLogger.js';
export * from './createMetrics.js';
export * from './boundedLineStream.js';
export * from './createPrometheusMetrics.js';
