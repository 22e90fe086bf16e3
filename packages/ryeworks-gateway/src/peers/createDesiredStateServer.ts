import {DesiredState} from '@ryeworks/dispatch';
import {fastify, FastifyInstance} from 'fastify';
import {statePath} from './statePath.js';

/** Creates the server from which peers fetch the desired state. */
export function createDesiredStateServer(
  getDesired: () => DesiredState | undefined,
): FastifyInstance {
  const server = fastify({logger: false});
  server.get(statePath, async (_request, reply) => {
    const desired = getDesired();
    if (desired === undefined) return reply.code(404).send({});
    return desired;
  });
  return server;
}
