/**
 * Targets that this instance cannot connect to while other instances can. Their
 * requests are relayed through those instances.
 */

/**
 * Time between two checks whether this instance can connect to the target
 * again.
 */
const CHECK_INTERVAL_MS = 1000;

interface RelayedTarget {
  /** Ids of instances that can connect to the target; never empty. */
  relayIds: readonly string[];
  /** Position of the next relay, so that the requests are spread. */
  next: number;
  nextCheckAtMs: number;
}

/** Relayed targets of one instance, by target id. */
export class RelayedTargets {
  readonly #byId = new Map<string, RelayedTarget>();

  /** Number of targets that are relayed. */
  get size(): number {
    return this.#byId.size;
  }

  /**
   * Starts to relay the requests to a target.
   *
   * @param targetId Id of the target.
   * @param relayIds Ids of instances that can connect to it, at least one.
   * @param nowMs The local time.
   * @returns Whether the target was not relayed before.
   */
  add(targetId: string, relayIds: readonly string[], nowMs: number): boolean {
    const isNew = !this.#byId.has(targetId);
    const nextCheckAtMs = nowMs + CHECK_INTERVAL_MS;
    this.#byId.set(targetId, { relayIds, next: 0, nextCheckAtMs });
    return isNew;
  }

  /**
   * Selects the instance through which the next request is relayed.
   *
   * @param targetId Id of a target.
   * @returns Id of the instance; undefined if the target is not relayed.
   */
  nextRelayId(targetId: string): string | undefined {
    const target = this.#byId.get(targetId);
    return target?.relayIds[target.next++ % target.relayIds.length];
  }

  /** @returns Id of a relay of any target; undefined if none is relayed. */
  anyRelayId(): string | undefined {
    const [targetId] = this.#byId.keys();
    return targetId === undefined ? undefined : this.nextRelayId(targetId);
  }

  /**
   * Removes an instance that failed to relay. Without another one, the target
   * is not relayed any more.
   *
   * @param targetId Id of the target.
   * @param relayId Id of the instance.
   */
  removeRelay(targetId: string, relayId: string): void {
    const target = this.#byId.get(targetId);
    if (target === undefined) {
      return;
    }
    target.relayIds = target.relayIds.filter((id) => id !== relayId);
    if (target.relayIds.length === 0) {
      this.#byId.delete(targetId);
    }
  }

  /**
   * Decides whether to check the connection to a target now. The next check is
   * due an interval later.
   *
   * @param targetId Id of a target.
   * @param nowMs The local time.
   * @returns Whether the target is relayed and a check is due.
   */
  takeDueCheck(targetId: string, nowMs: number): boolean {
    const target = this.#byId.get(targetId);
    if (target === undefined || nowMs < target.nextCheckAtMs) {
      return false;
    }
    target.nextCheckAtMs = nowMs + CHECK_INTERVAL_MS;
    return true;
  }

  /**
   * Checks whether a target is relayed.
   *
   * @param targetId Id of a target.
   * @returns True while this instance cannot connect to it.
   */
  has(targetId: string): boolean {
    return this.#byId.has(targetId);
  }

  /**
   * Ends relaying, as this instance can connect to the target again.
   *
   * @param targetId Id of the target.
   */
  remove(targetId: string): void {
    this.#byId.delete(targetId);
  }

  /**
   * Ends relaying for targets that are no longer known.
   *
   * @param targetIds Ids of the known targets.
   */
  keepOnly(targetIds: ReadonlySet<string>): void {
    for (const targetId of this.#byId.keys()) {
      if (!targetIds.has(targetId)) {
        this.#byId.delete(targetId);
      }
    }
  }
}
