/** Asks other instances whether they can connect to a target. */

import type { MemberRecord } from "@chestnuthatch/routing/member_record";
import {
  MessageKind,
  type RoutingMessage,
} from "@chestnuthatch/routing/peer_messages";
import type { RoutingBoard } from "@chestnuthatch/routing/routing_board";
import type { Clock } from "./ports.ts";
import { RateBound } from "./rate_bound.ts";
import { Rotation } from "./rotation.ts";

/**
 * Members that are asked of each kind: of the own failure domain, to which the
 * way is short, and of others, as a fault may affect a whole domain.
 */
const ASKED_NEAR = 2;
const ASKED_FAR = 2;

/** Time for which the replies to a query are awaited. */
const QUERY_TIMEOUT_MS = 90;

/** Time for which the result of a query holds, so that requests share it. */
const RESULT_TTL_MS = 400;

/**
 * Queries within a second. Under overload, connections to many targets are slow
 * at once; the number of queries must not grow with the load.
 */
const MAX_QUERIES_PER_S = 20;

/** Dependencies of {@link RelayQueries}. */
export interface RelayQueryParts {
  readonly board: RoutingBoard;
  readonly clock: Clock;
  /** Failure domain of this instance. */
  readonly failureDomain: string;
  send(member: MemberRecord, message: RoutingMessage): void;
}

/** A query to other instances, which of them can connect to a target. */
interface Query {
  /** Members whose reply is outstanding. */
  readonly awaitedIds: Set<string>;
  /** Members that can connect to the target, in the order of their replies. */
  readonly relayIds: string[];
  /** Fulfilled with the first positive reply, or when none can follow. */
  readonly firstRelay: Promise<MemberRecord | undefined>;
  settle(relay: MemberRecord | undefined): void;
  settledAtMs?: number;
}

/** Queries to other instances and their replies, by target. */
export class RelayQueries {
  readonly #parts: RelayQueryParts;
  readonly #queries = new Map<string, Query>();
  readonly #rate = new RateBound(MAX_QUERIES_PER_S);
  readonly #nearRotation = new Rotation();
  readonly #farRotation = new Rotation();

  /** @param parts Dependencies. */
  constructor(parts: RelayQueryParts) {
    this.#parts = parts;
  }

  /**
   * Asks other instances, unless a recent query has asked them already.
   *
   * @param targetId Id of the target.
   * @returns The first instance that can connect to it; undefined if none of
   * those asked can.
   */
  firstRelay(targetId: string): Promise<MemberRecord | undefined> {
    const nowMs = this.#nowMs();
    const known = this.#queries.get(targetId);
    const isCurrent = known !== undefined &&
      nowMs - (known.settledAtMs ?? nowMs) < RESULT_TTL_MS;
    if (isCurrent) {
      return known.firstRelay;
    }
    return this.#rate.take(nowMs)
      ? this.#ask(targetId)
      : Promise.resolve(this.#relayOfAnyTarget());
  }

  /**
   * Lists all instances that replied to the last query that they can connect.
   *
   * @param targetId Id of the target.
   * @returns Their ids, in the order of their replies.
   */
  relayIds(targetId: string): readonly string[] {
    return this.#queries.get(targetId)?.relayIds ?? [];
  }

  /**
   * Handles the reply of another instance to a query.
   *
   * @param targetId Id of the target.
   * @param of The replying instance, and whether it can connect to the target.
   */
  replyReceived(
    targetId: string,
    { memberId, isReached }: { memberId: string; isReached: boolean },
  ): void {
    const query = this.#queries.get(targetId);
    if (query === undefined || !query.awaitedIds.delete(memberId)) {
      return;
    }
    if (isReached) {
      query.relayIds.push(memberId);
      query.settle(this.#availableMember(memberId));
    } else if (query.awaitedIds.size === 0) {
      query.settle(undefined);
    }
  }

  /**
   * Discards the result of a query, so that the next one asks again. One that
   * still awaits its first reply goes on.
   *
   * @param targetId Id of the target.
   */
  discardResult(targetId: string): void {
    if (this.#queries.get(targetId)?.settledAtMs !== undefined) {
      this.#queries.delete(targetId);
    }
  }

  /**
   * Discards the queries for targets that are no longer known.
   *
   * @param targetIds Ids of the known targets.
   */
  keepOnly(targetIds: ReadonlySet<string>): void {
    for (const targetId of this.#queries.keys()) {
      if (!targetIds.has(targetId)) {
        this.#queries.delete(targetId);
      }
    }
  }

  /** A relay of another target: the same fault may affect this one. */
  #relayOfAnyTarget(): MemberRecord | undefined {
    const relayId = this.#parts.board.relayedTargets.anyRelayId();
    return relayId === undefined ? undefined : this.#availableMember(relayId);
  }

  #ask(targetId: string): Promise<MemberRecord | undefined> {
    const asked = this.#membersToAsk();
    let settle = (_relay: MemberRecord | undefined) => {};
    const firstRelay = new Promise<MemberRecord | undefined>((resolve) => {
      settle = resolve;
    });
    const timer = setTimeout(() => query.settle(undefined), QUERY_TIMEOUT_MS);
    const query: Query = {
      awaitedIds: new Set(asked.map(({ instanceId }) => instanceId)),
      relayIds: [],
      firstRelay,
      settle: (relay) => {
        clearTimeout(timer);
        query.settledAtMs ??= this.#nowMs();
        settle(relay);
      },
    };
    this.#queries.set(targetId, query);
    for (const member of asked) {
      this.#parts.send(member, { kind: MessageKind.ReachQuery, targetId });
    }
    if (asked.length === 0) {
      query.settle(undefined);
    }
    return firstRelay;
  }

  #membersToAsk(): MemberRecord[] {
    const { board: { members }, failureDomain } = this.#parts;
    const others = members.alive(this.#nowMs()).filter((member) =>
      member.instanceId !== members.selfId && !member.leaving
    );
    const isNear = (member: MemberRecord) =>
      member.failureDomain === failureDomain;
    const near = others.filter(isNear);
    const far = others.filter((member) => !isNear(member));
    return [
      ...this.#nearRotation.next(near, ASKED_NEAR),
      ...this.#farRotation.next(far, ASKED_FAR),
    ];
  }

  #availableMember(instanceId: string): MemberRecord | undefined {
    return this.#parts.board.members.available(instanceId, this.#nowMs());
  }

  #nowMs(): number {
    return this.#parts.clock.nowMs();
  }
}
