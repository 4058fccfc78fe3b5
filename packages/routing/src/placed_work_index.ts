/** What runs at the targets of one pool, with sums for each target. */

import { IDLE_USE, type TargetUse } from "./target_choice.ts";

/** Work at a target. */
export interface PlacedWork {
  readonly askId: string;
  readonly holderId: string;
  readonly targetId: string;
  readonly rank: number;
  readonly promptTokens: number;
  readonly outputTokens: number;
  readonly placedAtMs: number;
  /** Prompt tokens that waited at the target when it was placed. */
  readonly tokensAhead: number;
  /** When its first event was expected, from its placement; 0 if unknown. */
  readonly expectedMs: number;
  /** Time since its caller's first attempt, where that was refused. */
  readonly cameBackMs: number;
  /** Whether its first event came, so that its prompt was read. */
  readonly firstSeen: boolean;
  /** Fingerprint of a request that runs on trial; absent for all others. */
  readonly trialOf?: string;
  /** Its route, while versions of the pool's targets are compared. */
  readonly route?: string;
}

/** Placed work by ask, by target and by holder. */
export class PlacedWorkIndex {
  readonly #byAsk = new Map<string, PlacedWork>();
  readonly #askIdsByHolder = new Map<string, Set<string>>();
  readonly #useByTarget = new Map<string, TargetUse>();
  /** Those that run on trial; hardly ever any. */
  readonly #trials = new Map<string, PlacedWork>();
  readonly #onUseChange: (targetId: string, use: TargetUse) => void;

  /** @param onUseChange Called when what runs at a target has changed. */
  constructor(
    onUseChange: (targetId: string, use: TargetUse) => void = () => {},
  ) {
    this.#onUseChange = onUseChange;
  }

  /** Number of works. */
  get size(): number {
    return this.#byAsk.size;
  }

  /**
   * @param askId An ask.
   * @returns Its work, if it was placed.
   */
  get(askId: string): PlacedWork | undefined {
    return this.#byAsk.get(askId);
  }

  /**
   * @param targetId A target.
   * @returns What runs there.
   */
  use(targetId: string): TargetUse {
    return this.#useByTarget.get(targetId) ?? IDLE_USE;
  }

  /**
   * @param holderId A holder.
   * @returns Its works.
   */
  ofHolder(holderId: string): PlacedWork[] {
    const askIds = this.#askIdsByHolder.get(holderId) ?? [];
    return [...askIds].map((askId) => this.#byAsk.get(askId)!);
  }

  /**
   * @param targetId A target.
   * @returns Its works.
   */
  ofTarget(targetId: string): PlacedWork[] {
    return [...this.#byAsk.values()]
      .filter((work) => work.targetId === targetId);
  }

  /**
   * @param fingerprint A request.
   * @returns Whether it runs on trial now.
   */
  isOnTrial(fingerprint: string): boolean {
    return [...this.#trials.values()]
      .some(({ trialOf }) => trialOf === fingerprint);
  }

  /**
   * @param targetId A target.
   * @returns Whether a request runs there on trial.
   */
  hasTrialAt(targetId: string): boolean {
    return [...this.#trials.values()]
      .some((work) => work.targetId === targetId);
  }

  /** @param work Work that a target has got; known work is replaced. */
  put(work: PlacedWork): void {
    this.remove(work.askId);
    this.#byAsk.set(work.askId, work);
    if (work.trialOf !== undefined) {
      this.#trials.set(work.askId, work);
    }
    const askIds = this.#askIdsByHolder.get(work.holderId) ?? new Set();
    this.#askIdsByHolder.set(work.holderId, askIds.add(work.askId));
    this.#count(work, 1);
  }

  /** @param askId Work whose first event came. */
  firstSeen(askId: string): void {
    const work = this.#byAsk.get(askId);
    if (work !== undefined && !work.firstSeen) {
      this.put({ ...work, firstSeen: true });
    }
  }

  /**
   * @param askId Work that has ended.
   * @returns The work, if there was any.
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
    const unread = firstSeen ? 0 : promptTokens;
    const use = running === 0 ? IDLE_USE : {
      running,
      tokensAhead: before.tokensAhead + sign * unread,
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
