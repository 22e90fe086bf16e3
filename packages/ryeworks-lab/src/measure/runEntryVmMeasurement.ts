import {writeFile} from 'node:fs/promises';
import {Deployment} from '../deployment/deployment.js';
import {desatorosPlan} from '../deployment/deploymentPlan.js';
import {createTable} from '../report/createTable.js';
import {createCall, makeCall} from '../load/makeCall.js';
import {createLineFit, LineFit} from './capacity/createLineFit.js';
import {getPercentile} from '../report/summarizeCalls.js';
import {Agent, request} from 'undici';

const windowMs = 5000;
/** Time for streams to open, in ms. */
const streamOpenMs = 1500;
const callPath = '/jobs/7';

/** Speed of one way to a back end. */
interface CallPerformance {
  readonly way: string;
  readonly concurrency: number;
  readonly callsPerSecond: number;
  readonly p50Ms: number;
  readonly p95Ms: number;
}

/** Makes calls one after the other until a time; returns their lengths. */
async function runCaller(
  url: string,
  headers: Record<string, string>,
  agent: Agent,
  endMs: number,
): Promise<number[]> {
  const times: number[] = [];
  while (performance.now() < endMs) {
    const startMs = performance.now();
    const answer = await request(url, {headers, dispatcher: agent});
    await answer.body.dump();
    if (answer.statusCode === 200) times.push(performance.now() - startMs);
  }
  return times;
}

/** Measures calls a second and their latency on one way. */
async function measureCallPerformance(
  way: string,
  url: string,
  headers: Record<string, string>,
  concurrency: number,
): Promise<CallPerformance> {
  const agent = new Agent({connections: concurrency});
  const endMs = performance.now() + windowMs;
  const callers = Array.from({length: concurrency}, () =>
    runCaller(url, headers, agent, endMs),
  );
  const times = (await Promise.all(callers)).flat();
  await agent.close();
  return {
    way,
    concurrency,
    callsPerSecond: times.length / (windowMs / 1000),
    p50Ms: getPercentile(times, 50),
    p95Ms: getPercentile(times, 95),
  };
}

/** Measures the live heap of an entry VM for each open stream, in bytes. */
async function measureHeapPerStream(): Promise<LineFit> {
  const plan = {
    ...desatorosPlan,
    availabilityZones: ['lima-1'],
    vmsPerZone: 1,
    modelService: {...desatorosPlan.modelService, initialConcurrency: 400},
  };
  const nodeArgs = ['--expose-gc'];
  const points: [number, number][] = [];
  for (const streams of [0, 50, 100, 200]) {
    const deployment = await Deployment.start(plan, {nodeArgs});
    const [vm] = deployment.vms;
    const kind = {...plan.calls[0], deadlineMs: 60_000};
    const sizes = {promptTokens: 10, outputTokens: 1000};
    const call = createCall(kind, plan.customers[0].apiKey, sizes);
    const calls = Array.from({length: streams}, () =>
      makeCall(vm.callerUrl, {...call, key: ''}),
    );
    await new Promise(resolve => setTimeout(resolve, streamOpenMs));
    const {activeRequests, process} = await deployment.readStatus(vm);
    points.push([activeRequests, process.heapUsedBytes]);
    await deployment.stop();
    await Promise.all(calls);
  }
  return createLineFit(points);
}

/** Compares calls through one entry VM with calls to the back end itself. */
export async function runEntryVmMeasurement(
  directory: string,
): Promise<boolean> {
  const plan = {
    ...desatorosPlan,
    availabilityZones: ['lima-1'],
    vmsPerZone: 1,
  };
  const deployment = await Deployment.start(plan);
  try {
    const service = deployment.endpoints.find(one => one.kind === 'plain')!;
    await deployment.setFaults(service.address, {callMs: 0});
    const direct = service.address + callPath;
    const [vm] = deployment.vms;
    const through = `${vm.callerUrl}/services/${service.service}${callPath}`;
    const authorization = `Bearer ${plan.customers[0].apiKey}`;
    const rows: CallPerformance[] = [];
    for (const concurrency of [1, 16]) {
      rows.push(
        await measureCallPerformance('direct', direct, {}, concurrency),
      );
      const headers = {authorization};
      rows.push(
        await measureCallPerformance(
          'through an entry VM',
          through,
          headers,
          concurrency,
        ),
      );
    }
    const head = ['way', 'callers', 'calls/s', 'p50 ms', 'p95 ms'];
    const cells = rows.map(row => [
      row.way,
      row.concurrency,
      row.callsPerSecond.toFixed(0),
      row.p50Ms.toFixed(2),
      row.p95Ms.toFixed(2),
    ]);
    console.log(createTable(head, cells));
    const stream = await measureHeapPerStream();
    console.log(
      `open stream: ${stream.slope.toFixed(0)} bytes of live heap ` +
        `(worst error ${(stream.error * 100).toFixed(1)} %), points ` +
        stream.points.map(([x, y]) => `${x}: ${y}`).join('; '),
    );
    const json = JSON.stringify({rows, stream}, null, 1);
    await writeFile(`${directory}/entry.json`, `${json}\n`);
    return true;
  } finally {
    await deployment.stop();
  }
}
