import {
  DeploymentStore,
  AnnouncedVm,
  StoreItem,
  StoreKind,
} from '../deploymentInterfaces.js';

/** Time that one watch waits for a change, by kind, in ms. */
const watchTimeoutMs = {
  desiredState: 2000,
  endpoint: 2000,
  move: 4000,
} as const;
/** First and longest pause after a failed call, in ms. */
const firstPauseMs = 100;
const longestPauseMs = 800;
/** Time after which the VMs are listed once more, in ms. */
const relistVmsMs = 3000;

/** A kind that is followed. */
type WatchedKind = keyof typeof watchTimeoutMs;

/** Takes objects of one kind. */
type ItemsHandler<K extends StoreKind> = (
  items: ReadonlyArray<StoreItem<K>>,
) => void;

/** Takes objects of each kind. */
type ItemsHandlers = {readonly [K in StoreKind]: ItemsHandler<K>};

/** Takes what the store says. */
export interface StoreHandlers {
  /** Takes all objects of a kind. */
  readonly replace: ItemsHandlers;
  /** Takes the objects of a kind that changed. */
  readonly change: ItemsHandlers;
  /** Called when all news up to a revision were handed over. */
  handleRevision(revision: number): void;
  /** Called when calls to the store begin or cease to get answers. */
  handleReachability(isReached: boolean): void;
  /** Reports what cannot be read or done. */
  handleWarning(event: string, detail: string): void;
}

/** Where the following of one kind stands. */
interface WatchPosition {
  /** Undefined: all objects are to be listed. */
  revision: number | undefined;
}

/** Follows the platform's store with a watch for each kind of object. */
export class StoreWatcher {
  private isStopped = false;
  private isWatching = true;
  /** Called when this VM is to watch again. */
  private readonly waiters: Array<() => void> = [];
  private readonly timers = new Set<NodeJS.Timeout>();

  constructor(
    private readonly store: DeploymentStore,
    private readonly handlers: StoreHandlers,
  ) {}

  /** Follows every kind and announces this VM. */
  start(self: AnnouncedVm): void {
    void this.watchKind('desiredState');
    void this.watchKind('endpoint');
    void this.watchKind('move');
    void this.announceVm(self);
  }

  /** Begins or ends the watches; a call that waits is left to end. */
  setWatching(isOnDuty: boolean): void {
    this.isWatching = isOnDuty;
    if (isOnDuty) this.notifyWaiters();
  }

  /** Follows no more. */
  stop(): void {
    this.isStopped = true;
    for (const timer of this.timers) clearTimeout(timer);
    this.notifyWaiters();
  }

  /** Waits until this VM is to watch again, or is stopped. */
  private waitUntilWatching(): Promise<void> {
    return new Promise(resolve => this.waiters.push(resolve));
  }

  private notifyWaiters(): void {
    for (const wake of this.waiters.splice(0)) wake();
  }

  /** Repeats a step while it fails and is wanted, with growing pauses. */
  private async retry(
    name: string,
    step: () => Promise<void>,
    isWanted: () => boolean = () => true,
  ): Promise<void> {
    let pauseMs = firstPauseMs;
    while (!this.isStopped && isWanted()) {
      try {
        await step();
        return;
      } catch (error) {
        if (this.isStopped) return;
        this.handlers.handleReachability(false);
        const detail = `${name}: ${(error as Error).message}`;
        this.handlers.handleWarning('store_call_failed', detail);
        await this.sleep(pauseMs);
        pauseMs = Math.min(longestPauseMs, pauseMs * 2);
      }
    }
  }

  private async watchKind<K extends WatchedKind>(kind: K): Promise<void> {
    const position: WatchPosition = {revision: undefined};
    while (!this.isStopped) {
      if (!this.isWatching) {
        // What a peer told meanwhile may be newer: begin with a list.
        position.revision = undefined;
        await this.waitUntilWatching();
        continue;
      }
      await this.retry(
        `follow ${kind}`,
        () => this.listOrWatch(kind, position),
        () => this.isWatching,
      );
    }
  }

  /** Lists a kind, or waits for its next change. */
  private async listOrWatch<K extends WatchedKind>(
    kind: K,
    position: WatchPosition,
  ): Promise<void> {
    const {change, replace} = this.handlers;
    if (position.revision === undefined) {
      const listing = await this.store.list(kind);
      if (this.isStopped || !this.isWatching) return;
      this.handlers.handleReachability(true);
      this.reportUnreadableItems(listing.items);
      replace[kind](listing.items);
      position.revision = listing.revision;
      this.reportRevision(kind, listing.revision);
      return;
    }
    const waitMs = watchTimeoutMs[kind];
    const changes = await this.store.watch(kind, position.revision, waitMs);
    // Off duty, a peer may have told of something newer meanwhile.
    if (this.isStopped || !this.isWatching) return;
    this.handlers.handleReachability(true);
    if (changes === undefined) {
      this.handlers.handleWarning('store_history_gone', kind);
      position.revision = undefined;
      return;
    }
    position.revision = changes.revision;
    if (changes.items.length === 0) return;
    this.reportUnreadableItems(changes.items);
    change[kind](changes.items);
    this.reportRevision(kind, changes.revision);
  }

  /** Reports the revision of what peers may ask for. */
  private reportRevision(kind: WatchedKind, revision: number): void {
    if (kind !== 'desiredState') this.handlers.handleRevision(revision);
  }

  private reportUnreadableItems(
    items: ReadonlyArray<StoreItem<StoreKind>>,
  ): void {
    for (const {name, decodeError} of items) {
      if (decodeError === undefined) continue;
      const detail = `${name}: ${decodeError}`;
      this.handlers.handleWarning('store_object_unreadable', detail);
    }
  }

  /** Announces this VM and lists the others, once more a little later. */
  private async announceVm(self: AnnouncedVm): Promise<void> {
    await this.retry('announce', () => this.store.announceVm(self));
    await this.retry('list VMs', () => this.listVms());
    await this.sleep(relistVmsMs);
    await this.retry('list VMs', () => this.listVms());
  }

  private async listVms(): Promise<void> {
    const {items} = await this.store.list('vm');
    this.handlers.replace.vm(items);
  }

  private sleep(delayMs: number): Promise<void> {
    return new Promise(resolve => {
      const timer = setTimeout(() => {
        this.timers.delete(timer);
        resolve();
      }, delayMs);
      this.timers.add(timer);
    });
  }
}
