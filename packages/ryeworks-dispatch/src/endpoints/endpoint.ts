/** A back end as listed by the platform. */
export interface Endpoint {
  readonly id: string;
  readonly service: string;
  /** `host:port`. */
  readonly address: string;
  readonly availabilityZone: string;
  /** Version of the software that the endpoint runs. */
  readonly version: string;
  /** Number of requests that it can run concurrently. */
  readonly slots: number;
  /** Whether it has announced that it is shutting down. */
  readonly isDraining: boolean;
  /** When it started, in ms since 1970; 0 if unknown. */
  readonly startedAtMs: number;
  /** Remaining time for which it is slow after its start, in ms. */
  readonly coldForMs: number;
}
