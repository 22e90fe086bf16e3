import {Endpoint} from '@ryeworks/dispatch';
import {setTimeout as sleep} from 'node:timers/promises';
import t from 'tap';
import {
  Announcement,
  DeploymentStore,
  StoreKind,
  StoreListing,
} from '../deploymentInterfaces.js';
import {StoreHandlers, StoreWatcher} from '../store/storeWatcher.js';

const endpoint: Endpoint = {
  id: 'm1',
  service: 's',
  address: '10.0.0.1:1',
  availabilityZone: 'a',
  version: 'v1',
  slots: 1,
  isDraining: false,
  startedAtMs: 1,
  coldForMs: 0,
};

/** Fake store whose watches wait until the test answers them. */
class FakeStore implements DeploymentStore {
  lists = 0;
  /** Kinds that were listed. */
  readonly listedKinds = new Set<StoreKind>();
  /** For each list of the VMs, whether it may be some seconds old. */
  readonly vmLists: boolean[] = [];
  watches = 0;
  /** Whether the store knows this VM when it announces itself. */
  wasKnown = false;
  /** Number of announcements whose answers are lost. */
  lostAnnouncements = 0;
  private announcements = 0;
  /** Whether the list of VMs is never answered. */
  hidesVms = false;
  /** Era in which this VM's announcement is accepted. */
  announceEra = 1;
  private waiting: Array<() => void> = [];

  async list<K extends StoreKind>(
    kind: K,
    isStaleAllowed = false,
  ): Promise<StoreListing<K>> {
    this.listedKinds.add(kind);
    if (kind === 'vm') this.vmLists.push(isStaleAllowed);
    if (kind === 'vm' && this.hidesVms) await new Promise(() => {});
    if (kind === 'endpoint') this.lists += 1;
    const content = kind === 'endpoint' ? endpoint : undefined;
    const items = [{name: 'm1', content, decodeError: undefined}];
    return {items, position: {era: 1, revision: 5}} as StoreListing<K>;
  }

  async watch<K extends StoreKind>(): Promise<StoreListing<K>> {
    this.watches += 1;
    await new Promise<void>(resolve => this.waiting.push(resolve));
    const items = [{name: 'm1', content: undefined, decodeError: undefined}];
    return {items, position: {era: 1, revision: 9}} as StoreListing<K>;
  }

  async readDesiredState(): Promise<undefined> {}
  async announceVm(): Promise<Announcement> {
    this.announcements += 1;
    if (this.announcements <= this.lostAnnouncements) throw new Error('lost');
    return {era: this.announceEra, wasKnown: this.wasKnown};
  }

  async writeMoveResult(): Promise<void> {}
  async writeCrashReports(): Promise<void> {}

  /** Answers every waiting watch. */
  answerWatches(): void {
    for (const answer of this.waiting.splice(0)) answer();
  }
}

/** Creates handlers that ignore what is not given. */
function createHandlers(given: Partial<StoreHandlers> = {}): StoreHandlers {
  const ignore = () => {};
  const kinds = {
    desiredState: ignore,
    endpoint: ignore,
    move: ignore,
    vm: ignore,
    crashReports: ignore,
    evacuation: ignore,
  };
  return {
    replace: kinds,
    change: kinds,
    handleEra: ignore,
    handlePosition: ignore,
    handleReachability: ignore,
    hasReportingPeers: () => false,
    handleWarning: ignore,
    ...given,
  };
}

t.test(
  'suspended watches make no calls, and late results are discarded',
  async t => {
    const store = new FakeStore();
    const revisions: number[] = [];
    let changes = 0;
    const ignored = createHandlers();
    const handlers = createHandlers({
      change: {...ignored.change, endpoint: () => (changes += 1)},
      handlePosition: ({revision}) => revisions.push(revision),
    });
    const watcher = new StoreWatcher(store, handlers);
    t.teardown(() => watcher.stop());
    watcher.start({vm: 'vm-1', address: 'vm-1:1', availabilityZone: 'a'});
    await sleep(60);
    t.equal(store.lists, 1);
    t.ok(revisions.includes(5));

    watcher.setWatching(false);
    store.answerWatches();
    await sleep(20);
    const {watches} = store;
    t.equal(changes, 0, 'a result that arrives while suspended is discarded');
    store.answerWatches();
    await sleep(20);
    t.equal(store.watches, watches);

    watcher.setWatching(true);
    await sleep(20);
    t.equal(store.lists, 2, 'all objects are listed after the watches resume');
    store.answerWatches();
    await sleep(20);
    t.equal(changes, 1);
    store.answerWatches();
  },
);

