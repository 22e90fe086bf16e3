/** Status report of an availability zone to the platform. */
export interface ZoneStatus {
  readonly availabilityZone: string;
  /** Wall-clock time of the report, in ms since 1970. */
  readonly atMs: number;
  readonly vms: readonly {
    readonly vm: string;
    readonly status: string;
    /** Version of each document that the VM has applied. */
    readonly documents: Readonly<Record<string, number>>;
  }[];
}
