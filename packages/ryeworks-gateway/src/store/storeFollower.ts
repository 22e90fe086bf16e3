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

  /** Follows no more. */
  stop(): void {
    this.isStopped = true;
    for (const timer of this.timers) clearTimeout(timer);
  }

  /** Repeats a step for as long as it fails, with growing pauses. */
  private async retry(name: string, step: () => Promise<void>): Promise<void> {
    let pauseMs = firstPauseMs;
    while (!this.isStopped) {
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
      await this.retry(`follow ${kind}`, () => this.followOnce(kind, position));
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
      if (this.isStopped) return;
      this.handlers.handleReached(true);
      this.reportTrouble(listing.items);
      replace[kind](listing.items);
      position.revision = listing.revision;
      return;
    }
    const waitMs = watchMs[kind];
    const changes = await this.store.watch(kind, position.revision, waitMs);
    if (this.isStopped) return;
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
