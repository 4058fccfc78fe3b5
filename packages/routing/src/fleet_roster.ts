/**
 * The instances that may be running, whether or not this instance reaches them.
 * An instance that is cut off goes on handing out its part of the fleet's
 * limits, so that it counts until it is known to have ended.
 */

import type { MemberInfo } from "./member_record.ts";

/**
 * Time after which an instance counts as ended of which nothing was heard: twice
 * as long as regions are expected to lose each other.
 */
const RETENTION_MS = 2 * 60 * 60 * 1000;

/** Time within which an instance that left is usually started again. */
const RETURN_MS = 60_000;

/** What is known of one instance. */
interface RosterEntry {
  readonly info: MemberInfo;
  /** Local time as of which it is known to have run. */
  readonly knownAtMs: number;
}

/** Counts the instances of the fleet, reachable or not. */
export class FleetRoster {
  readonly #entries = new Map<string, RosterEntry>();

  /**
   * Records that an instance ran at a time.
   *
   * @param info Description of the instance.
   * @param knownAtMs Local time in milliseconds as of which this is known.
   */
  record(info: MemberInfo, knownAtMs: number): void {
    const known = this.#entries.get(info.instanceId);
    const isNewer = known === undefined ||
      info.incarnation > known.info.incarnation ||
      (info.incarnation === known.info.incarnation &&
        (knownAtMs >= known.knownAtMs || info.leaving));
    if (isNewer) {
      this.#entries.set(info.instanceId, { info, knownAtMs });
    }
  }

  /**
   * Counts the instances.
   *
   * @param aliveIds Ids of the instances that are alive.
   * @param nowMs The local time.
   * @returns Number of instances; at least 1.
   */
  size(aliveIds: ReadonlySet<string>, nowMs: number): number {
    return Math.max(1, aliveIds.size + this.absent(aliveIds, nowMs).length);
  }

  /**
   * Lists the instances that may be running although they are silent. One that
   * left may have been started again unseen, for as long as others of its
   * failure domain are silent.
   *
   * @param aliveIds Ids of the instances that are alive.
   * @param nowMs The local time.
   * @returns Each with the time in milliseconds as of which it is known.
   */
  absent(aliveIds: ReadonlySet<string>, nowMs: number): RosterEntry[] {
    const dead = [...this.#entries.values()].filter(({ info, knownAtMs }) =>
      !aliveIds.has(info.instanceId) && nowMs - knownAtMs < RETENTION_MS
    );
    const silentDomains = new Set(
      dead.filter(({ info }) => !info.leaving)
        .map(({ info }) => info.failureDomain),
    );
    return dead.filter(({ info, knownAtMs }) =>
      !info.leaving || nowMs - knownAtMs < RETURN_MS ||
      silentDomains.has(info.failureDomain)
    );
  }

  /**
   * Removes the instances that count as ended.
   *
   * @param nowMs The local time.
   * @returns Their ids.
   */
  evictExpired(nowMs: number): string[] {
    const expiredIds = [...this.#entries.values()]
      .filter(({ knownAtMs }) => nowMs - knownAtMs >= RETENTION_MS)
      .map(({ info }) => info.instanceId);
    expiredIds.forEach((instanceId) => this.#entries.delete(instanceId));
    return expiredIds;
  }
}
