import {DispatchBounds} from '@ryeworks/dispatch';
import {HostPort} from '@ryeworks/utils';

/** Settings of one entry process on a platform. All times are in ms. */
export interface GatewaySettings extends DispatchBounds {
  readonly vm: string;
  readonly availabilityZone: string;
  /** Where callers connect. */
  readonly callerListen: HostPort;
  /** Where the balancer asks whether this VM is ready. */
  readonly readyListen: HostPort;
  /** Where peers send datagrams and fetch the desired state. */
  readonly peerListen: HostPort;
  /** Where counters and histograms are served; undefined: nowhere. */
  readonly metricsListen: HostPort | undefined;
  /** `host:port` of peers to greet before any are known. */
  readonly seedPeers: readonly string[];
  /** Time from the signal to stop until the process is killed. */
  readonly stopGraceMs: number;
  /** Log lines a second beyond which lines are dropped and counted. */
  readonly logLinesPerSecond: number;
}
