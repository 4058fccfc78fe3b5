/** Bounds that the links between instances keep to. */

/** Every bound, with its unit. */
export interface PeerLimits {
  /** Bytes that may wait for one connection to take them. */
  readonly maxQueuedBytes: number;
  readonly maxInboundConnections: number;
  /** From opening the socket to the other side's proof. */
  readonly handshakeTimeoutMs: number;
  /** A connection with nothing to send says so at this interval. */
  readonly keepAliveIntervalMs: number;
  /** A connection that hears nothing for this many intervals is closed. */
  readonly maxSilentIntervals: number;
  /** How long a connection that closes may take to drain. */
  readonly drainTimeoutMs: number;
  readonly redialBaseMs: number;
  readonly redialMaxMs: number;
  /** Least time between two log lines of one kind. */
  readonly logIntervalMs: number;
}

/** The bounds used where the settings give none. */
export const DEFAULT_PEER_LIMITS: PeerLimits = {
  maxQueuedBytes: 8 * 1024 * 1024,
  maxInboundConnections: 256,
  handshakeTimeoutMs: 2_000,
  keepAliveIntervalMs: 1_000,
  maxSilentIntervals: 5,
  drainTimeoutMs: 5_000,
  redialBaseMs: 100,
  redialMaxMs: 2_000,
  logIntervalMs: 5_000,
};
