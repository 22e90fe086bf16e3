import {getOrCreate} from '@ryeworks/utils';
import {ActiveRequest} from '../requests/activeRequest.js';

/** Maximum number of customers' entries; a deployment has up to 1,300. */
export const maxFairEntries = 1300;

/** Virtual times of the requests of one rank. */
interface RankTimes {
  /** Start tag of the last request that was dispatched from the front. */
  virtualTime: number;
  /** Finish tag of the last request of each customer, by customer. */
  readonly finishTags: Map<string, number>;
}

/** A request as far as its start tag depends on it. */
export type FairRequest = Pick<ActiveRequest, 'rank' | 'customer' | 'cost'>;

/**
 * Start-time fair queueing of the requests of one service: within a rank, each
 * customer gets the same share of the work while it has requests in the queue. The
 * start tag of a request is the virtual time or, if that is later, the finish tag of
 * the customer's previous request; the finish tag is later by the request's cost.
 */
export class FairQueue {
  private readonly byRank = new Map<number, RankTimes>();

  /** Number of customers' entries. */
  get size(): number {
    let size = 0;
    for (const {finishTags} of this.byRank.values()) size += finishTags.size;
    return size;
  }

  /** Returns the start tag that a new request would be given. */
  getStartTag({customer, rank}: Omit<FairRequest, 'cost'>): number {
    const {finishTags, virtualTime} = this.getTimes(rank);
    return Math.max(virtualTime, finishTags.get(customer) ?? 0);
  }

  /** Gives a request its start tag, and charges its cost to the customer. */
  addRequest(request: FairRequest): number {
    const startTag = this.getStartTag(request);
    const {finishTags} = this.getTimes(request.rank);
    // The entry that was changed last is the last one of the map.
    finishTags.delete(request.customer);
    if (this.size >= maxFairEntries) this.dropOldest();
    finishTags.set(request.customer, startTag + request.cost);
    return startTag;
  }

  /** Refunds the cost of a request that leaves the queue without a call. */
  refundRequest({cost, customer, rank}: FairRequest): void {
    const {finishTags} = this.getTimes(rank);
    const finishTag = finishTags.get(customer);
    if (finishTag !== undefined) finishTags.set(customer, finishTag - cost);
  }

  /** Advances the virtual time to a request that is dispatched from the front. */
  recordDispatch(rank: number, startTag: number): void {
    const times = this.getTimes(rank);
    times.virtualTime = Math.max(times.virtualTime, startTag);
  }

  /**
   * Drops the entries of a rank that no longer make a difference: all if none of its
   * requests waits, otherwise those that the virtual time has passed.
   */
  dropIdle(hasWaiting: (rank: number) => boolean): void {
    for (const [rank, times] of this.byRank) {
      const {finishTags} = times;
      const isIdle = !hasWaiting(rank);
      for (const [customer, finishTag] of finishTags) {
        if (!isIdle && finishTag > times.virtualTime) continue;
        // The virtual time never goes back, so that a retried request, which keeps
        // its start tag, is not overtaken by later ones.
        if (isIdle) {
          times.virtualTime = Math.max(times.virtualTime, finishTag);
        }
        finishTags.delete(customer);
      }
    }
  }

  private getTimes(rank: number): RankTimes {
    return getOrCreate(this.byRank, rank, () => ({
      virtualTime: 0,
      finishTags: new Map<string, number>(),
    }));
  }

  /** Drops the entry that was not changed for longest in the largest rank. */
  private dropOldest(): void {
    let largest: RankTimes | undefined;
    for (const times of this.byRank.values()) {
      if (times.finishTags.size > (largest?.finishTags.size ?? 0)) {
        largest = times;
      }
    }
    for (const customer of largest?.finishTags.keys() ?? []) {
      largest?.finishTags.delete(customer);
      return;
    }
  }
}
