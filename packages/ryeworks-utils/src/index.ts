export * from './disposableStore.js';
export * from './isUnsentError.js';
export * from './randomSource.js';
export * from './rankByKey.js';
export * from './timerQueue.js';
export * from './sequentialTest.js';
export * from './callHttp.js';
export * from './clock.js';
