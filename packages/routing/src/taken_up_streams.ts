/**
 * Finds the software version at which a stream goes on that its caller takes up
 * at an instance that did not begin it.
 */

import type { RoutingBoard } from "./routing_board.ts";
import { returnWindowMs, type StreamOrigin } from "./stream_origins.ts";
import { type AskDecision, AskRefusal, type WorkAsk } from "./work_ask.ts";

/**
 * Time after this instance became the coordinator for which the asks of unknown
 * streams wait: the other holders report the streams that they began, and the
 * fleet's record is read.
 */
const SETTLING_MS = 400;

/**
 * Time for which the ask of an unknown stream waits until it is confirmed that
 * no other version than the known one can have begun it. Without the store, a
 * round of heartbeats confirms it, which takes 1.1 s in a large fleet.
 */
const CONFIRMATION_TIMEOUT_MS = 1300;

/**
 * Time after which an instance that is asked although it is not the coordinator
 * lets asks wait again. Others may have noticed before it that the coordinator
 * has failed.
 */
const KNOWLEDGE_LIFETIME_MS = 2000;

/** Retry time of streams whose version is not known; it may be known by then. */
const UNKNOWN_RETRY_AFTER_MS = 1000;

/** Retry time of streams whose pool the route no longer selects. */
const OTHER_POOL_RETRY_AFTER_MS = 1000;

/** How the version was found at which a stream goes on. */
export enum VersionBasis {
  /** The stream's origin is recorded. */
  Recorded = "recorded",
  /** Only one version can have begun the stream. */
  OnlyVersion = "only_version",
  /** Several versions can have begun the stream, so that it is refused. */
  Unknown = "unknown",
}

/** Result of finding the version of a stream that is taken up. */
export interface TakenUpStream {
  readonly askId: string;
  readonly pool: string;
  readonly basis: VersionBasis;
  /** Version that began the stream; absent if it is not known. */
  readonly version?: string;
  /** Versions that can have begun a stream of the pool. */
  readonly versions: readonly string[];
}

/** Largest number of results that are kept until they are taken. */
const MAX_RESULTS = 1000;

/** An ask that waits. */
interface WaitingAsk {
  readonly ask: WorkAsk;
  /** Local time at which it was received. */
  readonly receivedAtMs: number;
}

/** Adds the version to asks that take a stream up, or holds or refuses them. */
export class TakenUpStreams {
  readonly #board: RoutingBoard;
  /** Asks that wait, by ask id. */
  readonly #waiting = new Map<string, WaitingAsk>();
  #results: TakenUpStream[] = [];
  #isCoordinator = false;
  #settledAtMs = -Infinity;

  /** @param board Shared routing state of the instance. */
  constructor(board: RoutingBoard) {
    this.#board = board;
  }

  /** Asks that wait for the origin of their stream, or for the fleet's record. */
  get waiting(): readonly WorkAsk[] {
    return [...this.#waiting.values()].map(({ ask }) => ask);
  }

  /** Whether asks wait for the origin of the stream that they take up. */
  get awaitsOrigins(): boolean {
    return this.waiting.some(({ takesUp }) => takesUp === true);
  }

  /**
   * Records that this instance began to assign requests, so that it may not
   * know all streams yet.
   *
   * @param nowMs The local time.
   */
  accountingBegan(nowMs: number): void {
    this.#settledAtMs = nowMs + SETTLING_MS;
  }

  /**
   * Records whether holders report to this instance.
   *
   * @param isCoordinator Whether it is the coordinator from now on.
   */
  setRole(isCoordinator: boolean): void {
    this.#isCoordinator = isCoordinator;
    if (!isCoordinator) {
      this.#settledAtMs = -Infinity;
    }
  }

  /**
   * @param ask Any ask.
   * @param nowMs The local time.
   * @returns False if it takes up a stream whose version is not known.
   */
  knowsVersionOf(ask: WorkAsk, nowMs: number): boolean {
    return ask.takesUp !== true || ask.version !== undefined ||
      this.#originOf({ ask, receivedAtMs: nowMs }, nowMs) !== undefined;
  }

  /**
   * Adds the version to an ask that takes a stream up, and lets an ask for a new
   * stream wait until the versions of its pool are recorded.
   *
   * @param ask Any ask.
   * @param nowMs The local time.
   * @returns The ask to place, or its refusal; undefined while it waits.
   */
  resolve(ask: WorkAsk, nowMs: number): WorkAsk | AskDecision | undefined {
    if (ask.takesUp !== true || ask.version !== undefined) {
      return this.#holdUnrecorded(ask, nowMs);
    }
    const received = this.#waiting.get(ask.askId) ??
      { ask, receivedAtMs: nowMs };
    const origin = this.#originOf(received, nowMs);
    const isOutdated = !this.#isCoordinator &&
      nowMs - this.#settledAtMs >= KNOWLEDGE_LIFETIME_MS;
    if (origin === undefined && isOutdated) {
      this.#settledAtMs = nowMs + SETTLING_MS;
    }
    if (origin === undefined && this.#mayBecomeKnown(received, nowMs)) {
      this.#waiting.set(ask.askId, received);
      return undefined;
    }
    this.drop(ask.askId);
    this.#addResult(ask, origin, nowMs);
    if (origin === undefined) {
      return refusalOf(ask, AskRefusal.UnknownStream, UNKNOWN_RETRY_AFTER_MS);
    }
    if (origin.pool !== ask.pool) {
      return refusalOf(
        ask,
        AskRefusal.NoTargetOfVersion,
        OTHER_POOL_RETRY_AFTER_MS,
      );
    }
    const { version } = origin;
    return this.#withAvoided({ ...ask, version }, nowMs);
  }

  /**
   * Ends the wait of an ask.
   *
   * @param askId Id of the ask; unknown ids are ignored.
   */
  drop(askId: string): void {
    this.#waiting.delete(askId);
  }

  /** Ends the wait of all asks. */
  clear(): void {
    this.#waiting.clear();
  }

  /** Lets a new stream wait while a version of its pool is not recorded. */
  #holdUnrecorded(ask: WorkAsk, nowMs: number): WorkAsk | undefined {
    const { targets, versionCoverage } = this.#board;
    const { askId, pool, streamKey, version } = ask;
    const isNew = streamKey !== undefined && version === undefined;
    const versions = targets.listedVersions(pool);
    if (isNew && versionCoverage.awaitsRecord(pool, versions, nowMs)) {
      this.#waiting.set(askId, { ask, receivedAtMs: nowMs });
      return undefined;
    }
    this.drop(askId);
    return ask;
  }

