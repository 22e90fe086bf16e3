/**
 * Classes of routes, which determine how often a call may reach a back end.
 *
 * - `idempotent`: may be retried within the retry budget.
 * - `dispatchOnce`: is never sent again once a byte may have reached a back
 *   end; its stream may be resumed on the same engine.
 * - `nonIdempotent`: runs at most once; only a refusal that proves that the
 *   call did not run allows another attempt.
 */
export const routeClass = {
  idempotent: 'idempotent',
  dispatchOnce: 'dispatchOnce',
  nonIdempotent: 'nonIdempotent',
} as const;

/** One of the three route classes. */
export type RouteClass = (typeof routeClass)[keyof typeof routeClass];
