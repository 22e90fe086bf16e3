import {
  AnnouncedVm,
  DeploymentStore,
  StoreItem,
  StoreKind,
} from '../deploymentInterfaces.js';

/** Maximum time that one watch call waits for a change, by kind, in ms. */
const watchTimeoutMs = {
  desiredState: 2000,
  endpoint: 2000,
  move: 4000,
} as const;
/** First and longest delay before a failed call is retried, in ms. */
const firstRetryDelayMs = 100;
const maxRetryDelayMs = 800;
/** Delay until the VMs are listed a second time, in ms. */
const relistVmsMs = 3000;

/** A kind of object that is watched. */
type WatchedKind = keyof typeof watchTimeoutMs;

/** Handles objects of one kind. */
type ItemsHandler<K extends StoreKind> = (
  items: ReadonlyArray<StoreItem<K>>,
) => void;

/** A handler for each kind of object. */
type ItemsHandlers = {readonly [K in StoreKind]: ItemsHandler<K>};

/** Handlers for the objects and the state of the store. */
export interface StoreHandlers {
  /** Called with all objects of a kind. */
  readonly replace: ItemsHandlers;
  /** Called with the objects of a kind that changed. */
  readonly change: ItemsHandlers;
  /**
   * Called when all objects of a kind up to a revision were handled. Not called
   * for the desired state.
   */
  handleRevision(revision: number): void;
  /** Called with true after a list or watch, and with false if a call fails. */
  handleReachability(isReachable: boolean): void;
  /** Called when an object cannot be decoded or a call fails. */
  handleWarning(event: string, detail: string): void;
}

/** Progress of the watch of one kind. */
interface WatchPosition {
  /** Revision to watch from; undefined if all objects must be listed first. */
  revision: number | undefined;
}

/** Watches the platform's store, with one watch for each kind of object. */
export class StoreWatcher {
  private isStopped = false;
  private isWatching = true;
  /** Resolve the promises of `waitUntilWatching`. */
  private readonly waiters: Array<() => void> = [];
  private readonly timers = new Set<NodeJS.Timeout>();

  constructor(
    private readonly store: DeploymentStore,
    private readonly handlers: StoreHandlers,
  ) {}

  /** Starts to watch every kind and announces this VM. */
  start(ownVm: AnnouncedVm): void {
    void this.watchKind('desiredState');
    void this.watchKind('endpoint');
    void this.watchKind('move');
    void this.announceVm(ownVm);
  }

  /**
   * Resumes or suspends the watches. While they are suspended, this VM gets the
   * contents of the store from its peers. A call in progress is not canceled, but
   * a result that arrives while the watches are suspended is discarded.
   */
  setWatching(isWatching: boolean): void {
    this.isWatching = isWatching;
    if (isWatching) this.notifyWaiters();
  }

  /** Stops all watches. */
  stop(): void {
    this.isStopped = true;
    for (const timer of this.timers) clearTimeout(timer);
    this.notifyWaiters();
  }

  /** Waits until the watches are resumed or the watcher is stopped. */
  private waitUntilWatching(): Promise<void> {
    return new Promise(resolve => this.waiters.push(resolve));
  }

  private notifyWaiters(): void {
    for (const notify of this.waiters.splice(0)) notify();
  }

  /**
   * Runs an operation and retries it with increasing delays until it succeeds,
   * `isNeeded` returns false or the watcher is stopped.
   */
  private async retry(
    name: string,
    operation: () => Promise<void>,
    isNeeded: () => boolean = () => true,
  ): Promise<void> {
    let delayMs = firstRetryDelayMs;
    while (!this.isStopped && isNeeded()) {
      try {
        await operation();
        return;
      } catch (error) {
        if (this.isStopped) return;
        this.handlers.handleReachability(false);
        const detail = `${name}: ${(error as Error).message}`;
        this.handlers.handleWarning('store_call_failed', detail);
        await this.sleep(delayMs);
        delayMs = Math.min(maxRetryDelayMs, delayMs * 2);
      }
    }
  }

  private async watchKind<K extends WatchedKind>(kind: K): Promise<void> {
    const position: WatchPosition = {revision: undefined};
    while (!this.isStopped) {
      if (!this.isWatching) {
        // A peer may have sent a newer state meanwhile: start with a list.
        position.revision = undefined;
        await this.waitUntilWatching();
        continue;
      }
      await this.retry(
        `watch ${kind}`,
        () => this.listOrWatch(kind, position),
        () => this.isWatching,
      );
    }
  }

  /** Lists all objects of a kind, or waits for the next change. */
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
    // While the watches are suspended, a peer may have sent a newer state.
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

  /**
   * Reports the revision of the objects that peers fetch as the store view. The
   * desired state is not part of it.
   */
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

  /** Announces this VM, then lists all VMs twice with a delay in between. */
  private async announceVm(ownVm: AnnouncedVm): Promise<void> {
    await this.retry('announce VM', () => this.store.announceVm(ownVm));
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
