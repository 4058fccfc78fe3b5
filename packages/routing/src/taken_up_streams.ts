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
 * Time after which an instance that is asked although it is not the coordinator
 * lets asks wait again. Others may have noticed before it that the coordinator
 * has failed.
 */
const KNOWLEDGE_LIFETIME_MS = 2000;

/** Retry time of streams whose version is not known; it may be known by then. */
const UNKNOWN_RETRY_AFTER_MS = 1000;

/** Retry time of streams whose pool the route no longer selects. */
const OTHER_POOL_RETRY_AFTER_MS = 1000;

/** Adds the version to asks that take a stream up, or holds or refuses them. */
export class TakenUpStreams {
  readonly #board: RoutingBoard;
  /** Asks that wait for the origin of their stream, by ask id. */
  readonly #waiting = new Map<string, WorkAsk>();
  #isCoordinator = false;
  #settledAtMs = -Infinity;

  /** @param board Shared routing state of the instance. */
  constructor(board: RoutingBoard) {
    this.#board = board;
  }

  /** Asks that wait for the origin of their stream. */
  get waiting(): readonly WorkAsk[] {
    return [...this.#waiting.values()];
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
      this.#originOf(ask, nowMs) !== undefined;
  }

  /**
   * Adds the version to an ask that takes a stream up.
   *
   * @param ask Any ask.
   * @param nowMs The local time.
   * @returns The ask to place, or its refusal; undefined while it waits.
   */
  resolve(ask: WorkAsk, nowMs: number): WorkAsk | AskDecision | undefined {
    if (ask.takesUp !== true || ask.version !== undefined) {
      return ask;
    }
    const origin = this.#originOf(ask, nowMs);
    const isOutdated = !this.#isCoordinator &&
      nowMs - this.#settledAtMs >= KNOWLEDGE_LIFETIME_MS;
    if (origin === undefined && isOutdated) {
      this.#settledAtMs = nowMs + SETTLING_MS;
    }
    if (origin === undefined && nowMs < this.#settledAtMs) {
      this.#waiting.set(ask.askId, ask);
      return undefined;
    }
    this.drop(ask.askId);
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

  /** The recorded origin, or the only version that may have begun a stream. */
  #originOf(
    { pool, streamKey }: WorkAsk,
    nowMs: number,
  ): StreamOrigin | undefined {
    const { streamOrigins, targets, routes } = this.#board;
    const recorded = streamKey === undefined
      ? undefined
      : streamOrigins.get(streamKey, nowMs);
    if (recorded !== undefined) {
      return recorded;
    }
    const versions = targets
      .versionsWithin(pool, { windowMs: returnWindowMs(routes), nowMs });
    return versions.length === 1 ? { pool, version: versions[0]! } : undefined;
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
