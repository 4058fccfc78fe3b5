/**
 * Index of the work placed at the targets of one pool, with sums for each
 * target.
 */

import type { CrashKeys } from "./crash_suspects.ts";
import { IDLE_USE, type TargetUse } from "./target_choice.ts";

/** One piece of work placed at a target. */
export interface PlacedWork {
  readonly askId: string;
  readonly holderId: string;
  readonly targetId: string;
  readonly rank: number;
  readonly promptTokens: number;
  readonly outputTokens: number;
  readonly placedAtMs: number;
  /** Prompt tokens that the target had queued when the work was placed. */
  readonly tokensAhead: number;
  /** Predicted time from the placement to the first event; 0 if unknown. */
  readonly expectedMs: number;
  /**
   * Time from the caller's first attempt to this ask, if that was refused; else
   * 0.
   */
  readonly cameBackMs: number;
  /** Whether its first event was received, so that its prompt is processed. */
  readonly firstSeen: boolean;
  /** Local time of its first event, in milliseconds; absent before. */
  readonly firstSeenAtMs?: number;
  /** Keys of the request; absent while no target has ended recently. */
  readonly crashKeys?: CrashKeys;
  /** Set if the request is suspect, and runs isolated, on trial. */
  readonly isTrial?: true;
  /** Key of the stream that it begins or goes on with; absent for no stream. */
  readonly streamKey?: number;
  /** Software version of the target; absent if it is not known. */
  readonly version?: string;
  /** Route name, while versions of the pool's targets are compared. */
  readonly route?: string;
}

/** Index of placed work by ask, by target and by holder. */
export class PlacedWorkIndex {
  readonly #byAsk = new Map<string, PlacedWork>();
  readonly #askIdsByHolder = new Map<string, Set<string>>();
  readonly #useByTarget = new Map<string, TargetUse>();
  /** Work on trial by ask; nearly always empty. */
  readonly #trials = new Map<string, PlacedWork>();
  readonly #onUseChange: (targetId: string, use: TargetUse) => void;

  /** @param onUseChange Called when the use of a target has changed. */
  constructor(
    onUseChange: (targetId: string, use: TargetUse) => void = () => {},
  ) {
    this.#onUseChange = onUseChange;
  }

  /** Number of placed requests. */
  get size(): number {
    return this.#byAsk.size;
  }

  /**
   * @param askId Id of an ask.
   * @returns The work placed by it; undefined if there is none.
   */
  get(askId: string): PlacedWork | undefined {
    return this.#byAsk.get(askId);
  }

  /**
   * @param targetId Id of a target.
   * @returns Sums over the work that runs there.
   */
  use(targetId: string): TargetUse {
    return this.#useByTarget.get(targetId) ?? IDLE_USE;
  }

  /**
   * @param holderId Id of a holder.
   * @returns The work of all its placed asks.
   */
  workOfHolder(holderId: string): PlacedWork[] {
    const askIds = this.#askIdsByHolder.get(holderId) ?? [];
    return [...askIds].map((askId) => this.#byAsk.get(askId)!);
  }

  /**
   * @param targetId Id of a target.
   * @returns All work placed there.
   */
  workOfTarget(targetId: string): PlacedWork[] {
    return [...this.#byAsk.values()]
      .filter((work) => work.targetId === targetId);
  }

  /**
   * @param targetId Id of a target.
   * @returns Number of its requests that it has not begun to answer.
   */
  unconfirmedCount(targetId: string): number {
    return this.workOfTarget(targetId).filter(({ firstSeen }) => !firstSeen)
      .length;
  }

  /** Work that runs on trial. */
  get trials(): PlacedWork[] {
    return [...this.#trials.values()];
  }

  /**
   * Adds work, or replaces the work of the same ask.
   *
   * @param work Work placed at a target.
   */
  put(work: PlacedWork): void {
    this.remove(work.askId);
    this.#byAsk.set(work.askId, work);
    if (work.isTrial) {
      this.#trials.set(work.askId, work);
    }
    const askIds = this.#askIdsByHolder.get(work.holderId) ?? new Set();
    this.#askIdsByHolder.set(work.holderId, askIds.add(work.askId));
    this.#count(work, 1);
  }

  /**
   * Records the first event of work, so that its prompt no longer counts as
   * queued at the target.
   *
   * @param askId Id of the work's ask.
   * @param nowMs Current local time in milliseconds.
   */
  firstSeen(askId: string, nowMs: number): void {
    const work = this.#byAsk.get(askId);
    if (work !== undefined && !work.firstSeen) {
      this.put({ ...work, firstSeen: true, firstSeenAtMs: nowMs });
    }
  }

  /**
   * Removes work that has ended.
   *
   * @param askId Id of the work's ask.
   * @returns The removed work; undefined if there was none.
   */
  remove(askId: string): PlacedWork | undefined {
    const work = this.#byAsk.get(askId);
    if (work === undefined) {
      return undefined;
    }
    this.#byAsk.delete(askId);
    this.#trials.delete(askId);
    const askIds = this.#askIdsByHolder.get(work.holderId);
    askIds?.delete(askId);
    if (askIds?.size === 0) {
      this.#askIdsByHolder.delete(work.holderId);
    }
    this.#count(work, -1);
    return work;
  }

  #count(work: PlacedWork, sign: 1 | -1): void {
    const { targetId, promptTokens, outputTokens, firstSeen } = work;
    const before = this.use(targetId);
    const running = before.running + sign;
    const unprocessed = firstSeen ? 0 : promptTokens;
    const use = running === 0 ? IDLE_USE : {
      running,
      tokensAhead: before.tokensAhead + sign * unprocessed,
      kvTokens: before.kvTokens + sign * (promptTokens + outputTokens),
    };
    if (use === IDLE_USE) {
      this.#useByTarget.delete(targetId);
    } else {
      this.#useByTarget.set(targetId, use);
    }
    this.#onUseChange(targetId, use);
  }
}
