/** Options of a simulated engine. */

/** Capacity, rates and delays of a simulated engine. */
export interface EngineModelOptions {
  readonly targetId: string;
  readonly model: string;
  readonly slots: number;
  readonly kvTokens: number;
  readonly prefillTokensPerSecond: number;
  /** Rate of a stream that decodes alone. */
  readonly decodeTokensPerSecond: number;
  /** Slowdown of every stream for each further stream; 0.02 is 2 %. */
  readonly decodeSlowdownPerStream: number;
  /** Tokens covered by one block fingerprint. */
  readonly blockTokens: number;
  /** Capacity of the prefix cache. */
  readonly prefixCacheTokens: number;
  /** Age of the load that load reports show. */
  readonly loadLagMs: number;
  /** Delay until a cache event is published. */
  readonly cacheEventLagMs: number;
  /** Share of cache events (0 to 1) that are never published. */
  readonly cacheEventLossShare: number;
  /** Whether an order with an outdated fencing number is refused. */
  readonly checksFencing: boolean;
  /** Seed of answer lengths and of the loss of cache events. */
  readonly seed: number;
  /** Whether a stream emits its whole text as one token event. */
  readonly coalesceTokens?: boolean;
}
