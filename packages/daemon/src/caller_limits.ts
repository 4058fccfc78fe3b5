/** Limits of the callers' edge. */

/** Sizes, counts and timeouts that the callers' edge enforces. */
export interface CallerLimits {
  /** Maximum size of one request's body. */
  readonly maxBodyBytes: number;
  /** Maximum size of all request bodies held in memory at a time. */
  readonly maxTotalBodyBytes: number;
  /** Maximum size of one request's headers. */
  readonly maxHeaderBytes: number;
  /** Maximum number of requests open at a time. */
  readonly maxOpenRequests: number;
  /** Maximum number of connections open at a time. */
  readonly maxConnections: number;
  /** Time within which a caller must send its headers. */
  readonly headersTimeoutMs: number;
  /** Time within which a caller must send its body. */
  readonly bodyTimeoutMs: number;
  /** Time within which a caller must read a finished answer. */
  readonly deliveryTimeoutMs: number;
  /** Maximum size of the part of a stream that the caller has not read. */
  readonly maxBufferedStreamBytes: number;
  /** Maximum number of bytes of a refused body that are discarded. */
  readonly maxDiscardedBytes: number;
  /** Time for which bytes of a refused body are discarded. */
  readonly discardTimeoutMs: number;
  /** Retry delay sent with refusals that these limits cause. */
  readonly retryAfterMs: number;
}

const KIB = 1024;
const MIB = 1024 * KIB;

/** Default limits, sized for a small instance. */
export const DEFAULT_CALLER_LIMITS: CallerLimits = {
  maxBodyBytes: 4 * MIB,
  maxTotalBodyBytes: 256 * MIB,
  maxHeaderBytes: 16 * KIB,
  maxOpenRequests: 4096,
  maxConnections: 8192,
  headersTimeoutMs: 10_000,
  bodyTimeoutMs: 10_000,
  deliveryTimeoutMs: 60_000,
  maxBufferedStreamBytes: MIB,
  maxDiscardedBytes: 256 * KIB,
  discardTimeoutMs: 1_000,
  retryAfterMs: 1_000,
};
