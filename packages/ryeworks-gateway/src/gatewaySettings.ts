import {DispatchBounds} from '@ryeworks/dispatch';
import {HostPort} from '@ryeworks/utils';

/** Settings of one gateway process. All times are in ms. */
export interface GatewaySettings extends DispatchBounds {
  readonly vm: string;
  readonly availabilityZone: string;
  /** Address on which callers connect. */
  readonly callerListen: HostPort;
  /** Address on which the load balancer checks whether this VM is ready. */
  readonly readyListen: HostPort;
  /**
   * Address to which peers send datagrams, and from which they fetch the desired
   * state and the store view.
   */
  readonly peerListen: HostPort;
  /** Address that serves metrics; undefined when metrics are not served. */
  readonly metricsListen: HostPort | undefined;
  /** `host:port` of the peers to contact before any peer is known. */
  readonly seedPeers: readonly string[];
  /** Grace period between the stop signal and the forced kill of the process. */
  readonly stopGraceMs: number;
  /** What the VM can carry for others; see `DispatchOptions`. */
  readonly relayCapacity: number;
  /** See `DispatchOptions`. */
  readonly evacuationMs?: number;
  /** See `DispatchOptions`. */
  readonly regionByZone?: Readonly<Record<string, string>>;
  /** Memory that the process may use, in bytes; undefined if not limited. */
  readonly memoryBytes: number | undefined;
  /** Open files that the process may have; undefined if not limited. */
  readonly maxDescriptors: number | undefined;
  /** Maximum log lines per second; lines beyond it are dropped and counted. */
  readonly logLinesPerSecond: number;
}
