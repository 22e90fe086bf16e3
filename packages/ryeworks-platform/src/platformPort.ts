/** Kinds of objects that are stored on the platform. */
export const objectKind = {
  /** The documents `plans`, `allowances` and `moves`. */
  config: 'config',
  /** One object per endpoint, maintained by the platform. */
  endpoint: 'endpoint',
  /** One object per entry VM, maintained by the platform. */
  vm: 'vm',
  /** One object per zone: its VMs and their applied document versions. */
  status: 'status',
  /** One object per zone that has ever had an entry VM. */
  zone: 'zone',
} as const;

/** One of the object kinds. */
export type ObjectKind = (typeof objectKind)[keyof typeof objectKind];

/** A stored object. */
export interface PlatformObject {
  readonly name: string;
  /**
   * Version of the object's last change. Versions come from one counter, which
   * every change of any object increases.
   */
  readonly version: number;
  readonly value: unknown;
}

/** All objects of a kind. */
export interface PlatformObjectList {
  /** Version of the last change of the kind. */
  readonly version: number;
  readonly items: readonly PlatformObject[];
}

/** The part of the platform's object API that this project uses. */
export interface PlatformPort {
  /** Returns an object; undefined if it does not exist. */
  getObject(
    kind: ObjectKind,
    name: string,
  ): Promise<PlatformObject | undefined>;
  /** Returns all objects of a kind. */
  listObjects(kind: ObjectKind): Promise<PlatformObjectList>;
  /**
   * Writes an object if its current version is the expected one. With 0 the
   * object must not exist; with undefined the write is unconditional.
   * Returns the new version. Throws `VersionConflictError`, `PlatformError` if
   * nothing was written, or `PlatformAnswerLostError` if that is unknown.
   */
  putObject(
    kind: ObjectKind,
    name: string,
    value: unknown,
    expectedVersion: number | undefined,
  ): Promise<number>;
  /**
   * Waits until the version of a kind is above `sinceVersion`, then returns all
   * of its objects; returns undefined on timeout.
   */
  watchObjects(
    kind: ObjectKind,
    sinceVersion: number,
    timeoutMs: number,
  ): Promise<PlatformObjectList | undefined>;
  /** Closes all connections. */
  close(): Promise<void>;
}