  #mayBecomeKnown({ ask, receivedAtMs }: WaitingAsk, nowMs: number): boolean {
    const isUnconfirmed = this.#versionsOf(ask, nowMs).length === 1 &&
      nowMs - receivedAtMs < CONFIRMATION_TIMEOUT_MS;
    return isUnconfirmed || nowMs < this.#settledAtMs;
  }

  /** @returns The results since the last call, for the log. */
  takeResults(): readonly TakenUpStream[] {
    const results = this.#results;
    this.#results = [];
    return results;
  }

  #addResult(
    ask: WorkAsk,
    origin: StreamOrigin | undefined,
    nowMs: number,
  ): void {
    if (this.#results.length >= MAX_RESULTS) {
      return;
    }
    const basis = origin === undefined
      ? VersionBasis.Unknown
      : this.#recordedOrigin(ask, nowMs) === undefined
      ? VersionBasis.OnlyVersion
      : VersionBasis.Recorded;
    this.#results.push({
      askId: ask.askId,
      pool: ask.pool,
      basis,
      version: origin?.version,
      versions: this.#versionsOf(ask, nowMs),
    });
  }

  /**
   * The recorded origin, or the only version that may have begun a stream. That
   * is known only if no other one served for as long as the caller can return,
   * and none had joined when it returned.
   */
  #originOf(
    { ask, receivedAtMs }: WaitingAsk,
    nowMs: number,
  ): StreamOrigin | undefined {
    const recorded = this.#recordedOrigin(ask, nowMs);
    if (recorded !== undefined) {
      return recorded;
    }
    const { versionCoverage, routes } = this.#board;
    const { pool } = ask;
    const [version, ...others] = this.#versionsOf(ask, nowMs);
    const isOnlyVersion = version !== undefined && others.length === 0 &&
      versionCoverage.sinceMs(pool) <= nowMs - returnWindowMs(routes) &&
      versionCoverage.confirmedAtMs >= receivedAtMs;
    return isOnlyVersion ? { pool, version } : undefined;
  }

  #recordedOrigin(
    { streamKey }: WorkAsk,
    nowMs: number,
  ): StreamOrigin | undefined {
    return streamKey === undefined
      ? undefined
      : this.#board.streamOrigins.get(streamKey, nowMs);
  }

  /** Versions that can have begun a stream of an ask's pool. */
  #versionsOf({ pool }: WorkAsk, nowMs: number): string[] {
    const { targets, routes } = this.#board;
    const windowMs = returnWindowMs(routes);
    return targets.versionsWithin(pool, { windowMs, nowMs });
  }

  /**
   * Excludes the targets that the holder prefers to avoid, unless they are all
   * that the version has.
   */
  #withAvoided(ask: WorkAsk, nowMs: number): WorkAsk {
    const { excluded, avoided = [], pool, version } = ask;
    const all = [...excluded, ...avoided];
    const isAnyLeft = this.#board.targets.usable(pool, nowMs)
      .some((target) =>
        target.version === version && !all.includes(target.targetId)
      );
    return isAnyLeft ? { ...ask, excluded: all } : ask;
  }
}

function refusalOf(
  { askId, holderId }: WorkAsk,
  refusal: AskRefusal,
  retryAfterMs: number,
): AskDecision {
  return { askId, holderId, refusal, retryAfterMs, figures: {} };
}
