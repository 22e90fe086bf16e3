export * from './disposableStore.js';
export * from './isUnsentError.js';
export * from './randomSource.js';
export * from './rankByKey.js';
