import {DesiredState} from '@ryeworks/dispatch';
import {fastify, FastifyInstance} from 'fastify';
import {request} from 'undici';

const statePath = '/v1/desired-state';
/** Time for a peer to answer, in ms. */
const fetchTimeoutMs = 500;

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

/** Fetches the desired state that a peer has in force. */
export async function fetchDesiredState(
  address: string,
): Promise<DesiredState> {
  const answer = await request(`http://${address}${statePath}`, {
    signal: AbortSignal.timeout(fetchTimeoutMs),
    reset: true,
  });
  const body = (await answer.body.json()) as DesiredState;
  if (answer.statusCode === 200 && Number.isInteger(body.version)) return body;
  throw new Error(`peer ${address} answered ${answer.statusCode}`);
}
