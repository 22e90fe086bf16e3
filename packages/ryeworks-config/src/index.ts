export * from './lists.js';
export * from './settings.js';
