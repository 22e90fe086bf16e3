/**
 * Loopback address of this process's deployments. On 127.0.0.1, another process
 * can take a port between the time it is found free and the time it is bound.
 */
export const loopbackHost = `127.${200 + ((process.pid >> 8) % 50)}.${process.pid % 256}.1`;

/** Range of the ports; below those that the kernel gives to connections. */
const firstPort = 20_000;
const lastPort = 32_000;
let nextPort = firstPort;

/**
 * Returns ports of `loopbackHost`. A port is returned again only after all others
 * of the range.
 */
export function pickPorts(count: number): number[] {
  const ports: number[] = [];
  for (let index = 0; index < count; index++) {
    ports.push(nextPort);
    nextPort = nextPort === lastPort ? firstPort : nextPort + 1;
  }
  return ports;
}
