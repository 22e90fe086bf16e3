import t from 'tap';
import {CustomerLimit} from '../index.js';
import {
  applyPeerUse,
  CustomerUses,
  LimitShare,
  takeUnits,
} from '../limits/customerUse.js';

const limit: CustomerLimit = {
  unitsPerSecond: 1000,
  burstUnits: 1000,
  countsTokens: true,
  defaultTokens: 1,
};
const bounds = {windowMs: 8000, overrunRatio: 0.1, allowance: 600};
/** What may be run in any 8 s: rate, burst, overrun and allowance. */
const boundUnits = (8 * 1000 + 1000) * 1.1 + 600;
const requestUnits = 20;
const longAgoMs = -100_000;

/** A run of several VMs that tell each other of their use. */
interface FleetRun {
  readonly vms: readonly string[];
  /** Time between two digests, in ms. */
  readonly digestMs: number;
  /** Time between two requests to one VM, in ms; a multiple of 5. */
  readonly requestEveryMs: number;
  readonly durationMs: number;
  /** Tells whether two VMs hear each other. */
  readonly isJoined: (one: string, other: string, nowMs: number) => boolean;
  /** When a VM loses what it knows; undefined: never. */
  readonly getRestartAtMs?: (vm: string) => number;
}

/** Runs a fleet; returns the time of each request that was let through. */
function runFleet(run: FleetRun): number[] {
  const taken: number[] = [];
  const uses = new Map<string, CustomerUses>();
  const told = new Map<string, number>();
  for (const vm of run.vms) uses.set(vm, new Map());
  const startedAtMs = new Map<string, number>();
  for (const vm of run.vms) startedAtMs.set(vm, longAgoMs);
  for (let nowMs = 0; nowMs < run.durationMs; nowMs += 5) {
    for (const vm of run.vms) {
      if (nowMs !== run.getRestartAtMs?.(vm)) continue;
      startedAtMs.set(vm, nowMs);
      uses.set(vm, new Map());
      told.delete(vm);
    }
    for (const vm of run.vms) {
      const own = uses.get(vm)!;
      const knownPeers = run.vms.filter(
        other => other !== vm && run.isJoined(vm, other, nowMs),
      );
      const share: LimitShare = {
        bounds,
        knownPeers: knownPeers.length,
        vmCount: run.vms.length,
      };
      if (nowMs % run.requestEveryMs === 0) {
        const clockMs = nowMs - startedAtMs.get(vm)!;
        const waitMs = takeUnits(own, 'c', limit, requestUnits, share, clockMs);
        if (waitMs === 0) taken.push(nowMs);
      }
      if (nowMs % run.digestMs !== 0) continue;
      const total = own.get('c')?.taken ?? 0;
      const units = total - (told.get(vm) ?? 0);
      told.set(vm, total);
      const use = own.get('c');
      if (use !== undefined) use.reported = total;
      for (const other of knownPeers) {
        const otherMs = nowMs - startedAtMs.get(other)!;
        applyPeerUse(uses.get(other)!, 'c', units, otherMs);
      }
    }
  }
  return taken;
}

/** Returns the most units in any window. */
function getMostUnits(taken: readonly number[]): number {
  let most = 0;
  let first = 0;
  for (let last = 0; last < taken.length; last++) {
    while (taken[first] <= taken[last] - bounds.windowMs) first += 1;
    most = Math.max(most, (last - first + 1) * requestUnits);
  }
  return most;
}

const vms = ['a', 'b', 'c', 'd', 'e', 'f', 'g', 'h'];
const pattern = {
  vms,
  digestMs: 100,
  // Four times the rate, evenly over the VMs.
  requestEveryMs: 40,
  durationMs: 30_000,
};

t.test('a hot customer is held to its limit by all VMs together', async t => {
  const taken = runFleet({...pattern, isJoined: () => true});
  const most = getMostUnits(taken);
  t.ok(most <= boundUnits, `${most} of ${boundUnits}`);
  t.ok(most >= 9000, `${most}: the stated limit is handed out`);
});

t.test('a flood of thirty times the rate is held, too', async t => {
  const flood = {...pattern, requestEveryMs: 5};
  const most = getMostUnits(runFleet({...flood, isJoined: () => true}));
  t.ok(most <= boundUnits, `${most} of ${boundUnits}`);
});

t.test('the sides of a partition together keep the limit', async t => {
  const isLeft = (vm: string) => vm <= 'c';
  const taken = runFleet({
    ...pattern,
    isJoined: (one, other, nowMs) =>
      nowMs < 10_000 || isLeft(one) === isLeft(other),
  });
  const most = getMostUnits(taken);
  t.ok(most <= boundUnits, `${most} of ${boundUnits}`);
  const during = taken.filter(one => one > 20_000 && one <= 28_000).length;
  t.ok(during * requestUnits >= 8000, 'both sides go on handing out');
});

t.test('the end of a partition hands nothing out twice', async t => {
  const isLeft = (vm: string) => vm <= 'c';
  const taken = runFleet({
    ...pattern,
    requestEveryMs: 5,
    isJoined: (one, other, nowMs) =>
      nowMs < 10_000 || nowMs > 20_000 || isLeft(one) === isLeft(other),
  });
  const most = getMostUnits(taken);
  t.ok(most <= boundUnits, `${most} of ${boundUnits}`);
});

t.test('a customer within its limit notices no partition', async t => {
  const isLeft = (vm: string) => vm <= 'c';
  // Four fifths of the rate.
  const demand = {...pattern, requestEveryMs: 200};
  const joined = runFleet({...demand, isJoined: () => true}).length;
  const parted = runFleet({
    ...demand,
    isJoined: (one, other, nowMs) =>
      nowMs < 10_000 || isLeft(one) === isLeft(other),
  }).length;
  t.equal(parted, joined);
});

t.test('a restart of all VMs hands nothing out twice', async t => {
  const taken = runFleet({
    ...pattern,
    isJoined: () => true,
    getRestartAtMs: () => 12_000,
  });
  const most = getMostUnits(taken);
  t.ok(most <= boundUnits, `${most} of ${boundUnits}`);
});

t.test(
  'VMs that restart one after the other hand nothing out twice',
  async t => {
    const taken = runFleet({
      ...pattern,
      requestEveryMs: 5,
      isJoined: () => true,
      getRestartAtMs: vm => 10_000 + 1000 * vms.indexOf(vm),
    });
    const most = getMostUnits(taken);
    t.ok(most <= boundUnits, `${most} of ${boundUnits}`);
  },
);
