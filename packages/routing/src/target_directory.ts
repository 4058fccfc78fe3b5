/**
 * Directory of the targets, built from rows of the platform's target list that
 * the store or other instances send in any order.
 */

import type { KnownVersion } from "./version_coverage.ts";

/** A row of the platform's target list. */
export interface TargetEntry {
  readonly targetId: string;
  /**
   * When its process started, in Unix milliseconds. A target that restarts may
   * keep its id, but loses its state. 0 if the target does not provide it.
   */
  readonly incarnation: number;
  readonly pool: string;
  readonly address: string;
  readonly failureDomain: string;
  readonly slots: number;
  readonly leaving: boolean;
  /** Set if its answers announced that it is leaving; its row may differ. */
  readonly announcedLeaving?: boolean;
  /** Version of its software. */
  readonly version: string;
  /** Time for which it is slow after its start; absent if it is not slow. */
  readonly coldMs?: number;
}

/** Record of a target: its newest row, and times derived from it. */
export interface KnownTarget extends TargetEntry {
  /** Version of the newest row that was applied for it. */
  readonly rowVersion: number;
  /** Local time at which it has warmed up and is no longer slow. */
  readonly warmAtMs: number;
  /** When its row was removed from the list; absent while it is listed. */
  readonly removedAtMs?: number;
  /** Until when it may get new work although its row was removed. */
  readonly usableUntilMs?: number;
}

/** A changed or removed row of the platform's target list. */
export interface TargetRowChange {
  readonly targetId: string;
  readonly rowVersion: number;
  /** Absent if the row was removed. */
  readonly entry?: TargetEntry;
}

/** Kinds of changes to the record of a target. */
export enum TargetEventKind {
  Added = "added",
  Leaving = "leaving",
  Removed = "removed",
  /** Its process restarted under the same id, so that its state is void. */
  Restarted = "restarted",
  Updated = "updated",
}

/** A change to the record of a target. */
export interface TargetEvent {
  readonly targetId: string;
  readonly kind: TargetEventKind;
  readonly rowVersion: number;
}

/**
 * Time after the end of an outage of the list during which a target whose row
 * is missing remains usable. Rows may expire during an outage, and the platform
 * restores those of live targets within about 2 s.
 */
const MISSING_ROW_GRACE_MS = 2200;

/** Time for which a removed target is kept, so that older rows are ignored. */
const REMOVED_RETENTION_MS = 60_000;

/** Time for which a version is kept that no listed target has any more. */
const FORMER_VERSION_RETENTION_MS = 3_600_000;

/** Cached targets of a pool that may get new work. */
interface UsableTargets {
  readonly targets: readonly KnownTarget[];
  /** When the first of them stops being usable. */
  readonly untilMs: number;
}

/** Listed targets of one version. */
interface ListedVersion {
  readonly count: number;
  /** Local time since which there are any. */
  readonly sinceMs: number;
}

/** All known targets, kept up to date from rows that arrive in any order. */
export class TargetDirectory {
  readonly #byId = new Map<string, KnownTarget>();
  readonly #usable = new Map<string, UsableTargets>();
  /** Versions of each pool's listed targets. */
  readonly #listedVersions = new Map<string, Map<string, ListedVersion>>();
  /** When versions that may be listed no longer were last, by pool. */
  readonly #formerVersions = new Map<string, Map<string, number>>();
  /** Newest row version of any change that was applied. */
  version = 0;
  /** When the list last became available after an outage. */
  #availableSinceMs = -Infinity;
  /** When the list was last restored from an older copy. */
  #restoredAtMs = -Infinity;

  /**
   * Records that the list became available, at first or after an outage.
   *
   * @param nowMs The local time.
   */
  listAvailable(nowMs: number): void {
    this.#availableSinceMs = nowMs;
  }

  /**
   * Records that the list was restored from an older copy. It may lack targets
   * that are alive, and still contain some that no longer exist.
   *
   * @param nowMs The local time.
   */
  listRestored(nowMs: number): void {
    this.listAvailable(nowMs);
    this.#restoredAtMs = nowMs;
  }

