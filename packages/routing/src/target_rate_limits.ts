/**
 * Rate limits that targets advertise in their answers. A limit applies to the
 * whole fleet until the target answers without one.
 *
 * Instances exchange their observations and the ages of these. The newest
 * observation wins, so all instances converge regardless of message order.
 */

/** A rate limit as instances report it to each other. */
export interface RateLimitUpdate {
  readonly targetId: string;
  /** Requests per second from the whole fleet; absent once lifted. */
  readonly limitPerS?: number;
  /** Time since an answer last carried or lifted the limit. */
  readonly ageMs: number;
}

/** A change of a target's known rate limit. */
export interface RateLimitChange {
  readonly targetId: string;
  /** Previous limit in requests per second; absent if there was none. */
  readonly beforePerS?: number;
  /** New limit in requests per second; absent if it was lifted. */
  readonly limitPerS?: number;
}

/**
 * Time without an answer that carries the limit before it can be lifted: a
 * target may advertise its limit in some of its answers only.
 */
const MIN_LIFT_DELAY_MS = 4000;

/**
 * A report that repeats the known limit has to be this much newer to count.
 * Ages leave out network delay, so instances that echo each other's reports
 * would otherwise keep a stale limit fresh.
 */
const MIN_REFRESH_MS = 1000;

/** Time for which every heartbeat carries a changed limit. */
const SEND_CHANGE_MS = 2500;

interface KnownLimit {
  /** Absent once lifted. */
  readonly limitPerS?: number;
  /** When an answer last advertised or lifted it. */
  readonly observedAtMs: number;
  /** When it last changed on this instance. */
  readonly changedAtMs: number;
}

/** A limit as an answer or another instance reported it. */
type ObservedLimit = Omit<KnownLimit, "changedAtMs">;

/** Advertised rate limits of targets, by target id. */
export class TargetRateLimits {
  readonly #byId = new Map<string, KnownLimit>();
  #limitedCount = 0;

  /**
   * @param targetId A target.
   * @returns The target's limit in requests per second; undefined if it has
   * none.
   */
  limitPerS(targetId: string): number | undefined {
    return this.#byId.get(targetId)?.limitPerS;
  }

  /** Whether any target has a limit. */
  get hasLimits(): boolean {
    return this.#limitedCount > 0;
  }

  /** @returns Ids of the targets that have a limit. */
  limitedIds(): string[] {
    return this.hasLimits
      ? [...this.#byId.keys()].filter((targetId) => this.#isLimited(targetId))
      : [];
  }

  /**
   * Records that an answer carried a limit.
   *
   * @param targetId Its target.
   * @param limitPerS Requests per second from the whole fleet.
   * @param nowMs The local time.
   * @returns What changed, if anything did.
   */
  advertised(
    targetId: string,
    limitPerS: number,
    nowMs: number,
  ): RateLimitChange | undefined {
    return this.#put(targetId, { limitPerS, observedAtMs: nowMs }, nowMs);
  }

  /**
   * Records that an answer carried no limit. This lifts a limit only if the
   * request was sent after the limit was last seen: answers may arrive late.
   *
   * @param targetId Its target.
   * @param of When the request was sent, and the local time.
   * @returns What changed, if anything did.
   */
  notAdvertised(
    targetId: string,
    { sentAtMs, nowMs }: { sentAtMs: number; nowMs: number },
  ): RateLimitChange | undefined {
    const known = this.#byId.get(targetId);
    const isLifted = known?.limitPerS !== undefined &&
      sentAtMs > known.observedAtMs &&
      nowMs - known.observedAtMs >= MIN_LIFT_DELAY_MS;
    return isLifted
      ? this.#put(targetId, { observedAtMs: nowMs }, nowMs)
      : undefined;
  }

  /**
   * Discards the limit of a target whose process was restarted.
   *
   * @param targetId The target.
   * @param nowMs The local time.
   */
  restarted(targetId: string, nowMs: number): void {
    if (this.#byId.has(targetId)) {
      this.#put(targetId, { observedAtMs: nowMs }, nowMs);
    }
  }

  /**
   * Merges limits that another instance observed. The newest observation wins.
   *
   * @param updates Limits sent by another instance.
   * @param nowMs The local time.
   * @returns The limits that changed on this instance.
   */
  merge(updates: readonly RateLimitUpdate[], nowMs: number): RateLimitChange[] {
    return updates.flatMap(({ targetId, limitPerS, ageMs }) => {
      const observedAtMs = nowMs - ageMs;
      const known = this.#byId.get(targetId);
      const minAdvanceMs = known?.limitPerS === limitPerS ? MIN_REFRESH_MS : 0;
      const isNewer = known === undefined ||
        observedAtMs > known.observedAtMs + minAdvanceMs;
      return isNewer
        ? this.#put(targetId, { limitPerS, observedAtMs }, nowMs) ?? []
        : [];
    });
  }

  /**
   * @param nowMs The local time.
   * @param of Whether to leave out limits that have not changed recently.
   * @returns Limits, and recently lifted limits, to send to other instances.
   */
  updatesToSend(
    nowMs: number,
    { onlyChanged }: { onlyChanged: boolean },
  ): RateLimitUpdate[] {
    return [...this.#byId].flatMap(([targetId, known]) => {
      const { limitPerS, observedAtMs, changedAtMs } = known;
      const isNew = nowMs - changedAtMs <= SEND_CHANGE_MS;
      const isStanding = limitPerS !== undefined && !onlyChanged;
      return isNew || isStanding
        ? { targetId, limitPerS, ageMs: Math.round(nowMs - observedAtMs) }
        : [];
    });
  }

  /**
   * Discards the limits of all targets but the given ones.
   *
   * @param targetIds Ids of the targets that exist.
   */
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
    observed: ObservedLimit,
    nowMs: number,
  ): RateLimitChange | undefined {
    const before = this.#byId.get(targetId);
    const beforePerS = before?.limitPerS;
    const { limitPerS } = observed;
    const isSame = before !== undefined && beforePerS === limitPerS;
    const changedAtMs = isSame ? before.changedAtMs : nowMs;
    this.#byId.set(targetId, { ...observed, changedAtMs });
    this.#limitedCount += Number(limitPerS !== undefined) -
      Number(beforePerS !== undefined);
    return beforePerS === limitPerS
      ? undefined
      : { targetId, beforePerS, limitPerS };
  }
}
