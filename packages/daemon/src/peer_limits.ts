/** Limits and timeouts of the links between instances. */

/** Limits and timeouts of the links to peers. */
export interface PeerLimits {
  /** Bytes that may be queued on one connection. */
  readonly maxQueuedBytes: number;
  /** Accepted connections that may be open at a time. */
  readonly maxInboundConnections: number;
  /** Time from opening the socket to the peer's valid proof. */
  readonly handshakeTimeoutMs: number;
  /** An idle connection sends a keep-alive at this interval. */
  readonly keepAliveIntervalMs: number;
  /** A connection that receives nothing for more intervals is closed. */
  readonly maxSilentIntervals: number;
  /** Time in which a draining connection must send its queued frames. */
  readonly drainTimeoutMs: number;
  /** Upper bound of the first backoff delay between dial attempts. */
  readonly redialBaseMs: number;
  /** Upper bound of every backoff delay between dial attempts. */
  readonly redialMaxMs: number;
  /** Minimum time between two log lines of one kind. */
  readonly logIntervalMs: number;
}

/** Limits for every value that the options leave out. */
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
