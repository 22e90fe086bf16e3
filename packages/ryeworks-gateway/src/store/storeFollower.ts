import {
  DeploymentStore,
  ListedVm,
  StoreItem,
  StoreKind,
} from '../deploymentPort.js';

/** Time that one watch waits for a change, by kind, in ms. */
const watchMs = {desiredState: 2000, endpoint: 2000, move: 4000} as const;
/** First and longest pause after a failed call, in ms. */
const firstPauseMs = 100;
const longestPauseMs = 800;
/** Time after which the VMs are listed once more, in ms. */
const relistVmsMs = 3000;

/** A kind that is followed. */
type FollowedKind = keyof typeof watchMs;

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
  handleReached(isReached: boolean): void;
  /** Reports what cannot be read or done. */
  handleTrouble(event: string, detail: string): void;
}

/** Where the following of one kind stands. */
interface Position {
  /** Undefined: all objects are to be listed. */
  revision: number | undefined;
}

/** Follows the platform's store with a watch for each kind of object. */
export class StoreFollower {
  private isStopped = false;
  private isOnDuty = true;
  /** Called when this VM is to watch again. */
  private readonly wakers: Array<() => void> = [];
  private readonly timers = new Set<NodeJS.Timeout>();

  constructor(
    private readonly store: DeploymentStore,
    private readonly handlers: StoreHandlers,
  ) {}

  /** Follows every kind and announces this VM. */
  start(self: ListedVm): void {
    void this.follow('desiredState');
    void this.follow('endpoint');
    void this.follow('move');
    void this.announceVm(self);
  }

  /** Begins or ends the watches; a call that waits is left to end. */
  setDuty(isOnDuty: boolean): void {
    this.isOnDuty = isOnDuty;
    if (isOnDuty) this.notifyWaiting();
  }

  /** Follows no more. */
  stop(): void {
    this.isStopped = true;
    for (const timer of this.timers) clearTimeout(timer);
    this.notifyWaiting();
  }

  /** Waits until this VM is to watch again, or is stopped. */
  private waitForDuty(): Promise<void> {
    return new Promise(resolve => this.wakers.push(resolve));
  }

  private notifyWaiting(): void {
    for (const wake of this.wakers.splice(0)) wake();
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
        this.handlers.handleReached(false);
        const detail = `${name}: ${(error as Error).message}`;
        this.handlers.handleTrouble('store_call_failed', detail);
        await this.sleep(pauseMs);
        pauseMs = Math.min(longestPauseMs, pauseMs * 2);
      }
    }
  }

  private async follow<K extends FollowedKind>(kind: K): Promise<void> {
    const position: Position = {revision: undefined};
    while (!this.isStopped) {
      if (!this.isOnDuty) {
        // What a peer told meanwhile may be newer: begin with a list.
        position.revision = undefined;
        await this.waitForDuty();
        continue;
      }
      await this.retry(
        `follow ${kind}`,
        () => this.followOnce(kind, position),
        () => this.isOnDuty,
      );
    }
  }

  /** Lists a kind, or waits for its next change. */
  private async followOnce<K extends FollowedKind>(
    kind: K,
    position: Position,
  ): Promise<void> {
    const {change, replace} = this.handlers;
    if (position.revision === undefined) {
      const listing = await this.store.list(kind);
      if (this.isStopped || !this.isOnDuty) return;
      this.handlers.handleReached(true);
      this.reportTrouble(listing.items);
      replace[kind](listing.items);
      position.revision = listing.revision;
      this.reportRevision(kind, listing.revision);
      return;
    }
    const waitMs = watchMs[kind];
    const changes = await this.store.watch(kind, position.revision, waitMs);
    // Off duty, a peer may have told of something newer meanwhile.
    if (this.isStopped || !this.isOnDuty) return;
    this.handlers.handleReached(true);
    if (changes === undefined) {
      this.handlers.handleTrouble('store_history_gone', kind);
      position.revision = undefined;
      return;
    }
    position.revision = changes.revision;
    if (changes.items.length === 0) return;
    this.reportTrouble(changes.items);
    change[kind](changes.items);
    this.reportRevision(kind, changes.revision);
  }

  /** Reports the revision of what peers may ask for. */
  private reportRevision(kind: FollowedKind, revision: number): void {
    if (kind !== 'desiredState') this.handlers.handleRevision(revision);
  }

  private reportTrouble(items: ReadonlyArray<StoreItem<StoreKind>>): void {
    for (const {name, trouble} of items) {
      if (trouble === undefined) continue;
      const detail = `${name}: ${trouble}`;
      this.handlers.handleTrouble('store_object_unreadable', detail);
    }
  }

  /** Announces this VM and lists the others, once more a little later. */
  private async announceVm(self: ListedVm): Promise<void> {
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
