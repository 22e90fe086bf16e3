export * from './createGateway.js';
export * from './deploymentInterfaces.js';
export * from './gatewaySettings.js';
export * from './settings/settingsEffects.js';
