import {resetSocket, systemClock} from '@ryeworks/utils';
import {WorkPause} from '../pause/workPause.js';
import {AddressInfo, connect, createServer, Server, Socket} from 'node:net';

/** Faults that can be injected into a network path. */
export interface ProxyFaults {
  /** Whether new connections are refused and open ones reset. */
  isCut: boolean;
  /** Whether new and open connections stay open but transfer no data. */
  isBlackholed: boolean;
  /** Delay of all data, in ms. */
  delayMs: number;
  /** Whether data to the target is dropped. */
  dropsRequests: boolean;
  /** Whether data from the target is dropped. */
  dropsAnswers: boolean;
}

/** Creates the values for a path without faults. */
export function createNoFaults(): ProxyFaults {
  return {
    isCut: false,
    isBlackholed: false,
    delayMs: 0,
    dropsRequests: false,
    dropsAnswers: false,
  };
}

/** A connection through the proxy. */
interface Connection {
  readonly client: Socket;
  readonly upstream: Socket;
  /** Whether it permanently transfers no data, though both ends stay open. */
  isSilent: boolean;
  /** Whether data was lost, so that it can only end with a reset. */
  hasLostData: boolean;
}

/** Address on which a proxy listens and the target it forwards to. */
export interface ProxyRoute {
  readonly host: string;
  /** TCP port; 0 selects a free port. */
  readonly port: number;
  readonly targetHost: string;
  readonly targetPort: number;
}

/** Runs actions after a delay, in the order in which they were added. */
class DelayQueue {
  private readonly waiting: Array<{dueMs: number; action: () => void}> = [];

  /** Runs an action after a delay, in ms, and after all earlier actions. */
  run(delayMs: number, action: () => void): void {
    if (delayMs <= 0 && this.waiting.length === 0) {
      action();
      return;
    }
    this.waiting.push({dueMs: systemClock.readNowMs() + delayMs, action});
    if (this.waiting.length === 1) this.scheduleFirst();
  }

  /**
   * Sets one timer, for the first action only: timers with different durations
   * may fire in another order than they are due.
   */
  private scheduleFirst(): void {
    const leftMs = this.waiting[0].dueMs - systemClock.readNowMs();
    setTimeout(() => this.runDue(), Math.max(0, Math.ceil(leftMs)));
  }

  private runDue(): void {
    const nowMs = systemClock.readNowMs();
    while (this.waiting.length > 0 && this.waiting[0].dueMs <= nowMs) {
      this.waiting.shift()!.action();
    }
    if (this.waiting.length > 0) this.scheduleFirst();
  }
}

/** A TCP proxy that can reset, delay and silence connections. */
export class FaultProxy {
  private readonly faults = createNoFaults();
  private readonly pause = new WorkPause();
  private readonly connections = new Set<Connection>();
  private readonly server: Server;

  constructor(private readonly route: ProxyRoute) {
    this.server = createServer(client => this.handleConnection(client));
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

  /** Changes the faults; returns all current values. */
  setFaults(changes: Partial<ProxyFaults>): ProxyFaults {
    Object.assign(this.faults, changes);
    if (this.faults.isCut) this.resetOpenConnections();
    return this.faults;
  }

  /**
   * Holds all data for a time, then passes it on, so that nothing is lost. Of the
   * first data of each connection in that time, half is passed on at once: the
   * rest of a head or an event may then be missing for the time.
   */
  holdFor(durationMs: number): void {
    this.pause.start(durationMs);
  }

  /** Resets the open connections; new connections are not affected. */
  resetOpenConnections(): void {
    for (const {client} of this.connections) resetSocket(client);
  }

  /**
   * Makes the open connections permanently silent; new connections are not
   * affected.
   */
  silenceOpenConnections(): void {
    for (const connection of this.connections) connection.isSilent = true;
  }

  /** Closes the listener and all connections. */
  close(): void {
    this.server.close();
    for (const {client, upstream} of this.connections) {
      // Without a reset, an answer that is cut here might look complete.
      resetSocket(client);
      upstream.destroy();
    }
  }

  private handleConnection(client: Socket): void {
    if (this.faults.isCut) {
      resetSocket(client);
      return;
    }
    const upstream = connect(this.route.targetPort, this.route.targetHost);
    const flags = {isSilent: false, hasLostData: false};
    const connection = {client, upstream, ...flags};
    this.connections.add(connection);
    this.passBytes(connection, client, upstream, 'dropsRequests');
    this.passBytes(connection, upstream, client, 'dropsAnswers');
  }

  /** Forwards data in one direction unless a fault prevents it. */
  private passBytes(
    connection: Connection,
    from: Socket,
    to: Socket,
    dropFault: 'dropsRequests' | 'dropsAnswers',
  ): void {
    const {faults} = this;
    const queue = new DelayQueue();
    let isHolding = false;
    from.on('data', chunk => {
      const isDropped =
        connection.isSilent || faults.isBlackholed || faults[dropFault];
      if (isDropped) {
        connection.hasLostData = true;
        return;
      }
      const heldMs = this.pause.getLeftMs();
      const passedBytes = heldMs > 0 && !isHolding ? chunk.length >> 1 : 0;
      isHolding = heldMs > 0;
      if (passedBytes > 0) {
        const passed = chunk.subarray(0, passedBytes);
        queue.run(faults.delayMs, () => to.write(passed));
      }
      const rest = chunk.subarray(passedBytes);
      queue.run(Math.max(heldMs, faults.delayMs), () => to.write(rest));
    });
    from.on('error', () => (connection.hasLostData = true));
    from.on('close', () => {
      this.connections.delete(connection);
      if (connection.isSilent) return;
      const delayMs = Math.max(this.pause.getLeftMs(), faults.delayMs);
      queue.run(delayMs, () => {
        if (connection.hasLostData) resetSocket(to);
        else to.destroySoon();
      });
    });
  }
}
