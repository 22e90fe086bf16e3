import {StorePosition} from '@ryeworks/dispatch';
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
  evacuation: 2000,
} as const;
/**
 * The same time for the first watch after a failed call, in ms. Its answer tells
 * at once whether the store is in another era.
 */
const firstWatchTimeoutMs = 1;
/** First and longest delay before a failed call is retried, in ms. */
const firstRetryDelayMs = 100;
const maxRetryDelayMs = 800;
/** Delay until the VMs are listed a second time, in ms. */
const relistVmsMs = 3000;

/**
 * Longest wait of the first watches for the list of VMs, in ms. Only with it can
 * be told whether this VM has to watch at all.
 */
const maxVmListWaitMs = 500;
/** Time for the core to decide that, once the VMs are listed, in ms. */
const watchDecisionMs = 20;

/** A kind of object that is watched. */
type WatchedKind = keyof typeof watchTimeoutMs;

/** Handles objects of one kind that were read in an era of the store. */
type ItemsHandler<K extends StoreKind> = (
  items: ReadonlyArray<StoreItem<K>>,
  era: number,
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
   * Called with the era of each list, before its objects, and of each announcement
   * of this VM.
   */
  handleEra(era: number): void;
  /**
   * Called when all objects of a kind up to a position were handled, with the
   * positions up to which the move orders and the evacuations were, the latter only
   * if they are watched and listed. Not called for the desired state, nor before the
   * endpoints and the orders were listed in the position's era.
   */
  handlePosition(
    position: StorePosition,
    ordersPosition: StorePosition,
    evacuationsPosition?: StorePosition,
  ): void;
  /** Called with true after a list or watch, and with false if a call fails. */
  handleReachability(isReachable: boolean): void;
  /** Returns whether this VM hears from at least one peer. */
  hasReportingPeers(): boolean;
  /** Called when an object cannot be decoded or a call fails. */
  handleWarning(event: string, detail: string): void;
}

/** Progress of the watch of one kind. */
interface WatchProgress {
  /** Where to watch from; undefined if all objects must be listed first. */
  position: StorePosition | undefined;
  /** Whether the last call failed. */
  hasFailed: boolean;
}

/** Watches the platform's store, with one watch for each kind of object. */
export class StoreWatcher {
  private isStopped = false;
  private isWatching = true;
  /** Resolve the promises of `waitUntilWatching`. */
  private readonly waiters: Array<() => void> = [];
  private readonly timers = new Set<NodeJS.Timeout>();
  /** Latest handled position of each kind of objects of the store view. */
  private readonly handledPositions = new Map<WatchedKind, StorePosition>();
  /** Settled when the first watches may start. */
  private mayWatch: Promise<void> = Promise.resolve();
  /** This VM as announced; undefined before the start. */
  private ownVm: AnnouncedVm | undefined;

  constructor(
    private readonly store: DeploymentStore,
    private readonly handlers: StoreHandlers,
    /** Whether the deployment has evacuations; each watch costs the store calls. */
    private readonly hasEvacuations = false,
  ) {}

  /** Starts to watch every kind and announces this VM. */
  start(ownVm: AnnouncedVm): void {
    this.ownVm = ownVm;
    const isListed = new Promise<void>(resolve => {
      void this.announceVm(ownVm, resolve);
    });
    this.mayWatch = Promise.race([
      isListed.then(() => this.sleep(watchDecisionMs)),
      this.sleep(maxVmListWaitMs),
    ]);
    void this.watchKind('desiredState');
    void this.watchKind('endpoint');
    void this.watchKind('move');
    if (this.hasEvacuations) void this.watchKind('evacuation');
    void this.retry('list crash reports', () => this.listCrashReports());
  }

  /**
   * Lists the crash reports of earlier processes, once: peers tell later ones. What
   * the store returns may be some seconds old, as reports last for minutes.
   */
  private async listCrashReports(): Promise<void> {
    const {items, position} = await this.store.list('crashReports', true);
    this.reportUnreadableItems(items);
    this.handlers.replace.crashReports(items, position.era);
  }

  /**
   * Announces this VM once more and lists the others, since the store may have
   * lost their entries.
   */
  announceAgain(): void {
    if (this.ownVm !== undefined) void this.announceVm(this.ownVm);
  }