  /**
   * Applies changed rows; rows older than the known ones have no effect.
   *
   * @param changes The rows, from the list or from a peer.
   * @param nowMs The local time.
   * @returns The resulting changes of targets.
   */
  apply(changes: readonly TargetRowChange[], nowMs: number): TargetEvent[] {
    return changes.flatMap((change) => this.#applyOne(change, nowMs));
  }

  /**
   * Records that a target announced in an answer that it is leaving, which may
   * happen before its row states it.
   *
   * @param targetId Id of the target.
   * @returns The resulting change of the target, if any.
   */
  announcedLeaving(targetId: string): TargetEvent[] {
    const known = this.#byId.get(targetId);
    if (known === undefined || known.leaving) {
      return [];
    }
    const leaving = { ...known, leaving: true, announcedLeaving: true };
    this.#put(leaving, -Infinity);
    const { rowVersion } = known;
    return [{ targetId, kind: TargetEventKind.Leaving, rowVersion }];
  }

  /**
   * Applies a snapshot of the whole list. Targets that it lacks are removed,
   * unless their rows are newer than the snapshot.
   *
   * @param entries All rows of the snapshot.
   * @param version The list's version at the time of the snapshot.
   * @param nowMs The local time.
   * @returns The resulting changes of targets.
   */
  replace(
    entries: readonly TargetRowChange[],
    version: number,
    nowMs: number,
  ): TargetEvent[] {
    const listed = new Set(entries.map(({ targetId }) => targetId));
    const missing = [...this.#byId.values()].filter((known) =>
      known.removedAtMs === undefined && known.rowVersion <= version &&
      !listed.has(known.targetId)
    ).map(({ targetId }) => ({ targetId, rowVersion: version }));
    const current = entries.filter(({ targetId }) =>
      !this.#isStaleRow(targetId, nowMs)
    );
    return this.apply([...current, ...missing], nowMs);
  }

  /**
   * @param targetId Id of a target.
   * @returns What is known of the target; undefined if nothing is.
   */
  get(targetId: string): KnownTarget | undefined {
    return this.#byId.get(targetId);
  }

  /**
   * Checks whether a target may be given new work.
   *
   * @param target The target.
   * @param nowMs The local time.
   * @returns False once the target is leaving or was removed.
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
   * @returns The pool's targets that may get new work, as the same array until
   * any target changes.
   */
  usable(pool: string, nowMs: number): readonly KnownTarget[] {
    const known = this.#usable.get(pool);
    if (known !== undefined && nowMs < known.untilMs) {
      return known.targets;
    }
    const targets = [...this.#byId.values()].filter((target) =>
      target.pool === pool && this.isUsable(target, nowMs)
    );
    const usableUntil = targets.map(({ usableUntilMs }) =>
      usableUntilMs ?? Infinity
    );
    const untilMs = Math.min(Infinity, ...usableUntil);
    this.#usable.set(pool, { targets, untilMs });
    return targets;
  }

  /**
   * Finds the software versions that a pool's targets have, or had recently.
   *
   * @param pool Name of a pool.
   * @param of The local time, and the time for which a version counts that no
   * listed target has any more.
   * @returns The versions.
   */
  versionsWithin(
    pool: string,
    { windowMs, nowMs }: { windowMs: number; nowMs: number },
  ): string[] {
    const former = [...this.#formerVersions.get(pool) ?? []]
      .filter(([, atMs]) => nowMs - atMs < windowMs)
      .map(([version]) => version);
    const listed = this.#listedVersions.get(pool)?.keys() ?? [];
    return [...new Set([...listed, ...former])];
  }

  /**
   * Records that a pool has or had targets of a version, which may not be
   * listed any more.
   *
   * @param pool Name of a pool.
   * @param version The version.
   * @param nowMs The local time.
   */
  recordVersion(pool: string, version: string, nowMs: number): void {
    const versions = this.#formerVersions.get(pool) ?? new Map();
    this.#formerVersions.set(pool, versions.set(version, nowMs));
    for (const [former, atMs] of versions) {
      if (nowMs - atMs > FORMER_VERSION_RETENTION_MS) {
        versions.delete(former);
      }
    }
  }

  /**
   * @param pool Name of a pool.
   * @returns Versions of its listed targets, each with the local time since
   * which any of them has had it.
   */
  listedVersions(pool: string): KnownVersion[] {
    const versions = this.#listedVersions.get(pool) ?? [];
    return [...versions].map(([version, { sinceMs }]) => ({
      version,
      sinceMs,
    }));
  }

  /** @returns Every known target, including those that were removed. */
  all(): KnownTarget[] {
    return [...this.#byId.values()];
  }

  /**
   * Deletes targets that were removed longer ago than the retention time.
   *
   * @param nowMs The local time.
   */
  evictExpired(nowMs: number): void {
    for (const { targetId, removedAtMs } of this.#byId.values()) {
      if (
        removedAtMs !== undefined && removedAtMs + REMOVED_RETENTION_MS < nowMs
      ) {
        this.#byId.delete(targetId);
        this.#usable.clear();
      }
    }
  }

  /**
   * Whether a row belongs to a target that was removed, in a snapshot of a list
   * that was restored from an older copy recently. Rows of live targets are
   * written again after the restore.
   */
  #isStaleRow(targetId: string, nowMs: number): boolean {
    return nowMs < this.#restoredAtMs + MISSING_ROW_GRACE_MS &&
      this.#byId.get(targetId)?.removedAtMs !== undefined;
  }

  #applyOne(change: TargetRowChange, nowMs: number): TargetEvent[] {
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
    // A delayed row of a leaving target may still state that it is not leaving.
    // A delayed row of its earlier process may state that it is: that one
    // applies until the next row, as sending work to a leaving target is worse
    // than sending none for a short time.
    const before = known !== undefined && !hasRestarted(known, entry)
      ? known
      : undefined;
    const leaving = entry.leaving || before?.leaving === true;
    const announcedLeaving = entry.announcedLeaving ?? before?.announcedLeaving;
    const warmAtMs = nowMs + (entry.coldMs ?? 0);
    const next = { ...entry, leaving, announcedLeaving, rowVersion, warmAtMs };
    if (
      known !== undefined &&
      (known.version !== entry.version || known.pool !== entry.pool)
    ) {
      this.recordVersion(known.pool, known.version, nowMs);
    }
    this.#put(next, nowMs);
    const kind = eventKindOf(known, next);
    return kind === undefined ? [] : [{ targetId, kind, rowVersion }];
  }

  #put(target: KnownTarget, nowMs: number): void {
    const previous = this.#byId.get(target.targetId);
    this.#byId.set(target.targetId, target);
    this.#usable.clear();
    // Counted before the previous entry is not, as both may have one version.
    this.#countListed(target, { by: 1, nowMs });
    if (previous !== undefined) {
      this.#countListed(previous, { by: -1, nowMs });
    }
  }

