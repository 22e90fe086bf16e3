export * from './disposableStore.js';
export * from './randomSource.js';
export * from './rankByKey.js';
