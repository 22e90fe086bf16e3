import t from 'tap';
import {CustomerLimit} from '../index.js';
import {
  addPeerUsage,
  UsageByCustomer,
  LimitShare,
  consumeUnits,
} from '../limits/customerUsage.js';

const limit: CustomerLimit = {
  unitsPerSecond: 1000,
  burstUnits: 1000,
  countsTokens: true,
  defaultTokens: 1,
};
const bounds = {windowMs: 8000, overrunRatio: 0.1, allowance: 600};
/** What may be run in any 8 s: rate, burst, overrun and allowance. */
const maxAllowedUnits = (8 * 1000 + 1000) * 1.1 + 600;
const requestUnits = 20;
const initialStartMs = -100_000;

/** A run of several VMs that tell each other of their use. */
interface FleetScenario {
  readonly vms: readonly string[];
  /** Time between two digests, in ms. */
  readonly digestPeriodMs: number;
  /** Time between two requests to one VM, in ms; a multiple of 5. */
  readonly requestPeriodMs: number;
  readonly durationMs: number;
  /** Tells whether two VMs hear each other. */
  readonly isConnected: (one: string, other: string, nowMs: number) => boolean;
  /** When a VM loses what it knows; undefined: never. */
  readonly getRestartAtMs?: (vm: string) => number;
}

/** Runs a fleet; returns the time of each request that was let through. */
function runFleet(run: FleetScenario): number[] {
  const taken: number[] = [];
  const uses = new Map<string, UsageByCustomer>();
  const reported = new Map<string, number>();
  for (const vm of run.vms) uses.set(vm, new Map());
  const startedAtMs = new Map<string, number>();
  for (const vm of run.vms) startedAtMs.set(vm, initialStartMs);
  for (let nowMs = 0; nowMs < run.durationMs; nowMs += 5) {
    for (const vm of run.vms) {
      if (nowMs !== run.getRestartAtMs?.(vm)) continue;
      startedAtMs.set(vm, nowMs);
      uses.set(vm, new Map());
      reported.delete(vm);
    }
    for (const vm of run.vms) {
      const own = uses.get(vm)!;
      const connectedPeers = run.vms.filter(
        other => other !== vm && run.isConnected(vm, other, nowMs),
      );
      const share: LimitShare = {
        bounds,
        reportingPeers: connectedPeers.length,
        vmCount: run.vms.length,
      };
      if (nowMs % run.requestPeriodMs === 0) {
        const clockMs = nowMs - startedAtMs.get(vm)!;
        const waitMs = consumeUnits(
          own,
          'c',
          limit,
          requestUnits,
          share,
          clockMs,
        );
        if (waitMs === 0) taken.push(nowMs);
      }
      if (nowMs % run.digestPeriodMs !== 0) continue;
      const total = own.get('c')?.consumed ?? 0;
      const units = total - (reported.get(vm) ?? 0);
      reported.set(vm, total);
      const use = own.get('c');
      if (use !== undefined) use.reported = total;
      for (const other of connectedPeers) {
        const otherMs = nowMs - startedAtMs.get(other)!;
        addPeerUsage(uses.get(other)!, 'c', units, otherMs);
      }
    }
  }
  return taken;
}

/** Returns the most units in any window. */
function getMaxWindowUnits(taken: readonly number[]): number {
  let maxUnits = 0;
  let first = 0;
  for (let last = 0; last < taken.length; last++) {
    while (taken[first] <= taken[last] - bounds.windowMs) first += 1;
    maxUnits = Math.max(maxUnits, (last - first + 1) * requestUnits);
  }
  return maxUnits;
}

const vms = ['a', 'b', 'c', 'd', 'e', 'f', 'g', 'h'];
const baseScenario = {
  vms,
  digestPeriodMs: 100,
  // Four times the rate, evenly over the VMs.
  requestPeriodMs: 40,
  durationMs: 30_000,
};

t.test('a hot customer is held to its limit by all VMs together', async t => {
  const taken = runFleet({...baseScenario, isConnected: () => true});
  const most = getMaxWindowUnits(taken);
  t.ok(most <= maxAllowedUnits, `${most} of ${maxAllowedUnits}`);
  t.ok(most >= 9000, `${most}: the stated limit is handed out`);
});

t.test('a flood of thirty times the rate is held, too', async t => {
  const flood = {...baseScenario, requestEveryMs: 5};
  const most = getMaxWindowUnits(runFleet({...flood, isConnected: () => true}));
  t.ok(most <= maxAllowedUnits, `${most} of ${maxAllowedUnits}`);
});

t.test('the sides of a partition together keep the limit', async t => {
  const isLeft = (vm: string) => vm <= 'c';
  const taken = runFleet({
    ...baseScenario,
    isConnected: (one, other, nowMs) =>
      nowMs < 10_000 || isLeft(one) === isLeft(other),
  });
  const most = getMaxWindowUnits(taken);
  t.ok(most <= maxAllowedUnits, `${most} of ${maxAllowedUnits}`);
  const during = taken.filter(one => one > 20_000 && one <= 28_000).length;
  t.ok(during * requestUnits >= 8000, 'both sides go on handing out');
});

t.test('the end of a partition hands nothing out twice', async t => {
  const isLeft = (vm: string) => vm <= 'c';
  const taken = runFleet({
    ...baseScenario,
    requestPeriodMs: 5,
    isConnected: (one, other, nowMs) =>
      nowMs < 10_000 || nowMs > 20_000 || isLeft(one) === isLeft(other),
  });
  const most = getMaxWindowUnits(taken);
  t.ok(most <= maxAllowedUnits, `${most} of ${maxAllowedUnits}`);
});

t.test('a customer within its limit notices no partition', async t => {
  const isLeft = (vm: string) => vm <= 'c';
  // Four fifths of the rate.
  const demand = {...baseScenario, requestEveryMs: 200};
  const joined = runFleet({...demand, isConnected: () => true}).length;
  const parted = runFleet({
    ...demand,
    isConnected: (one, other, nowMs) =>
      nowMs < 10_000 || isLeft(one) === isLeft(other),
  }).length;
  t.equal(parted, joined);
});

t.test('a restart of all VMs hands nothing out twice', async t => {
  const taken = runFleet({
    ...baseScenario,
    isConnected: () => true,
    getRestartAtMs: () => 12_000,
  });
  const most = getMaxWindowUnits(taken);
  t.ok(most <= maxAllowedUnits, `${most} of ${maxAllowedUnits}`);
});

t.test(
  'VMs that restart one after the other hand nothing out twice',
  async t => {
    const taken = runFleet({
      ...baseScenario,
      requestPeriodMs: 5,
      isConnected: () => true,
      getRestartAtMs: vm => 10_000 + 1000 * vms.indexOf(vm),
    });
    const most = getMaxWindowUnits(taken);
    t.ok(most <= maxAllowedUnits, `${most} of ${maxAllowedUnits}`);
  },
);
