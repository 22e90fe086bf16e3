/** One back end as the platform lists it. */
export interface Endpoint {
  readonly id: string;
  readonly service: string;
  /** `host:port`. */
  readonly address: string;
  readonly availabilityZone: string;
  /** Version of the endpoint's software. */
  readonly version: string;
  /** Requests that it runs at once. */
  readonly slots: number;
  /** Whether it announced that it is leaving. */
  readonly isDraining: boolean;
  /** When it started, in ms since 1970; 0 when unknown. */
  readonly startedAtMs: number;
  /** How much longer it stays slow after its start, in ms. */
  readonly coldForMs: number;
}