// Guards against a start of hundreds of VMs that each watch the store, and call it
// anew at each change, until they know that they need not.
t.test('watches wait until it is known whether they are needed', async t => {
  const store = new FakeStore();
  const ignored = createHandlers();
  const watcher = new StoreWatcher(
    store,
    createHandlers({
      replace: {...ignored.replace, vm: () => watcher.setWatching(false)},
    }),
  );
  t.teardown(() => watcher.stop());
  watcher.start({vm: 'vm-1', address: 'vm-1:1', availabilityZone: 'a'});
  await sleep(700);
  t.equal(store.lists, 1, 'the endpoints are listed');
  t.equal(store.watches, 0);
  watcher.setWatching(true);
  await sleep(20);
  t.ok(store.watches > 0);
  store.answerWatches();
});

t.test('watches do not wait for a list of VMs that is lost', async t => {
  const store = Object.assign(new FakeStore(), {hidesVms: true});
  const watcher = new StoreWatcher(store, createHandlers());
  t.teardown(() => watcher.stop());
  watcher.start({vm: 'vm-1', address: 'vm-1:1', availabilityZone: 'a'});
  await sleep(300);
  t.equal(store.watches, 0);
  await sleep(400);
  t.equal(store.watches, 3, 'one of each kind');
  store.answerWatches();
});

// Guards against an announcement that is lost with a copy before the first list.
t.test('the era of an announcement is reported', async t => {
  const store = new FakeStore();
  store.announceEra = 4;
  const eras: number[] = [];
  const handlers = createHandlers({handleEra: era => eras.push(era)});
  const watcher = new StoreWatcher(store, handlers);
  t.teardown(() => watcher.stop());
  watcher.start({vm: 'vm-1', address: 'vm-1:1', availabilityZone: 'a'});
  await sleep(20);
  t.ok(eras.includes(4));
  store.answerWatches();
});

/** Starts a watcher; returns whether each of its lists of VMs may be stale. */
async function listVmLists(
  changes: Partial<FakeStore>,
  hasPeers: boolean,
): Promise<boolean[]> {
  const store = Object.assign(new FakeStore(), changes);
  const handlers = createHandlers({hasReportingPeers: () => hasPeers});
  const watcher = new StoreWatcher(store, handlers);
  watcher.start({vm: 'vm-1', address: '10.0.0.1:1', availabilityZone: 'a'});
  await sleep(3400);
  watcher.stop();
  return store.vmLists;
}

// Guards against restarts that each cost several pages of the list of VMs, with
// hundreds of VMs at the same moment; and against VMs that start together for the
// first time and miss each other in an old list.
t.test('VMs are listed once after a restart, twice otherwise', async t => {
  const [restarted, alone, first, unknown] = await Promise.all([
    listVmLists({wasKnown: true}, true),
    listVmLists({wasKnown: true}, false),
    listVmLists({}, true),
    listVmLists({wasKnown: true, lostAnnouncements: 1}, true),
  ]);
  t.same(restarted, [true]);
  t.same(alone, [true, false], 'no peer is heard');
  t.same(first, [false, false], 'the first start');
  t.same(unknown, [false, false], 'it may have written its entry itself');
});

// Guards against store calls on deployments that have no evacuations, and against
// an evacuation that passes for a change of the endpoints up to its position.
t.test('evacuations are read only where the deployment has them', async t => {
  for (const hasEvacuations of [false, true]) {
    const store = new FakeStore();
    const positions: unknown[] = [];
    const handlers = createHandlers({
      handlePosition: (position, _orders, evacuations) =>
        positions.push([position.revision, evacuations?.revision]),
    });
    const watcher = new StoreWatcher(store, handlers, hasEvacuations);
    t.teardown(() => watcher.stop());
    watcher.start({vm: 'vm-1', address: 'vm-1:1', availabilityZone: 'a'});
    await sleep(60);
    t.equal(store.listedKinds.has('evacuation'), hasEvacuations);
    t.equal(store.watches, hasEvacuations ? 4 : 3);
    t.same(positions.at(-1), [5, hasEvacuations ? 5 : undefined]);
    watcher.stop();
    store.answerWatches();
  }
});
