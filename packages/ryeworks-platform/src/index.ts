export * from './createHttpPlatform.js';
export * from './platformPort.js';
