import {listParsers} from '@ryeworks/config';
import {Logger} from '@ryeworks/logger';
import {
  ObjectKind,
  objectKind,
  PlatformObjectList,
  PlatformPort,
} from '@ryeworks/platform';
import {WriteDocument} from '@ryeworks/scheduler';
import {
  DocumentName,
  Endpoint,
  PlatformAnswerLostError,
  VersionConflictError,
  VmRecord,
  ZoneStatus,
} from '@ryeworks/types';
import {setTimeout as sleep} from 'node:timers/promises';
import {SchedulerLoop} from '../core/schedulerLoop.js';

/** Maximum time that one watch call waits for a change, in ms. */
const watchTimeoutMs = 2000;
/** Delay before a failed call is retried, in ms. */
const retryDelayMs = 500;
/** Kinds of objects read at the start and watched on behalf of the zone. */
const watchedKinds: readonly ObjectKind[] = [
  objectKind.config,
  objectKind.endpoint,
  objectKind.vm,
];

/** Reads and writes objects on the platform on behalf of the scheduler. */
export class PlatformWatcher {
  private isWatching = false;
  private isStopped = false;
  /** Version of the last list that was submitted, by kind of object. */
  private readonly versions = new Map<ObjectKind, number>();

  constructor(
    private readonly platform: PlatformPort,
    private readonly loop: SchedulerLoop,
    private readonly logger: Logger,
  ) {}

  /**
   * Starts to detect whether the zone is new and to read every watched kind of
   * object once, both with retries until the platform answers. Does not wait for
   * the results.
   */
  async start(availabilityZone: string): Promise<void> {
    void this.detectNewZone(availabilityZone);
    for (const kind of watchedKinds) void this.readWithRetries(kind);
  }

  /** Starts or stops watching the platform on behalf of the zone. */
  setWatching(watching: boolean): void {
    if (watching === this.isWatching) return;
    this.isWatching = watching;
    if (!watching) return;
    for (const kind of watchedKinds) void this.watch(kind);
  }

  /** Stops watching and retrying. */
  stop(): void {
    this.isStopped = true;
    this.isWatching = false;
  }

  /** Reads a document again, with all other objects of its kind. */
  async readDocument(name: DocumentName): Promise<void> {
    const kind = name === 'endpoints' ? objectKind.endpoint : objectKind.config;
    try {
      this.submitList(kind, await this.platform.listObjects(kind));
    } catch (error) {
      this.logger.warn('platform_read_failed', {kind, reason: `${error}`});
    }
  }

  /** Writes a document and reports the result to the scheduler. */
  async writeDocument(effect: WriteDocument): Promise<void> {
    const {callId, name, expectedVersion, contentJson} = effect;
    const content = JSON.parse(contentJson) as object;
    try {
      const version = await this.platform.putObject(
        objectKind.config,
        name,
        content,
        expectedVersion,
      );
      this.loop.submit({kind: 'documentRead', name, version, contentJson});
      this.loop.submit({kind: 'platformCallEnded', callId, result: 'ok'});
    } catch (error) {
      const result =
        error instanceof VersionConflictError
          ? 'conflict'
          : error instanceof PlatformAnswerLostError
            ? 'unknown'
            : 'failed';
      this.loop.submit({kind: 'platformCallEnded', callId, result});
    }
  }

  /** Writes the status of the zone. A failed write is logged, not retried. */
  async writeStatus(status: ZoneStatus): Promise<void> {
    const {availabilityZone} = status;
    const kind = objectKind.status;
    try {
      await this.platform.putObject(kind, availabilityZone, status, undefined);
    } catch (error) {
      this.logger.warn('platform_write_failed', {kind, reason: `${error}`});
    }
  }

  /**
   * Detects whether this is the first start of the zone ever, by creating its
   * zone object. If the object exists or the answer is lost, the zone does not
   * count as new.
   */
  private async detectNewZone(availabilityZone: string): Promise<void> {
    while (!this.isStopped) {
      try {
        await this.platform.putObject(objectKind.zone, availabilityZone, {}, 0);
        this.loop.submit({kind: 'newZoneDetected'});
        return;
      } catch (error) {
        if (error instanceof VersionConflictError) return;
        if (error instanceof PlatformAnswerLostError) return;
        await sleep(retryDelayMs);
      }
    }
  }

  private async readWithRetries(kind: ObjectKind): Promise<void> {
    while (!this.isStopped) {
      try {
        this.submitList(kind, await this.platform.listObjects(kind));
        return;
      } catch (error) {
        this.logger.warn('platform_read_failed', {kind, reason: `${error}`});
        await sleep(retryDelayMs);
      }
    }
  }

  private async watch(kind: ObjectKind): Promise<void> {
    while (this.isWatching) {
      try {
        const since = this.versions.get(kind) ?? 0;
        const list = await this.platform.watchObjects(
          kind,
          since,
          watchTimeoutMs,
        );
        if (list !== undefined) this.submitList(kind, list);
      } catch {
        await sleep(retryDelayMs);
      }
    }
  }

  /** Submits a list to the scheduler unless a newer one was read before. */
  private submitList(kind: ObjectKind, list: PlatformObjectList): void {
    const lastVersion = this.versions.get(kind) ?? 0;
    if (list.version < lastVersion) return;
    this.versions.set(kind, list.version);
    if (kind === objectKind.vm) this.submitVms(list);
    if (kind === objectKind.endpoint) this.submitEndpoints(list);
    if (kind === objectKind.config) this.submitConfig(list);
  }

  private submitVms(list: PlatformObjectList): void {
    const vms = list.items.map(item => item.value as VmRecord);
    this.loop.submit({kind: 'vmsListed', vms});
  }

  private submitEndpoints(list: PlatformObjectList): void {
    const endpoints = list.items.map(item => item.value as Endpoint);
    this.loop.submit({
      kind: 'documentRead',
      name: 'endpoints',
      version: list.version,
      contentJson: JSON.stringify({endpoints}),
    });
  }

  /**
   * Submits each document of a list. A document with invalid content is skipped
   * as a whole, and its last valid version remains applied.
   */
  private submitConfig(list: PlatformObjectList): void {
    for (const {name, version, value} of list.items) {
      const parseList = listParsers[name as keyof typeof listParsers];
      if (parseList === undefined) continue;
      const contentJson = JSON.stringify(value);
      try {
        parseList(contentJson, name);
      } catch (error) {
        const reason = (error as Error).message;
        this.logger.error('document_invalid', {name, version, reason});
        continue;
      }
      this.loop.submit({
        kind: 'documentRead',
        name: name as DocumentName,
        version,
        contentJson,
      });
    }
  }
}
