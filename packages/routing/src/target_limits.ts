/**
 * Rate limits that targets in need name in their answers. A limit holds for all
 * instances together, until the target answers without one.
 *
 * Instances tell each other what answers said and how long ago; the newest word
 * on a target counts, so that all of them come to the same in any order.
 */

/** What instances tell each other of a target's limit. */
export interface TargetLimitNews {
  readonly targetId: string;
  /** Requests a second from all instances together; absent once lifted. */
  readonly limitPerS?: number;
  /** How long ago an answer said so. */
  readonly ageMs: number;
}

/** A change of what is believed of a target's limit. */
export interface TargetLimitChange {
  readonly targetId: string;
  /** Absent where there was none. */
  readonly beforePerS?: number;
  /** Absent where there is none any more. */
  readonly limitPerS?: number;
}

/**
 * Time without an answer that names a limit before it may count as lifted:
 * not every answer of a target in need has to name it.
 */
const LIFT_AFTER_MS = 4000;

/**
 * News that agree with what is known count from so much newer on. The way of a
 * message adds to the time that it tells, so that instances which repeat each
 * other would make old news look ever newer.
 */
const ECHO_MS = 1000;

/** How long a change is told to other instances in every heartbeat. */
const CHANGE_TOLD_MS = 2500;

interface KnownLimit {
  /** Absent once lifted. */
  readonly limitPerS?: number;
  /** When an answer last named it, or lifted it. */
  readonly saidAtMs: number;
  /** When the belief last changed here. */
  readonly changedAtMs: number;
}

/** What an answer or another instance said. */
type SaidLimit = Omit<KnownLimit, "changedAtMs">;

/** Limits by target. */
export class TargetLimits {
  readonly #byId = new Map<string, KnownLimit>();
  #limitedCount = 0;

  /**
   * @param targetId A target.
   * @returns Its limit in requests a second; absent where it names none.
   */
  limitPerS(targetId: string): number | undefined {
    return this.#byId.get(targetId)?.limitPerS;
  }

  /** Whether any target names a limit. */
  get isAny(): boolean {
    return this.#limitedCount > 0;
  }

  /** @returns Targets that name a limit. */
  limited(): string[] {
    return this.isAny
      ? [...this.#byId.keys()].filter((targetId) => this.#isLimited(targetId))
      : [];
  }

  /**
   * An answer named a limit.
   *
   * @param targetId Its target.
   * @param limitPerS Requests a second from all instances together.
   * @param nowMs The local time.
   * @returns What changed, if anything did.
   */
  named(
    targetId: string,
    limitPerS: number,
    nowMs: number,
  ): TargetLimitChange | undefined {
    return this.#put(targetId, { limitPerS, saidAtMs: nowMs }, nowMs);
  }

  /**
   * An answer named no limit. That lifts the limit only where the request was
   * sent after the limit was last named: older answers may arrive late.
   *
   * @param targetId Its target.
   * @param of When the request was sent, and the local time.
   * @returns What changed, if anything did.
   */
  notNamed(
    targetId: string,
    { sentAtMs, nowMs }: { sentAtMs: number; nowMs: number },
  ): TargetLimitChange | undefined {
    const known = this.#byId.get(targetId);
    const isLifted = known?.limitPerS !== undefined &&
      sentAtMs > known.saidAtMs && nowMs - known.saidAtMs >= LIFT_AFTER_MS;
    return isLifted
      ? this.#put(targetId, { saidAtMs: nowMs }, nowMs)
      : undefined;
  }

  /**
   * A target's process started again: what the one before said is void.
   *
   * @param targetId The target.
   * @param nowMs The local time.
   */
  restarted(targetId: string, nowMs: number): void {
    if (this.#byId.has(targetId)) {
      this.#put(targetId, { saidAtMs: nowMs }, nowMs);
    }
  }

  /**
   * @param news What another instance knows.
   * @param nowMs The local time.
   * @returns What changed here.
   */
  merge(news: readonly TargetLimitNews[], nowMs: number): TargetLimitChange[] {
    return news.flatMap(({ targetId, limitPerS, ageMs }) => {
      const saidAtMs = nowMs - ageMs;
      const known = this.#byId.get(targetId);
      const leastMs = known?.limitPerS === limitPerS ? ECHO_MS : 0;
      const isNewer = known === undefined ||
        saidAtMs > known.saidAtMs + leastMs;
      return isNewer
        ? this.#put(targetId, { limitPerS, saidAtMs }, nowMs) ?? []
        : [];
    });
  }

  /**
   * @param nowMs The local time.
   * @param of Whether to leave out limits that have not changed lately.
   * @returns Limits, and those lifted lately, for other instances.
   */
  toTell(
    nowMs: number,
    { onlyChanged }: { onlyChanged: boolean },
  ): TargetLimitNews[] {
    return [...this.#byId].flatMap(([targetId, known]) => {
      const { limitPerS, saidAtMs, changedAtMs } = known;
      const isNew = nowMs - changedAtMs <= CHANGE_TOLD_MS;
      const isStanding = limitPerS !== undefined && !onlyChanged;
      return isNew || isStanding
        ? { targetId, limitPerS, ageMs: Math.round(nowMs - saidAtMs) }
        : [];
    });
  }

  /** @param targetIds Targets that exist; all others are forgotten. */
  keepOnly(targetIds: ReadonlySet<string>): void {
    for (const targetId of this.#byId.keys()) {
      if (!targetIds.has(targetId)) {
        this.#limitedCount -= Number(this.#isLimited(targetId));
        this.#byId.delete(targetId);
      }
    }
  }

  #isLimited(targetId: string): boolean {
    return this.limitPerS(targetId) !== undefined;
  }

  #put(
    targetId: string,
    said: SaidLimit,
    nowMs: number,
  ): TargetLimitChange | undefined {
    const before = this.#byId.get(targetId);
    const beforePerS = before?.limitPerS;
    const { limitPerS } = said;
    const isSame = before !== undefined && beforePerS === limitPerS;
    const changedAtMs = isSame ? before.changedAtMs : nowMs;
    this.#byId.set(targetId, { ...said, changedAtMs });
    this.#limitedCount += Number(limitPerS !== undefined) -
      Number(beforePerS !== undefined);
    return beforePerS === limitPerS
      ? undefined
      : { targetId, beforePerS, limitPerS };
  }
}
