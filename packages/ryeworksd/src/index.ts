export * from './createEntryProcess.js';
