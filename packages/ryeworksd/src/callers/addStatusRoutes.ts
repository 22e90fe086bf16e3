import {getInterTokenMs} from '@ryeworks/scheduler';
import {FastifyInstance} from 'fastify';
import {timingSafeEqual} from 'node:crypto';
import type {CallerServerContext} from './createCallerServer.js';

/** Tells whether a bearer token is the expected one, in constant time. */
export function matchesBearerToken(
  header: string | undefined,
  expected: string,
): boolean {
  const given = Buffer.from(header ?? '');
  const wanted = Buffer.from(`Bearer ${expected}`);
  return given.length === wanted.length && timingSafeEqual(given, wanted);
}

/**
 * Reads what this process has used so far. Collects garbage first when the
 * process was started with --expose-gc, as measurements do.
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

/** Adds the operators' status page. */
export function addStatusRoutes(
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
      endpoints: [...cell.endpointStats.values()].map(account => ({
        endpoint: account.endpoint,
        inFlight: account.inFlight,
        concurrencyLimit: Math.round(account.concurrencyLimit * 10) / 10,
        interTokenMs: Math.round(getInterTokenMs(account) * 10) / 10,
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
