import {getInterTokenMs} from '@ryeworks/scheduler';
import {FastifyInstance} from 'fastify';
import {CallerServerContext} from './callerServerContext.js';
import {matchesBearerToken} from './matchesBearerToken.js';

/**
 * Reads the processor time, memory and peer traffic of this process. Collects
 * garbage first if the process was started with --expose-gc, as it is for
 * measurements.
 */
function readProcessUsage({peerServer}: CallerServerContext): object {
  (globalThis as {gc?: () => void}).gc?.();
  const {user, system} = process.cpuUsage();
  const {rss, heapUsed} = process.memoryUsage();
  return {
    cpuMs: (user + system) / 1000,
    rssBytes: rss,
    heapUsedBytes: heapUsed,
    peerBytes: peerServer.countBytes(),
  };
}

/** Adds the status route for operators. */
export function addStatusRoute(
  server: FastifyInstance,
  context: CallerServerContext,
): void {
  const {loop, metrics, settings} = context;
  server.get('/status', (request, reply) => {
    if (
      !matchesBearerToken(request.headers.authorization, settings.operatorKey)
    ) {
      return reply.code(401).send({error: 'operator key missing or wrong'});
    }
    const {state} = loop;
    const members = [...state.membership.members.values()].map(member => ({
      vm: member.vm,
      availabilityZone: member.availabilityZone,
      status: member.status,
    }));
    const cells = [...state.admission.cells.values()].map(cell => ({
      cell: cell.cellKey,
      waiting: cell.queue.length,
      inUse: cell.grants.size,
      endpoints: [...cell.endpointStats.values()].map(stats => ({
        endpoint: stats.endpoint,
        inFlight: stats.inFlight,
        concurrencyLimit: Math.round(stats.concurrencyLimit * 10) / 10,
        interTokenMs: Math.round(getInterTokenMs(stats) * 10) / 10,
      })),
    }));
    return {
      vm: settings.vm,
      availabilityZone: settings.availabilityZone,
      draining: state.draining,
      documents: state.documents.versions,
      activeRequests: state.requests.active.size,
      claims: state.claims.records.size,
      claimsComplete: state.claims.isComplete,
      withdrawn: Object.fromEntries(state.moves.withdrawn),
      members,
      cells,
      counters: metrics.getCounters(),
      process: readProcessUsage(context),
    };
  });
}
