export * from './createGateway.js';
export * from './deploymentPort.js';
export * from './gatewaySettings.js';
