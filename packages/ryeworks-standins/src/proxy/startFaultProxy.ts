import Fastify, {FastifyInstance} from 'fastify';
import {createServer, connect, Socket} from 'node:net';

/** Options of {@link startFaultProxy}. */
export interface FaultProxyOptions {
  readonly host: string;
  readonly port: number;
  /** Port on which the faults are switched. */
  readonly controlPort: number;
  readonly targetHost: string;
  readonly targetPort: number;
}

/** Faults of a connection path that can be switched on. */
interface ProxyFaults {
  /** New connections are refused and open ones reset. */
  isCut: boolean;
  /** New and open connections pass nothing on and stay open. */
  isBlackholed: boolean;
  /** Time by which bytes are delayed, in ms. */
  delayMs: number;
  /** Nothing passes towards the target. */
  dropsRequests: boolean;
  /** Nothing passes back from the target. */
  dropsAnswers: boolean;
}

/** One connection through the proxy. */
interface Connection {
  readonly near: Socket;
  readonly far: Socket;
  /** Silent for good, though both ends stay open. */
  isSilent: boolean;
}

/** Starts a TCP proxy that can cut, delay and silence connections. */
export async function startFaultProxy(
  options: FaultProxyOptions,
): Promise<FastifyInstance> {
  const connections = new Set<Connection>();
  const faults: ProxyFaults = {
    isCut: false,
    isBlackholed: false,
    delayMs: 0,
    dropsRequests: false,
    dropsAnswers: false,
  };

  /** Passes bytes one way unless a fault stops them. */
  function passBytes(
    connection: Connection,
    from: Socket,
    to: Socket,
    drops: 'dropsRequests' | 'dropsAnswers',
  ): void {
    from.on('data', chunk => {
      const isDropped =
        connection.isSilent || faults.isBlackholed || faults[drops];
      if (isDropped) return;
      if (faults.delayMs === 0) to.write(chunk);
      else setTimeout(() => to.write(chunk), faults.delayMs);
    });
    from.on('error', () => to.destroy());
    from.on('close', () => {
      connections.delete(connection);
      if (!connection.isSilent) to.destroy();
    });
  }

  const proxy = createServer(near => {
    if (faults.isCut) {
      near.resetAndDestroy();
      return;
    }
    const far = connect(options.targetPort, options.targetHost);
    const connection = {near, far, isSilent: false};
    connections.add(connection);
    passBytes(connection, near, far, 'dropsRequests');
    passBytes(connection, far, near, 'dropsAnswers');
  });

  const control = Fastify({forceCloseConnections: true});
  control.post<{Body: Partial<ProxyFaults> & {silenceOpen?: boolean}}>(
    '/control',
    request => {
      const {silenceOpen, ...changes} = request.body;
      Object.assign(faults, changes);
      for (const connection of connections) {
        if (silenceOpen === true) connection.isSilent = true;
        if (faults.isCut) connection.near.resetAndDestroy();
      }
      return faults;
    },
  );
  control.addHook('onClose', () => {
    proxy.close();
    for (const {near, far} of connections) {
      near.destroy();
      far.destroy();
    }
  });
  await new Promise<void>(resolve =>
    proxy.listen(options.port, options.host, resolve),
  );
  await control.listen({host: options.host, port: options.controlPort});
  return control;
}
