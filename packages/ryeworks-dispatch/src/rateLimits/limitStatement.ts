/** What an endpoint's answer states about the rate of requests that it takes. */
export type LimitStatement =
  /** It names no limit. */
  | {readonly kind: 'unlimited'}
  /** Requests per second that it takes from all VMs together. */
  | {readonly kind: 'limited'; readonly perSecond: number}
  /** It names a limit that cannot be read. */
  | {readonly kind: 'unreadable'; readonly text: string};

/** The statement of an answer without a limit. */
export const unlimitedStatement: LimitStatement = {kind: 'unlimited'};
