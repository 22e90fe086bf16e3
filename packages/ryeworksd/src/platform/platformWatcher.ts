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
import {SchedulerLoop} from '../core/schedulerLoop.js';

/** Time that one watch call waits for a change, in ms. */
const watchTimeoutMs = 2000;
/** Time before a failed call is made again, in ms. */
const retryDelayMs = 500;
/** Watches that a VM makes when it watches for its zone. */
const watchedKinds: readonly ObjectKind[] = [
  objectKind.config,
  objectKind.endpoint,
  objectKind.vm,
];

/** Reads documents from the platform for the scheduler, and writes them. */
export class PlatformWatcher {
  private isWatching = false;
  private isStopped = false;
  private readonly versions = new Map<ObjectKind, number>();

  constructor(
    private readonly platform: PlatformPort,
    private readonly loop: SchedulerLoop,
    private readonly logger: Logger,
  ) {}

  /** Reads everything once, trying until the platform or a peer answers. */
  async start(availabilityZone: string): Promise<void> {
    void this.detectNewZone(availabilityZone);
    for (const kind of watchedKinds) void this.readWithRetries(kind);
  }

  /** Starts or ends to watch for the zone. */
  setWatching(watching: boolean): void {
    if (watching === this.isWatching) return;
    this.isWatching = watching;
    if (!watching) return;
    for (const kind of watchedKinds) void this.watch(kind);
  }

  /** Ends all work. */
  stop(): void {
    this.isStopped = true;
    this.isWatching = false;
  }

  /** Reads one document again. */
  async readDocument(name: DocumentName): Promise<void> {
    const kind = name === 'endpoints' ? objectKind.endpoint : objectKind.config;
    try {
      this.submitList(kind, await this.platform.listObjects(kind));
    } catch (error) {
      this.logger.warn('platform_read_failed', {kind, reason: `${error}`});
    }
  }

  /** Writes a document; the scheduler hears how it ended. */
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

  /** Writes the status of the zone; one that fails is left out. */
  async writeStatus(status: ZoneStatus): Promise<void> {
    const {availabilityZone} = status;
    const kind = objectKind.status;
    try {
      await this.platform.putObject(kind, availabilityZone, status, undefined);
    } catch (error) {
      this.logger.warn('platform_write_failed', {kind, reason: `${error}`});
    }
  }

  /** Learns whether this is the first start of the zone ever. */
  private async detectNewZone(availabilityZone: string): Promise<void> {
    while (!this.isStopped) {
      try {
        await this.platform.putObject(objectKind.zone, availabilityZone, {}, 0);
        this.loop.submit({kind: 'newZoneDetected'});
        return;
      } catch (error) {
        if (error instanceof VersionConflictError) return;
        if (error instanceof PlatformAnswerLostError) return;
        await this.sleep(retryDelayMs);
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
        await this.sleep(retryDelayMs);
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
        await this.sleep(retryDelayMs);
      }
    }
  }

  /** Gives what was read to the scheduler. */
  private submitList(kind: ObjectKind, list: PlatformObjectList): void {
    const known = this.versions.get(kind) ?? 0;
    if (list.version < known) return;
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

  /** Content that is not valid is left out whole; the last one stays. */
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

  private sleep(delayMs: number): Promise<void> {
    return new Promise(resolve => setTimeout(resolve, delayMs));
  }
}
