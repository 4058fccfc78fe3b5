/**
 * Distinguishes a target that is down from one that only this instance cannot
 * connect to, and finds instances that relay requests to the latter.
 *
 * Each instance answers for its own connections only, and a relay never passes
 * a request on to another relay.
 */

import type { MemberRecord } from "@chestnuthatch/routing/member_record";
import { MessageKind } from "@chestnuthatch/routing/peer_messages";
import type { KnownTarget } from "@chestnuthatch/routing/target_directory";
import { type EventLog, LogPart } from "./event_log.ts";
import type { GatewayMetrics } from "./gateway_metrics.ts";
import { RateBound } from "./rate_bound.ts";
import { RelayQueries, type RelayQueryParts } from "./relay_queries.ts";
import type { TargetConnections } from "./target_connections.ts";
import { ProbeResult, type TargetProbes } from "./target_probes.ts";

/**
 * Time after an answer of a target for which another, overdue answer does not
 * cause a check, and shortest time between two checks of a target.
 */
const CHECK_INTERVAL_MS = 500;

/**
 * Checks within a second because of overdue answers. Under overload, answers of
 * many targets are overdue at once; the number of checks must not grow with the
 * load.
 */
const MAX_OVERDUE_CHECKS_PER_S = 2;

/** Dependencies of {@link TargetReachability}. */
export interface ReachabilityParts extends RelayQueryParts {
  readonly log: EventLog;
  readonly metrics: Pick<GatewayMetrics, "relayedTargets">;
  readonly probes: Pick<TargetProbes, "probe">;
  readonly connections: Pick<TargetConnections, "closeAllIdle" | "closeIdle">;
  /** Whether this instance relays requests of other instances now. */
  acceptsRelays(): boolean;
}

/** Finds relays to targets, and answers the queries of other instances. */
export class TargetReachability {
  readonly #parts: ReachabilityParts;
  readonly #queries: RelayQueries;
  readonly #checkedAtMs = new Map<string, number>();
  readonly #answeredAtMs = new Map<string, number>();
  readonly #overdueRate = new RateBound(MAX_OVERDUE_CHECKS_PER_S);

  /** @param parts Dependencies. */
  constructor(parts: ReachabilityParts) {
    this.#parts = parts;
    this.#queries = new RelayQueries(parts);
  }

