/** What one instance takes from callers at most. */

/** Bounds of the callers' edge. */
export interface CallerLimits {
  /** Most bytes of one request's body. */
  readonly maxBodyBytes: number;
  /** Most bytes of all bodies that are kept at a time. */
  readonly maxKeptBodyBytes: number;
  /** Most bytes of one request's headers. */
  readonly maxHeaderBytes: number;
  readonly maxOpenRequests: number;
  readonly maxConnections: number;
  /** Longest time for a caller to send its headers. */
  readonly headersTimeoutMs: number;
  /** Longest time for a caller to send its body. */
  readonly bodyTimeoutMs: number;
  /** Longest time for a caller to take in a finished answer. */
  readonly deliverTimeoutMs: number;
  /** Most bytes of a stream that wait for its reader. */
  readonly maxBufferedStreamBytes: number;
  /** Most bytes of a refused body that are read and dropped. */
  readonly maxDiscardedBytes: number;
  /** Longest time for which a refused body is read and dropped. */
  readonly discardTimeoutMs: number;
  /** Retry hint of refusals for these limits. */
  readonly retryAfterMs: number;
}

const KIB = 1024;
const MIB = 1024 * KIB;

/** Limits that suit a small instance. */
export const DEFAULT_CALLER_LIMITS: CallerLimits = {
  maxBodyBytes: 4 * MIB,
  maxKeptBodyBytes: 256 * MIB,
  maxHeaderBytes: 16 * KIB,
  maxOpenRequests: 4096,
  maxConnections: 8192,
  headersTimeoutMs: 10_000,
  bodyTimeoutMs: 10_000,
  deliverTimeoutMs: 60_000,
  maxBufferedStreamBytes: MIB,
  maxDiscardedBytes: 256 * KIB,
  discardTimeoutMs: 1_000,
  retryAfterMs: 1_000,
};
