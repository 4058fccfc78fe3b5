/** Which targets exist, as the platform's list and peers tell. */

/** What the platform's list says of one target. */
export interface TargetEntry {
  readonly targetId: string;
  /**
   * When its process started, in Unix milliseconds: a target that starts again
   * may keep its id, and knows nothing of before. 0 where it does not tell.
   */
  readonly incarnation: number;
  readonly pool: string;
  readonly address: string;
  readonly failureDomain: string;
  readonly slots: number;
  readonly leaving: boolean;
  /** Whether its answers announce it, whatever its row says; absent if not. */
  readonly announcedLeaving?: boolean;
  /** Version of its software. */
  readonly version: string;
  /** Time for which it is slow after its start; absent where it is not. */
  readonly coldMs?: number;
}

/** One target as this instance knows it. */
export interface KnownTarget extends TargetEntry {
  /** Version of the list's row that said so. */
  readonly rowVersion: number;
  /** When it was taken in; it is cold for some time after that. */
  readonly warmAtMs: number;
  /** When it was taken off the list; absent while it is listed. */
  readonly removedAtMs?: number;
  /** Until when a target taken off the list may still get new work. */
  readonly usableUntilMs?: number;
}

/** A row of the list that changed. */
export interface TargetChange {
  readonly targetId: string;
  readonly rowVersion: number;
  /** Absent where the row was removed. */
  readonly entry?: TargetEntry;
}

/** What a change did to the belief about a target. */
export enum TargetNews {
  Added = "added",
  Leaving = "leaving",
  Removed = "removed",
  /** It started again under its id: what was believed of it is void. */
  Restarted = "restarted",
  Updated = "updated",
}

/** One change of belief. */
export interface TargetBelief {
  readonly targetId: string;
  readonly news: TargetNews;
  readonly rowVersion: number;
}

/**
 * Time from the list's return after an outage until a row that is still missing
 * means that its target is gone. Rows may expire during an outage, and the
 * platform brings those of live targets back within about 2 s.
 */
const RETURN_GRACE_MS = 2200;

/** How long a removed target's id is remembered against older news. */
const FORGET_REMOVED_MS = 60_000;

/** Targets of a pool that may get new work, as of the last change. */
interface UsableTargets {
  readonly targets: readonly KnownTarget[];
  /** When the first of them no longer may. */
  readonly untilMs: number;
}

/** The targets, kept up to date from rows that arrive in any order. */
export class TargetDirectory {
  readonly #byId = new Map<string, KnownTarget>();
  readonly #usable = new Map<string, UsableTargets>();
  /** Newest row version that any news carried. */
  version = 0;
  /** When the list last began to answer after it had not. */
  #answersSinceMs = -Infinity;
  /** When the list last came back from an older copy. */
  #wentBackAtMs = -Infinity;

  /** @param nowMs When the list began to answer, again or at first. */
  listAnswers(nowMs: number): void {
    this.#answersSinceMs = nowMs;
  }

  /**
   * The list came back from an older copy: it may lack targets that live, and
   * still name some that are gone.
   *
   * @param nowMs When it did.
   */
  listWentBack(nowMs: number): void {
    this.listAnswers(nowMs);
    this.#wentBackAtMs = nowMs;
  }

