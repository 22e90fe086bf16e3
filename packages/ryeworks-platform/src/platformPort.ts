/** Kinds of objects that the project keeps on the platform. */
export const objectKind = {
  /** `plans`, `allowances` and `moves`. */
  config: 'config',
  /** One for each endpoint, kept by the platform. */
  endpoint: 'endpoint',
  /** One for each entry VM, kept by the platform. */
  vm: 'vm',
  /** One for each zone: its VMs and the versions they have in force. */
  status: 'status',
  /** One for each zone that ever had an entry VM. */
  zone: 'zone',
} as const;

/** One of the object kinds. */
export type ObjectKind = (typeof objectKind)[keyof typeof objectKind];

/** One object. */
export interface PlatformObject {
  readonly name: string;
  /** Grows with each change of any object. */
  readonly version: number;
  readonly value: unknown;
}

/** All objects of a kind. */
export interface PlatformObjectList {
  /** Version of the last change of the kind. */
  readonly version: number;
  readonly items: readonly PlatformObject[];
}

/** What the project needs of the platform's object API. */
export interface PlatformPort {
  /** Returns an object; undefined when there is none. */
  getObject(
    kind: ObjectKind,
    name: string,
  ): Promise<PlatformObject | undefined>;
  /** Returns all objects of a kind. */
  listObjects(kind: ObjectKind): Promise<PlatformObjectList>;
  /**
   * Writes an object if its version is still the expected one; 0 expects none,
   * undefined takes any.
   * Returns the new version. Throws `VersionConflictError`, `PlatformError`
   * when nothing was written, or `PlatformAnswerLostError` when that is not
   * known.
   */
  putObject(
    kind: ObjectKind,
    name: string,
    value: unknown,
    expectedVersion: number | undefined,
  ): Promise<number>;
  /**
   * Returns all objects of a kind once its version is above `sinceVersion`;
   * undefined when that did not happen within the time.
   */
  watchObjects(
    kind: ObjectKind,
    sinceVersion: number,
    timeoutMs: number,
  ): Promise<PlatformObjectList | undefined>;
  /** Closes all connections. */
  close(): Promise<void>;
}
