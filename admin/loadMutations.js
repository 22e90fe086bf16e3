const dispatch = 'packages/ryeworks-dispatch/dist';
const lab = 'packages/ryeworks-lab/dist';

/** Mutations of what decides under uneven load, warm-up and slow answers. */
export const loadMutations = [
  {
    promise: 'a customer does not wait behind the queue of another one',
    file: `${dispatch}/admission/fairQueue.js`,
    from: /Math\.max\(virtualTime, finishTags\.get\(customer\) \?\? 0\)/,
    to: '0',
    test: `${dispatch}/__tests__/fairQueueing.test.js`,
  },
  {
    promise: 'a service with few endpoints is shared by all zones',
    file: `${dispatch}/admission/pickEndpoint.js`,
    from: /localCount < maxSampledEndpoints &&/,
    to: 'localCount === 0 &&',
    test: `${dispatch}/__tests__/admission.test.js`,
  },
  {
    promise: 'a cold endpoint gets calls on permits only (FAILBACK)',
    file: `${dispatch}/rateLimits/warmUp.js`,
    from: /if \(!wasCold && coldUntilMs <= nowMs\)/,
    to: 'if (true)',
    test: `${lab}/__tests__/warmUp.test.js`,
  },
  {
    promise: 'no call reaches a zone that is evacuated (EVAC)',
    file: `${dispatch}/endpoints/callObstacles.js`,
    from: /evacuations\.has\(endpoint\.availabilityZone\)/,
    to: 'false',
    test: `${dispatch}/__tests__/evacuations.test.js`,
  },
  {
    promise: 'a request is served in the regions of its customer only (HOME)',
    file: `${dispatch}/endpoints/allowedRegions.js`,
    from: /&& isAllowed\(customerRegions, region\)/,
    to: '',
    test: `${dispatch}/__tests__/allowedRegions.test.js`,
  },
  {
    promise: 'hedged requests keep to their budget over all VMs',
    file: `${dispatch}/hedging/hedgeBudget.js`,
    from: /return checkedFractions\.every/,
    to: 'return true || checkedFractions.every',
    test: `${dispatch}/__tests__/hedging.test.js`,
  },
  {
    promise: 'what may run at most once is not hedged',
    file: `${dispatch}/hedging/scheduleHedge.js`,
    from: /!isRetryable \|\| firstEventAtMs > 0/,
    to: 'firstEventAtMs > 0',
    test: `${dispatch}/__tests__/hedging.test.js`,
    also: {
      file: `${dispatch}/requests/findRetryObstacle.js`,
      from: /!provesNotRun\[failure\] && !isRetryable/,
      to: 'false',
    },
  },
  {
    promise: 'the call that loses against a hedged request is canceled',
    file: `${dispatch}/requests/standbyCall.js`,
    from: /\{ kind: 'cancelCall', requestId, callNumber \},/,
    to: '',
    test: `${dispatch}/__tests__/hedging.test.js`,
  },
];
