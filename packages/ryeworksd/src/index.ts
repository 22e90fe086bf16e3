export * from './answers/answerRegistry.js';
export * from '@ryeworks/utils';
export * from './core/schedulerLoop.js';
export * from './createEntryProcess.js';
export * from './peers/createPeerServer.js';
export * from './peers/peerClient.js';
