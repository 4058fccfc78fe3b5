/** Start settings of one gateway process. */

import type { FleetBounds } from "@chestnuthatch/routing/coordinator";
import type { ExposureBound } from "@chestnuthatch/routing/rollouts";

/** Start settings of a gateway, read from the settings file. */
export interface GatewaySettings {
  readonly instanceId: string;
  readonly failureDomain: string;
  /** `ip:port` that callers connect to. */
  readonly callerAddress: string;
  /** `ip:port` of the readiness endpoint. */
  readonly statusAddress: string;
  /** `ip:port` of the metrics endpoint. */
  readonly metricsAddress: string;
  /** `ip:port` of the UDP socket for messages between instances. */
  readonly peerAddress: string;
  /** TCP port of the server of snapshots, which exceed a datagram. */
  readonly snapshotPort: number;
  /** TCP port of the server that relays requests of other instances. */
  readonly relayPort: number;
  /** Peer addresses of instances that heartbeats are sent to first. */
  readonly seedAddresses: readonly string[];
  /** Processor cores that the instance may use; may be a fraction. */
  readonly cores: number;
  /** Grace period: time from a stop signal until the process is killed. */
  readonly graceMs: number;
  /** Time within which a confirmed configuration has to be in force. */
  readonly configurationApplyMs: number;
  /** Bounds on retries and spending that hold for the whole fleet. */
  readonly bounds: FleetBounds;
  /** Bound on the requests that are sent to a bad version in a roll-out. */
  readonly exposure: ExposureBound;
}
