/** Types of the operators' configuration for routed requests. */

/** Whether requests of a route may be run again. */
export enum RequestKind {
  /** May run any number of times, at any target. */
  Repeatable = "repeatable",
  /** Runs at most once, whatever happens to its answer. */
  AtMostOnce = "at_most_once",
  /** A stream of events that is never run twice. */
  Stream = "stream",
  /** A stream that another target may resume after the last complete event. */
  ResumableStream = "resumable_stream",
}

/** Weighted share of a route's requests that goes to one pool. */
export interface PoolShare {
  readonly pool: string;
  /** Relative to the other shares of the route. */
  readonly weight: number;
}

/** Policy for the requests of one route. */
export interface RoutePolicy {
  readonly name: string;
  readonly host: string;
  /** Begins and ends with a slash. */
  readonly prefix: string;
  readonly kind: RequestKind;
  /** Priority class; 0 is the highest. */
  readonly rank: number;
  readonly pools: readonly PoolShare[];
  /** Maximum time to the complete answer. */
  readonly timeoutMs: number;
  /**
   * Latency objective: time to the answer, or to the first event of a stream.
   */
  readonly objectiveMs: number;
  /** Maximum time between two events of a stream that callers accept. */
  readonly longestGapMs: number;
  /** Maximum number of targets that one request may run on. */
  readonly maxAttempts: number;
  /** Whether callers need no key. */
  readonly isPublic: boolean;
}

/** Properties of a pool of model engines. */
export interface EnginePolicy {
  readonly slots: number;
  readonly kvCapacityTokens: number;
}

/** One pool of targets that do the same work. */
export interface PoolPolicy {
  readonly name: string;
  /** Connections that one target takes from all instances together. */
  readonly maxConnections: number;
  /** Absent for plain services. */
  readonly engine?: EnginePolicy;
}

/** Rate of spending that a workspace is allowed over all instances together. */
export interface Allotment {
  /** Cost units a second. */
  readonly perS: number;
  /** Cost units that may be spent in a burst. */
  readonly burst: number;
  /** Whether a request costs its tokens or counts as one unit. */
  readonly inTokens: boolean;
  /** Cost of a request without token counts. */
  readonly plainTokens: number;
}

/** Keys, rank and allotment of one workspace. */
export interface WorkspacePolicy {
  readonly name: string;
  readonly keys: readonly string[];
  /** Rank that takes precedence over the route's rank; absent for none. */
  readonly rank?: number;
  /** Absent where spending is not limited. */
  readonly allotment?: Allotment;
}

/** Limits on the size of callers' requests and on the time to send them. */
export interface CallerLimits {
  readonly maxHeaderBytes: number;
  readonly maxBodyBytes: number;
  readonly headerTimeoutMs: number;
  readonly idleTimeoutMs: number;
}

/** One complete version of the configuration. */
export interface FleetConfiguration {
  /** Increases with every change. */
  readonly version: number;
  readonly routes: readonly RoutePolicy[];
  readonly pools: readonly PoolPolicy[];
  readonly workspaces: readonly WorkspacePolicy[];
  readonly limits: CallerLimits;
}