  /**
   * Selects the way of a request to a target.
   *
   * @param target The target.
   * @returns The instance that relays the request; undefined to connect to the
   * target.
   */
  relayFor(target: KnownTarget): MemberRecord | undefined {
    const { members, relayedTargets } = this.#parts.board;
    const { targetId } = target;
    if (relayedTargets.takeDueCheck(targetId, this.#nowMs())) {
      void this.#checkRelayed(target);
    }
    const relayId = relayedTargets.nextRelayId(targetId);
    if (relayId === undefined) {
      return undefined;
    }
    const relay = members.available(relayId, this.#nowMs());
    if (relay === undefined) {
      relayedTargets.removeRelay(targetId, relayId);
      return this.relayFor(target);
    }
    return relay;
  }

  /**
   * Finds an instance that can connect to a target, as the connection from here
   * has failed or takes long.
   *
   * @param target The target.
   * @returns The first one found; undefined if none of those asked can.
   */
  async findRelay(target: KnownTarget): Promise<MemberRecord | undefined> {
    const relay = await this.#queries.firstRelay(target.targetId);
    if (relay !== undefined) {
      void this.#confirm(target);
    }
    return relay;
  }

  /**
   * Records that a target answered on a connection from this instance.
   *
   * @param targetId Id of the target.
   */
  answered(targetId: string): void {
    this.#answeredAtMs.set(targetId, this.#nowMs());
  }

  /**
   * Checks the connection to a target whose answer is overdue, unless it has
   * answered other requests meanwhile.
   *
   * @param target The target.
   */
  answerOverdue(target: KnownTarget): void {
    const { targetId } = target;
    const answeredAtMs = this.#answeredAtMs.get(targetId) ?? -Infinity;
    const nowMs = this.#nowMs();
    const isSilent = nowMs - answeredAtMs >= CHECK_INTERVAL_MS;
    if (isSilent && this.#overdueRate.take(nowMs)) {
      void this.#confirm(target);
    }
  }

  /**
   * Checks whether the process of a target has ended, after it left a request
   * without an answer.
   *
   * @param target The target.
   * @returns Whether its host refuses connections, those of other instances
   * included.
   */
  async hasEnded(target: KnownTarget): Promise<boolean> {
    const { probes } = this.#parts;
    if (await probes.probe(target.address) !== ProbeResult.Refused) {
      return false;
    }
    // A reply that has arrived may be of the time before the process ended.
    this.#queries.discardResult(target.targetId);
    return await this.findRelay(target) === undefined;
  }

  /**
   * Records that an instance failed to relay a request to a target.
   *
   * @param target The target.
   * @param relayId Id of the instance.
   */
  relayFailed({ targetId }: KnownTarget, relayId: string): void {
    const { board: { relayedTargets }, metrics } = this.#parts;
    relayedTargets.removeRelay(targetId, relayId);
    metrics.relayedTargets(relayedTargets.size);
    if (this.#queries.relayIds(targetId).includes(relayId)) {
      this.#queries.discardResult(targetId);
    }
  }

  /**
   * Discards the state of targets that are no longer known.
   *
   * @param targetIds Ids of the known targets.
   */
  keepOnly(targetIds: ReadonlySet<string>): void {
    this.#queries.keepOnly(targetIds);
    for (const byId of [this.#checkedAtMs, this.#answeredAtMs]) {
      for (const targetId of byId.keys()) {
        if (!targetIds.has(targetId)) {
          byId.delete(targetId);
        }
      }
    }
  }

  /**
   * Answers another instance whether this one can connect to a target.
   *
   * @param targetId Id of the target.
   * @param member The asking instance.
   */
  async answerQuery(targetId: string, member: MemberRecord): Promise<void> {
    const { board, probes, send } = this.#parts;
    const target = board.targets.get(targetId);
    const isUsable = target !== undefined && this.#parts.acceptsRelays() &&
      board.targets.isUsable(target, this.#nowMs()) &&
      !board.relayedTargets.has(targetId);
    const isReached = isUsable &&
      await probes.probe(target.address) === ProbeResult.Connected;
    send(member, { kind: MessageKind.ReachReply, targetId, isReached });
  }

  /**
   * Handles the reply of another instance to a query.
   *
   * @param targetId Id of the target.
   * @param reply The replying instance, and whether it can connect to the
   * target.
   */
  replyReceived(
    targetId: string,
    reply: { memberId: string; isReached: boolean },
  ): void {
    this.#queries.replyReceived(targetId, reply);
  }

  /** Relays the requests to a target if only other instances can connect. */
  async #confirm(target: KnownTarget): Promise<void> {
    const { targetId, address } = target;
    const nowMs = this.#nowMs();
    const checkedAtMs = this.#checkedAtMs.get(targetId) ?? -Infinity;
    if (nowMs - checkedAtMs < CHECK_INTERVAL_MS) {
      return;
    }
    this.#checkedAtMs.set(targetId, nowMs);
    const result = await this.#parts.probes.probe(address);
    if (result === ProbeResult.Connected) {
      return;
    }
    const relay = await this.#queries.firstRelay(targetId);
    if (relay !== undefined) {
      const known = this.#queries.relayIds(targetId);
      const relayIds = known.length > 0 ? known : [relay.instanceId];
      this.#startRelaying(target, { relayIds, result });
    }
  }

  #startRelaying(
    { targetId, address }: KnownTarget,
    of: { relayIds: readonly string[]; result: ProbeResult },
  ): void {
    const { board, connections, log, metrics } = this.#parts;
    const { relayedTargets } = board;
    const wasAnyRelayed = relayedTargets.size > 0;
    const relayIds = this.#nearestOf(of.relayIds);
    if (!relayedTargets.add(targetId, relayIds, this.#nowMs())) {
      return;
    }
    if (wasAnyRelayed) {
      connections.closeIdle(address);
    } else {
      // The same fault may affect the connections to other targets.
      connections.closeAllIdle();
    }
    metrics.relayedTargets(relayedTargets.size);
    log.warn(LogPart.Targets, "target reached through other instances only", {
      targetId,
      probe: of.result,
      relayIds,
      relayedTargets: relayedTargets.size,
    });
  }

  /** Ends relaying if this instance can connect to the target again. */
  async #checkRelayed({ targetId, address }: KnownTarget): Promise<void> {
    const { board, log, metrics, probes } = this.#parts;
    const { relayedTargets } = board;
    const result = await probes.probe(address);
    if (result === ProbeResult.Connected && relayedTargets.has(targetId)) {
      relayedTargets.remove(targetId);
      metrics.relayedTargets(relayedTargets.size);
      log.info(LogPart.Targets, "target reached again", {
        targetId,
        relayedTargets: relayedTargets.size,
      });
    }
  }

  /** Relays of the own failure domain; all of them if it has none. */
  #nearestOf(relayIds: readonly string[]): readonly string[] {
    const { board: { members }, failureDomain } = this.#parts;
    const near = relayIds.filter((relayId) =>
      members.get(relayId)?.failureDomain === failureDomain
    );
    return near.length > 0 ? near : relayIds;
  }

  #nowMs(): number {
    return this.#parts.clock.nowMs();
  }
}
