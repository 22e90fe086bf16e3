export * from './engine/engineModel.js';
export * from './engine/startEngine.js';
export * from './pause/workPause.js';
export * from './platform/startPlatform.js';
export * from './proxy/faultProxy.js';
export * from './proxy/startFaultProxy.js';
export * from './rateLimit/namedRateLimit.js';
export * from './service/startService.js';
