/** Deployment size to design for, from the users' plan for the next two years. */
export const targetSize = {
  vms: 350,
  regions: 3,
  availabilityZones: 7,
  endpoints: 600,
  requestsPerSecond: 3500,
  tokensPerSecond: 1_100_000,
  customers: 1300,
  models: 8,
  changesPerDay: 740,
  vmFailuresPerDay: 5,
  vmRestartsPerDay: 260,
} as const;

/** Resources that the control plane may use on one VM. */
export const controlBudget = {
  /** Processor time, in ms per second: 1.6 % of a core. */
  cpuMsPerSecond: 16,
  /** Memory of the control plane's state, in bytes. */
  memoryBytes: 64_000_000,
  /** Bytes of peer traffic. */
  bytesPerSecond: 7000,
} as const;

/** Calls that the platform accepts. */
export const platformBudget = {
  writesPerSecond: 300,
  readsPerSecond: 2000,
} as const;
