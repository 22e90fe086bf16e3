export * from './createLogger.js';
export * from './createMetrics.js';
