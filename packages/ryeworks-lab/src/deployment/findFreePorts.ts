import {AddressInfo, createServer, Server} from 'node:net';

/** Finds TCP ports that are free on loopback at the time of the call. */
export async function findFreePorts(count: number): Promise<number[]> {
  const servers: Server[] = [];
  for (let index = 0; index < count; index++) {
    const server = createServer();
    await new Promise<void>(resolve =>
      server.listen(0, '127.0.0.1', () => resolve()),
    );
    servers.push(server);
  }
  const ports = servers.map(server => (server.address() as AddressInfo).port);
  for (const server of servers) {
    await new Promise<void>(resolve => server.close(() => resolve()));
  }
  return ports;
}