  #countListed(
    { pool, version, removedAtMs }: KnownTarget,
    { by, nowMs }: { by: 1 | -1; nowMs: number },
  ): void {
    if (removedAtMs !== undefined) {
      return;
    }
    const versions = this.#listedVersions.get(pool) ?? new Map();
    this.#listedVersions.set(pool, versions);
    const { count, sinceMs } = versions.get(version) ??
      { count: 0, sinceMs: nowMs };
    if (count + by === 0) {
      versions.delete(version);
    } else {
      versions.set(version, { count: count + by, sinceMs });
    }
  }

  #remove(
    known: KnownTarget | undefined,
    rowVersion: number,
    nowMs: number,
  ): TargetEvent[] {
    if (known === undefined) {
      return [];
    }
    const { targetId } = known;
    if (known.removedAtMs !== undefined) {
      this.#put({ ...known, rowVersion }, nowMs);
      return [];
    }
    const usableUntilMs = this.#availableSinceMs + MISSING_ROW_GRACE_MS;
    this.recordVersion(known.pool, known.version, nowMs);
    this.#put({
      ...known,
      rowVersion,
      removedAtMs: nowMs,
      usableUntilMs,
    }, nowMs);
    return [{ targetId, kind: TargetEventKind.Removed, rowVersion }];
  }
}

function hasRestarted(known: TargetEntry, entry: TargetEntry): boolean {
  return known.incarnation !== 0 && entry.incarnation > known.incarnation;
}

function eventKindOf(
  known: KnownTarget | undefined,
  entry: TargetEntry,
): TargetEventKind | undefined {
  if (known !== undefined && hasRestarted(known, entry)) {
    return TargetEventKind.Restarted;
  }
  if (known === undefined || known.removedAtMs !== undefined) {
    return entry.leaving ? TargetEventKind.Leaving : TargetEventKind.Added;
  }
  if (entry.leaving && !known.leaving) {
    return TargetEventKind.Leaving;
  }
  const same = known.address === entry.address && known.pool === entry.pool &&
    known.slots === entry.slots && known.leaving === entry.leaving;
  return same ? undefined : TargetEventKind.Updated;
}