  /**
   * Takes in changed rows.
   *
   * @param changes The rows, from the list or from a peer.
   * @param nowMs The local time.
   * @returns What changed in what this instance believes.
   */
  apply(changes: readonly TargetChange[], nowMs: number): TargetBelief[] {
    return changes.flatMap((change) => this.#applyOne(change, nowMs));
  }

  /**
   * Records that a target announced in an answer that it is leaving, which may
   * happen before the list says so.
   *
   * @param targetId The target.
   * @returns What changed in what this instance believes.
   */
  announcedLeaving(targetId: string): TargetBelief[] {
    const known = this.#byId.get(targetId);
    if (known === undefined || known.leaving) {
      return [];
    }
    this.#put({ ...known, leaving: true, announcedLeaving: true });
    const { rowVersion } = known;
    return [{ targetId, news: TargetNews.Leaving, rowVersion }];
  }

  /**
   * Takes in the whole list: targets that it lacks are gone.
   *
   * @param entries Every row of the list.
   * @param version The list's version at that moment.
   * @param nowMs The local time.
   * @returns What changed in what this instance believes.
   */
  replace(
    entries: readonly TargetChange[],
    version: number,
    nowMs: number,
  ): TargetBelief[] {
    const listed = new Set(entries.map(({ targetId }) => targetId));
    const gone = [...this.#byId.values()].filter((known) =>
      known.removedAtMs === undefined && known.rowVersion <= version &&
      !listed.has(known.targetId)
    ).map(({ targetId }) => ({ targetId, rowVersion: version }));
    const current = entries.filter(({ targetId }) =>
      !this.#isOldRow(targetId, nowMs)
    );
    return this.apply([...current, ...gone], nowMs);
  }

  /**
   * @param targetId A target's id.
   * @returns What is known of it.
   */
  get(targetId: string): KnownTarget | undefined {
    return this.#byId.get(targetId);
  }

  /**
   * Tells whether a target may be given new work.
   *
   * @param target The target.
   * @param nowMs The local time.
   * @returns False once it is leaving or gone.
   */
  isUsable(target: KnownTarget, nowMs: number): boolean {
    if (target.leaving) {
      return false;
    }
    return target.usableUntilMs === undefined || nowMs < target.usableUntilMs;
  }

  /**
   * @param pool Name of a pool.
   * @param nowMs The local time.
   * @returns The pool's targets that may get new work; the same list while
   * nothing changes.
   */
  usable(pool: string, nowMs: number): readonly KnownTarget[] {
    const known = this.#usable.get(pool);
    if (known !== undefined && nowMs < known.untilMs) {
      return known.targets;
    }
    const targets = [...this.#byId.values()].filter((target) =>
      target.pool === pool && this.isUsable(target, nowMs)
    );
    const ends = targets.map(({ usableUntilMs }) => usableUntilMs ?? Infinity);
    const untilMs = Math.min(Infinity, ...ends);
    this.#usable.set(pool, { targets, untilMs });
    return targets;
  }

  /** @returns Every target that is remembered, also those that are gone. */
  all(): KnownTarget[] {
    return [...this.#byId.values()];
  }

  /** @param nowMs Targets long gone by then are forgotten. */
  forgetOld(nowMs: number): void {
    for (const { targetId, removedAtMs } of this.#byId.values()) {
      if (
        removedAtMs !== undefined && removedAtMs + FORGET_REMOVED_MS < nowMs
      ) {
        this.#byId.delete(targetId);
        this.#usable.clear();
      }
    }
  }

  /**
   * A row of a target that is known to be gone, on a list that came back from an
   * older copy just now. One that lives is written again.
   */
  #isOldRow(targetId: string, nowMs: number): boolean {
    return nowMs < this.#wentBackAtMs + RETURN_GRACE_MS &&
      this.#byId.get(targetId)?.removedAtMs !== undefined;
  }

  #applyOne(change: TargetChange, nowMs: number): TargetBelief[] {
    this.version = Math.max(this.version, change.rowVersion);
    const known = this.#byId.get(change.targetId);
    const { targetId, rowVersion, entry } = change;
    if (known !== undefined && known.rowVersion >= rowVersion) {
      const isSameProcess = entry?.incarnation === known.incarnation;
      return entry?.announcedLeaving === true && isSameProcess
        ? this.announcedLeaving(targetId)
        : [];
    }
    if (entry === undefined) {
      return this.#remove(known, rowVersion, nowMs);
    }
    // A late heartbeat of a leaving target may still say that it is not. One of
    // the process before it may come late, too: it counts until the next one, as
    // work for a leaving target is worse than none for a short while.
    const before = known !== undefined && !hasRestarted(known, entry)
      ? known
      : undefined;
    const leaving = entry.leaving || before?.leaving === true;
    const announcedLeaving = entry.announcedLeaving ?? before?.announcedLeaving;
    const warmAtMs = nowMs + (entry.coldMs ?? 0);
    const next = { ...entry, leaving, announcedLeaving, rowVersion, warmAtMs };
    this.#put(next);
    const news = newsOf(known, next);
    return news === undefined ? [] : [{ targetId, news, rowVersion }];
  }

  #put(target: KnownTarget): void {
    this.#byId.set(target.targetId, target);
    this.#usable.clear();
  }

  #remove(
    known: KnownTarget | undefined,
    rowVersion: number,
    nowMs: number,
  ): TargetBelief[] {
    if (known === undefined) {
      return [];
    }
    const { targetId } = known;
    if (known.removedAtMs !== undefined) {
      this.#put({ ...known, rowVersion });
      return [];
    }
    const usableUntilMs = this.#answersSinceMs + RETURN_GRACE_MS;
    this.#put({
      ...known,
      rowVersion,
      removedAtMs: nowMs,
      usableUntilMs,
    });
    return [{ targetId, news: TargetNews.Removed, rowVersion }];
  }
}

function hasRestarted(known: TargetEntry, entry: TargetEntry): boolean {
  return known.incarnation !== 0 && entry.incarnation > known.incarnation;
}

function newsOf(
  known: KnownTarget | undefined,
  entry: TargetEntry,
): TargetNews | undefined {
  if (known !== undefined && hasRestarted(known, entry)) {
    return TargetNews.Restarted;
  }
  if (known === undefined || known.removedAtMs !== undefined) {
    return entry.leaving ? TargetNews.Leaving : TargetNews.Added;
  }
  if (entry.leaving && !known.leaving) {
    return TargetNews.Leaving;
  }
  const same = known.address === entry.address && known.pool === entry.pool &&
    known.slots === entry.slots && known.leaving === entry.leaving;
  return same ? undefined : TargetNews.Updated;
}
