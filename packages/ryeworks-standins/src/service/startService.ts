import Fastify, {FastifyInstance} from 'fastify';
import {WorkPause} from '../pause/workPause.js';

/** Options of {@link startService}. */
export interface ServiceServerOptions {
  readonly host: string;
  readonly port: number;
  readonly version: string;
  /** Duration of each call, in ms. */
  readonly callMs: number;
}

/** Faults that can be injected into a plain service. */
interface ServiceFaults {
  /** Fraction of the calls that fail after they have run, 0 to 1. */
  failRate: number;
  /** Fraction of the calls that are refused before they run, 0 to 1. */
  refuseRate: number;
  /** Duration of each call, in ms. */
  callMs: number;
}

/**
 * Starts a stand-in for a plain service. It counts the runs per idempotency key
 * or, without one, per request ID, so that duplicate runs can be detected.
 */
export async function startService(
  options: ServiceServerOptions,
): Promise<FastifyInstance> {
  const server = Fastify({forceCloseConnections: true});
  const runs: Record<string, number> = {};
  const faults: ServiceFaults = {
    failRate: 0,
    refuseRate: 0,
    callMs: options.callMs,
  };
  const pause = new WorkPause();
  let refuseCount = 0;
  let failCount = 0;

  /** Returns whether a fault affects the nth call; spreads the rate evenly. */
  function isAffected(rate: number, count: number): boolean {
    return Math.floor(count * rate) > Math.floor((count - 1) * rate);
  }

  server.get('/runs', () => runs);
  server.get('/load', () => ({running: 0, queued: 0}));
  server.post<{Body: Partial<ServiceFaults> & {pauseMs?: number}}>(
    '/control',
    request => {
      const {pauseMs, ...changes} = request.body;
      if (pauseMs !== undefined) pause.start(pauseMs);
      return Object.assign(faults, changes);
    },
  );

  server.all('/*', async (request, reply) => {
    await pause.waitForEnd();
    refuseCount += 1;
    if (isAffected(faults.refuseRate, refuseCount)) {
      return reply
        .code(503)
        .header('ryeworks-ran', 'not-run')
        .send({error: 'busy'});
    }
    const key = String(
      request.headers['idempotency-key'] ?? request.headers['x-request-id'],
    );
    runs[key] = (runs[key] ?? 0) + 1;
    await new Promise(resolve => setTimeout(resolve, faults.callMs));
    await pause.waitForEnd();
    failCount += 1;
    if (isAffected(faults.failRate, failCount)) {
      return reply.code(500).send({error: 'failed'});
    }
    return {label: key, path: request.url, version: options.version};
  });

  await server.listen({host: options.host, port: options.port});
  return server;
}
