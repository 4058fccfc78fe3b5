/** What an engine stand-in can be told to be like. */

/** What an engine is like. */
export interface EngineModelOptions {
  readonly targetId: string;
  readonly model: string;
  readonly slots: number;
  readonly kvTokens: number;
  readonly prefillTokensPerSecond: number;
  /** Rate of one stream that is alone. */
  readonly decodeTokensPerSecond: number;
  /** Slowdown of every stream for each further stream; 0.02 is 2 %. */
  readonly decodeSlowdownPerStream: number;
  /** Tokens that one block fingerprint stands for. */
  readonly blockTokens: number;
  readonly prefixCacheTokens: number;
  /** Age of the state that load reports show. */
  readonly loadLagMs: number;
  readonly cacheEventLagMs: number;
  /** Share of cache events (0 to 1) that are never published. */
  readonly cacheEventLossShare: number;
  readonly checksFencing: boolean;
  readonly seed: number;
  /** Gives each stream one token event with the whole text. */
  readonly coalesceTokens?: boolean;
}
