import Fastify, {FastifyInstance} from 'fastify';
import {FaultProxy, ProxyFaults, ProxyRoute} from './faultProxy.js';

/** Options of {@link startFaultProxy}. */
export interface FaultProxyOptions extends ProxyRoute {
  /** Port of the HTTP API that controls the faults. */
  readonly controlPort: number;
}

/** Starts a fault proxy and an HTTP server that controls its faults. */
export async function startFaultProxy(
  options: FaultProxyOptions,
): Promise<FastifyInstance> {
  const proxy = new FaultProxy(options);
  const control = Fastify({forceCloseConnections: true});
  control.post<{
    Body: Partial<ProxyFaults> & {holdMs?: number; silenceOpen?: boolean};
  }>('/control', request => {
    const {holdMs, silenceOpen, ...changes} = request.body;
    if (holdMs !== undefined) proxy.holdFor(holdMs);
    if (silenceOpen === true) proxy.silenceOpenConnections();
    return proxy.setFaults(changes);
  });
  control.addHook('onClose', () => proxy.close());
  await proxy.listen();
  await control.listen({host: options.host, port: options.controlPort});
  return control;
}
