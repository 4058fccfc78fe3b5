/** What one gateway process has to know at its start. */

import type { FleetBounds } from "@chestnuthatch/routing/coordinator";
import type { ExposureBound } from "@chestnuthatch/routing/rollouts";

/** Start settings of a gateway. */
export interface GatewaySettings {
  readonly instanceId: string;
  readonly failureDomain: string;
  /** `ip:port` that callers connect to. */
  readonly callerAddress: string;
  /** `ip:port` that tells whether this instance is ready. */
  readonly statusAddress: string;
  /** `ip:port` of metrics. */
  readonly metricsAddress: string;
  /** `ip:port` of datagrams between instances. */
  readonly peerAddress: string;
  /** Port at which instances hand each other what is too large for those. */
  readonly catalogPort: number;
  /** Peer addresses of instances that may be asked first. */
  readonly seedAddresses: readonly string[];
  /** Processor cores that the instance may use; it may be part of one. */
  readonly cores: number;
  /** Time from a stop signal until the process is killed. */
  readonly graceMs: number;
  /** Time within which a confirmed configuration has to be in force. */
  readonly configurationApplyMs: number;
  /** Bounds that hold for all instances together. */
  readonly bounds: FleetBounds;
  /** Requests that a version may get which turns out to be bad. */
  readonly exposure: ExposureBound;
}
