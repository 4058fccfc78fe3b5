/** The fleet's configuration for routed requests, as the operators agreed it. */

/** What may be repeated of a request. */
export enum RequestKind {
  /** May run any number of times, at any target. */
  Repeatable = "repeatable",
  /** Runs at most once, whatever happens to its answer. */
  AtMostOnce = "at_most_once",
  /** A stream of events that is never run twice. */
  Stream = "stream",
  /** A stream that another target may continue after the last whole event. */
  ResumableStream = "resumable_stream",
}

/** One way that a route's requests may go. */
export interface PoolShare {
  readonly pool: string;
  /** Relative to the other shares of the route. */
  readonly weight: number;
}

/** How the requests of one route are treated. */
export interface RoutePolicy {
  readonly name: string;
  readonly host: string;
  /** Begins and ends with a slash. */
  readonly prefix: string;
  readonly kind: RequestKind;
  /** 0 is the most valuable. */
  readonly rank: number;
  readonly pools: readonly PoolShare[];
  /** Longest time that a caller may be kept waiting for the whole answer. */
  readonly timeoutMs: number;
  /** Time to the answer, or to a stream's first event, that callers expect. */
  readonly objectiveMs: number;
  /** Longest pause between two events of a stream that callers accept. */
  readonly longestGapMs: number;
  /** Most targets that one request may run on. */
  readonly maxAttempts: number;
  /** Whether callers need no key. */
  readonly isPublic: boolean;
}

/** What is known of a pool of model engines. */
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

/** What a workspace may spend, over all instances together. */
export interface Allotment {
  /** Cost units a second. */
  readonly perS: number;
  /** Cost units that may be spent at once. */
  readonly burst: number;
  /** Whether a request costs its tokens or counts as one. */
  readonly inTokens: boolean;
  /** Cost of a request that tells no token counts. */
  readonly plainTokens: number;
}

/** One workspace: who holds which keys, and what they may spend. */
export interface WorkspacePolicy {
  readonly name: string;
  readonly keys: readonly string[];
  /** Goes before the route's rank where present. */
  readonly rank?: number;
  /** Absent where there is no limit. */
  readonly allotment?: Allotment;
}

/** What a caller may send, and how slowly. */
export interface CallerLimits {
  readonly maxHeaderBytes: number;
  readonly maxBodyBytes: number;
  readonly headerTimeoutMs: number;
  readonly idleTimeoutMs: number;
}

/** One whole version of the configuration. */
export interface FleetConfiguration {
  /** Rises with every change. */
  readonly version: number;
  readonly routes: readonly RoutePolicy[];
  readonly pools: readonly PoolPolicy[];
  readonly workspaces: readonly WorkspacePolicy[];
  readonly limits: CallerLimits;
}
