import {TextMetrics} from '@ryeworks/logger';
import {fastify, FastifyInstance} from 'fastify';

const metricsPath = '/metrics';

/** Creates the server that the balancer asks whether this VM is ready. */
export function createReadyServer(
  readyPath: string,
  isReady: () => boolean,
): FastifyInstance {
  const server = fastify({logger: false});
  server.get(readyPath, async (_request, reply) => {
    return reply.code(isReady() ? 200 : 503).send({ready: isReady()});
  });
  return server;
}

/** Creates the server from which counters and histograms are fetched. */
export function createMetricsServer(metrics: TextMetrics): FastifyInstance {
  const server = fastify({logger: false});
  server.get(metricsPath, async (_request, reply) => {
    return reply.type(metrics.contentType).send(await metrics.format());
  });
  return server;
}
