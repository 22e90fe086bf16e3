export * from './deployment/deployment.js';
export * from './deployment/deploymentPlan.js';