  /**
   * Resumes or suspends the watches. While they are suspended, this VM gets the
   * contents of the store from its peers. A call in progress is not canceled, but
   * a result that arrives while the watches are suspended is discarded.
   */
  setWatching(isWatching: boolean): void {
    this.isWatching = isWatching;
    this.handledPositions.clear();
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
    const progress: WatchProgress = {position: undefined, hasFailed: false};
    while (!this.isStopped) {
      if (!this.isWatching) {
        // A peer may have sent a newer state meanwhile: start with a list.
        progress.position = undefined;
        await this.waitUntilWatching();
        continue;
      }
      if (progress.position !== undefined) await this.mayWatch;
      if (this.isStopped || !this.isWatching) continue;
      await this.retry(
        `watch ${kind}`,
        () => this.listOrWatch(kind, progress),
        () => this.isWatching,
      );
    }
  }

  /** Lists all objects of a kind, or waits for the next change. */
  private async listOrWatch<K extends WatchedKind>(
    kind: K,
    progress: WatchProgress,
  ): Promise<void> {
    const {change, replace} = this.handlers;
    if (progress.position === undefined) {
      const {items, position} = await this.store.list(kind);
      if (this.isStopped || !this.isWatching) return;
      this.handlers.handleReachability(true);
      this.handlers.handleEra(position.era);
      this.reportUnreadableItems(items);
      replace[kind](items, position.era);
      progress.position = position;
      this.reportPosition(kind, position);
      return;
    }
    const waitMs = progress.hasFailed
      ? firstWatchTimeoutMs
      : watchTimeoutMs[kind];
    progress.hasFailed = true;
    const changes = await this.store.watch(kind, progress.position, waitMs);
    progress.hasFailed = false;
    // While the watches are suspended, a peer may have sent a newer state.
    if (this.isStopped || !this.isWatching) return;
    this.handlers.handleReachability(true);
    if (changes === undefined) {
      this.handlers.handleWarning('store_history_gone', kind);
      progress.position = undefined;
      return;
    }
    progress.position = changes.position;
    if (changes.items.length === 0) return;
    this.reportUnreadableItems(changes.items);
    change[kind](changes.items, changes.position.era);
    this.reportPosition(kind, changes.position);
  }

  /**
   * Reports the position of the objects that peers fetch as the store view, once
   * all their kinds were listed in its era. The desired state is not part of it.
   */
  private reportPosition(kind: WatchedKind, position: StorePosition): void {
    if (kind === 'desiredState') return;
    this.handledPositions.set(kind, position);
    const endpointsPosition = this.handledPositions.get('endpoint');
    const ordersPosition = this.handledPositions.get('move');
    const evacuationsPosition = this.handledPositions.get('evacuation');
    if (endpointsPosition?.era !== position.era) return;
    if (ordersPosition?.era !== position.era) return;
    // Evacuations at a position tell nothing of the endpoints up to there.
    const reported = kind === 'evacuation' ? endpointsPosition : position;
    this.handlers.handlePosition(reported, ordersPosition, evacuationsPosition);
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

  /**
   * Announces this VM, then lists all VMs. A VM that the store knows already has
   * started again: its list may be some seconds old, as it holds the other VMs and
   * they hold this one. Otherwise many VMs may be starting, none of which has heard
   * of all others: it lists them twice with a delay in between.
   *
   * @param handleListed called when the VMs were listed first
   */
  private async announceVm(
    ownVm: AnnouncedVm,
    handleListed: () => void = () => {},
  ): Promise<void> {
    let attempts = 0;
    let isRestart = false;
    await this.retry('announce VM', async () => {
      attempts += 1;
      const {era, wasKnown} = await this.store.announceVm(ownVm);
      // An earlier attempt whose answer was lost may have written the entry.
      isRestart = wasKnown && attempts === 1;
      this.handlers.handleEra(era);
    });
    await this.retry('list VMs', () => this.listVms(isRestart));
    handleListed();
    await this.sleep(relistVmsMs);
    if (isRestart && this.handlers.hasReportingPeers()) return;
    await this.retry('list VMs', () => this.listVms(false));
  }

  private async listVms(isStaleAllowed: boolean): Promise<void> {
    const {items, position} = await this.store.list('vm', isStaleAllowed);
    this.handlers.replace.vm(items, position.era);
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
