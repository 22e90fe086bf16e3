import {systemClock} from '@ryeworks/utils';
import {AddressInfo, connect, createServer, Server, Socket} from 'node:net';

/** Faults of a connection path that can be switched on. */
export interface ProxyFaults {
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

/** Creates the faults of a path that works. */
export function createNoFaults(): ProxyFaults {
  return {
    isCut: false,
    isBlackholed: false,
    delayMs: 0,
    dropsRequests: false,
    dropsAnswers: false,
  };
}

/** One connection through the proxy. */
interface Connection {
  readonly near: Socket;
  readonly far: Socket;
  /** Silent for good, though both ends stay open. */
  isSilent: boolean;
}

/** Where a proxy listens and what it stands before. */
export interface ProxyRoute {
  readonly host: string;
  /** 0: any that is free. */
  readonly port: number;
  readonly targetHost: string;
  readonly targetPort: number;
}

/** Steps that are delayed and never overtake each other. */
class DelayedSteps {
  private lastDueMs = 0;

  /** Runs a step after a delay, in ms, and after all steps before it. */
  run(delayMs: number, step: () => void): void {
    const nowMs = systemClock.readNowMs();
    const dueMs = Math.max(nowMs + delayMs, this.lastDueMs);
    if (dueMs <= nowMs) {
      step();
      return;
    }
    // Timers of one length run in the order in which they were set.
    this.lastDueMs = Math.ceil(dueMs) + 1;
    setTimeout(step, this.lastDueMs - nowMs);
  }
}

/** A TCP proxy that can cut, delay and silence connections. */
export class FaultProxy {
  private readonly faults = createNoFaults();
  private readonly connections = new Set<Connection>();
  private readonly server: Server;

  constructor(private readonly route: ProxyRoute) {
    this.server = createServer(near => this.handleConnection(near));
  }

  /** Starts listening; returns the port. */
  listen(): Promise<number> {
    const {host, port} = this.route;
    return new Promise((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen(port, host, () => {
        resolve((this.server.address() as AddressInfo).port);
      });
    });
  }

  /** Switches faults on or off; returns those that are on. */
  setFaults(changes: Partial<ProxyFaults>): ProxyFaults {
    Object.assign(this.faults, changes);
    if (this.faults.isCut) this.breakOpen();
    return this.faults;
  }

  /** Resets the open connections; new ones work. */
  breakOpen(): void {
    for (const {near} of this.connections) near.resetAndDestroy();
  }

  /** Makes the open connections silent for good; new ones work. */
  setOpenSilent(): void {
    for (const connection of this.connections) connection.isSilent = true;
  }

  /** Closes the listener and every connection. */
  close(): void {
    this.server.close();
    for (const {near, far} of this.connections) {
      near.destroy();
      far.destroy();
    }
  }

  private handleConnection(near: Socket): void {
    if (this.faults.isCut) {
      near.resetAndDestroy();
      return;
    }
    const far = connect(this.route.targetPort, this.route.targetHost);
    const connection = {near, far, isSilent: false};
    this.connections.add(connection);
    this.passBytes(connection, near, far, 'dropsRequests');
    this.passBytes(connection, far, near, 'dropsAnswers');
  }

  /** Passes bytes one way unless a fault stops them. */
  private passBytes(
    connection: Connection,
    from: Socket,
    to: Socket,
    drops: 'dropsRequests' | 'dropsAnswers',
  ): void {
    const {faults} = this;
    const queue = new DelayedSteps();
    from.on('data', chunk => {
      const isDropped =
        connection.isSilent || faults.isBlackholed || faults[drops];
      if (!isDropped) queue.run(faults.delayMs, () => to.write(chunk));
    });
    from.on('error', () => to.destroy());
    from.on('close', () => {
      this.connections.delete(connection);
      if (connection.isSilent) return;
      queue.run(faults.delayMs, () => to.destroy());
    });
  }
}
