/** Tells the other instances of this one, and notes what they tell. */

import {
  MessageKind,
  type RoutingMessage,
} from "@chestnuthatch/routing/peer_messages";
import {
  HEARTBEAT_FANOUT,
  type MemberInfo,
  type MemberRecord,
} from "@chestnuthatch/routing/member_view";
import type { RolloutUpdate } from "@chestnuthatch/routing/rollout";
import type { RoutingBoard } from "@chestnuthatch/routing/routing_board";
import type { SuspectUpdate } from "@chestnuthatch/routing/suspect_requests";
import type { SpendingHistory } from "@chestnuthatch/routing/spending_log";
import type { RateLimitUpdate } from "@chestnuthatch/routing/target_rate_limits";
import type { TargetRowChange } from "@chestnuthatch/routing/target_directory";
import { type EventLog, LogPart } from "./event_log.ts";
import type { Clock } from "./ports.ts";
import { Rotation } from "./rotation.ts";

/** Time between two heartbeats; four may be lost before a member counts gone. */
const BEAT_MS = 220;

/** Every so many heartbeats, one names the members that the sender hears. */
const BEATS_PER_DIGEST = 5;

/** Members that one heartbeat names; a larger fleet is named in turn. */
const MAX_DIGEST = 24;

/**
 * Changes of targets that one heartbeat tells of, 3 KB of them, so that it fits a
 * datagram and does not fill the links of small instances.
 */
const MAX_NEWS = 24;

/** Rate limits that one heartbeat reports; more are reported in turn. */
const MAX_RATE_LIMITS = 24;

/** A heartbeat of another instance. */
export type Beat = Extract<RoutingMessage, { kind: MessageKind.Heartbeat }>;

/** What the keeper works with. */
export interface MembershipParts {
  readonly board: RoutingBoard;
  readonly clock: Clock;
  readonly log: EventLog;
  /** Peer addresses that are told of this instance though nobody is known. */
  readonly seedAddresses: readonly string[];
  send(addresses: Iterable<string>, message: RoutingMessage): void;
  /** @returns Id of the coordinator. */
  coordinatorId(): string;
  /** @returns How long this instance remembers what workspaces spent. */
  memoryMs(): number;
  /** @returns Whether this instance reaches the platform's store. */
  reachesStore(): boolean;
  /** @returns Workspaces near their bounds; none unless it coordinates. */
  spending(): readonly SpendingHistory[];
  /** @returns Requests under which targets ended; none unless it coordinates. */
  suspects(): readonly SuspectUpdate[];
  /** @returns Roll-outs in progress, or ended just now. */
  rollouts(): readonly RolloutUpdate[];
  /** @returns Rate limits of targets, and recently lifted ones. */
  rateLimits(of: { onlyChanged: boolean }): readonly RateLimitUpdate[];
  /** @returns What this instance lately learned of targets. */
  targetNews(): readonly TargetRowChange[];
}

/** Sends and takes in heartbeats. */
export class MembershipKeeper {
  readonly #parts: MembershipParts;
  #self: MemberInfo;
  #beats = 0;
  readonly #memberTurns = new Rotation();
  readonly #listenerTurns = new Rotation();
  /** Apart from the others, so that digests reach every member in turn. */
  readonly #digestListenerTurns = new Rotation();
  readonly #rateLimitTurns = new Rotation();
  readonly #urgentTurns = new Rotation();
  readonly #newsTurns = new Rotation();
  #beatAtMs = -Infinity;
  #aliveIds = new Set<string>();
  /** Members that said last that they reach the platform's store. */
  readonly #reachStore = new Set<string>();

  /**
   * @param parts What the keeper works with.
   * @param self This instance.
   */
  constructor(parts: MembershipParts, self: MemberInfo) {
    this.#parts = parts;
    this.#self = self;
  }

  /** Tells all others that this instance is leaving. */
  leave(): void {
    this.#self = { ...this.#self, leaving: true };
    this.#beat(this.#parts.clock.nowMs());
  }

  /**
   * @param nowMs The local time.
   * @returns Time until the next heartbeat is due; none or less if it is now.
   */
  untilBeatMs(nowMs: number): number {
    return this.#beatAtMs + BEAT_MS - nowMs;
  }

  /** Lets time pass: beats, and notes who fell silent. */
  tick(): void {
    const nowMs = this.#parts.clock.nowMs();
    const standsAside = this.#parts.board.members.standsAside(nowMs);
    if (standsAside !== (this.#self.standsAside ?? false)) {
      this.#tellAside(standsAside);
    }
    if (nowMs - this.#beatAtMs >= BEAT_MS) {
      this.#beat(nowMs);
      this.#noteChanges(nowMs);
      this.#parts.board.members.evictExpired(nowMs);
    }
  }

  /**
   * @param instanceId A member.
   * @returns Whether it said last that it reaches the platform's store.
   */
  reachesStore(instanceId: string): boolean {
    return this.#reachStore.has(instanceId);
  }

  /** @param beat A heartbeat of another instance. */
  heard(beat: Beat): void {
    const { members } = this.#parts.board;
    const nowMs = this.#parts.clock.nowMs();
    const isNew = members.heartbeatReceived(beat.from, nowMs);
    if (beat.reachesStore) {
      this.#reachStore.add(beat.from.instanceId);
    } else {
      this.#reachStore.delete(beat.from.instanceId);
    }
    members.memoryReported(beat.from.instanceId, beat.memoryMs, nowMs);
    for (const other of beat.others) {
      members.memberReported(other, nowMs);
    }
    if (isNew && beat.from.instanceId !== members.selfId) {
      // So that it hears of this instance at once, too.
      this.#sendBeat([beat.from.address], true);
    }
  }

  /** All hear it at once: who coordinates is only then the same for all. */
  #tellAside(standsAside: boolean): void {
    const { board, log } = this.#parts;
    this.#self = { ...this.#self, standsAside };
    log.info(LogPart.Members, "stands aside as coordinator", { standsAside });
    this.#sendBeat(board.members.others().map((m) => m.address), false);
  }

  #beat(nowMs: number): void {
    this.#beatAtMs = nowMs;
    this.#beats++;
    const withOthers = this.#beats % BEATS_PER_DIGEST === 1;
    const turns = withOthers ? this.#digestListenerTurns : this.#listenerTurns;
    const addresses = new Set(this.#listeners(turns).map((m) => m.address));
    if (withOthers) {
      for (const seed of this.#parts.seedAddresses) {
        addresses.add(seed);
      }
    }
    addresses.delete(this.#self.address);
    this.#sendBeat(addresses, withOthers);
  }

  /** All others, or in a large fleet the coordinator and some in turn. */
  #listeners(turns: Rotation): MemberInfo[] {
    const { members } = this.#parts.board;
    const others = members.others();
    const coordinatorId = this.#parts.coordinatorId();
    const isAll = members.isFullMesh ||
      coordinatorId === members.selfId;
    if (isAll) {
      return others;
    }
    const some = turns.next(others, HEARTBEAT_FANOUT);
    return [...some, members.get(coordinatorId) ?? []].flat();
  }

  #sendBeat(addresses: Iterable<string>, withOthers: boolean): void {
    const { board, clock } = this.#parts;
    const nowMs = clock.nowMs();
    const alive = withOthers ? board.members.alive(nowMs) : [];
    const ageMs = board.configurationAge.ageMs(nowMs);
    const others = this.#memberTurns.next(alive, MAX_DIGEST)
      .filter(({ instanceId }) => instanceId !== board.members.selfId)
      .map(newsOf);
    const tellsAll = this.#tellsAll(withOthers);
    const suspects = tellsAll ? this.#parts.suspects() : [];
    const rollouts = this.#parts.rollouts();
    const rateLimits = this.#rateLimitsToTell(tellsAll);
    this.#parts.send(addresses, {
      kind: MessageKind.Heartbeat,
      from: this.#self,
      memoryMs: this.#parts.memoryMs(),
      configurationVersion: board.routes?.configuration.version ?? 0,
      configurationAgeMs: ageMs === undefined ? undefined : Math.ceil(ageMs),
      targetsVersion: board.targets.version,
      reachesStore: this.#parts.reachesStore(),
      others,
      spending: tellsAll ? this.#parts.spending() : undefined,
      ...(suspects.length > 0 ? { suspects } : undefined),
      ...(rollouts.length > 0 ? { rollouts } : undefined),
      ...(rateLimits.length > 0 ? { rateLimits } : undefined),
      targetNews: this.#newsToTell(tellsAll),
    });
  }

  /**
   * In a large fleet, the seconds of sixteen workspaces would be a fifth of what
   * a small instance's link carries; there, one heartbeat in five tells them, the
   * requests under which targets ended, and new targets.
   */
  #tellsAll(isDigest: boolean): boolean {
    return isDigest || this.#parts.board.members.isFullMesh;
  }

  #rateLimitsToTell(tellsAll: boolean): RateLimitUpdate[] {
    const limits = this.#parts.rateLimits({ onlyChanged: !tellsAll });
    return this.#rateLimitTurns.next(limits, MAX_RATE_LIMITS);
  }

  /** Leaving targets in every heartbeat, the rest in turn. */
  #newsToTell(tellsAll: boolean): TargetRowChange[] {
    const news = this.#parts.targetNews();
    const urgent = this.#urgentTurns.next(news.filter(isUrgent), MAX_NEWS);
    if (!tellsAll || !this.#tellsOfNewTargets()) {
      return urgent;
    }
    const others = news.filter((change) => !isUrgent(change));
    const room = MAX_NEWS - urgent.length;
    return [...urgent, ...this.#newsTurns.next(others, room)];
  }

  /**
   * In a large fleet, all hear of new targets from the coordinator, unless it
   * does not hear of them itself.
   */
  #tellsOfNewTargets(): boolean {
    const { members } = this.#parts.board;
    const coordinatorId = this.#parts.coordinatorId();
    return members.isFullMesh || coordinatorId === members.selfId ||
      !this.#reachStore.has(coordinatorId);
  }

  #noteChanges(nowMs: number): void {
    const { members } = this.#parts.board;
    const alive = new Set(members.alive(nowMs).map((m) => m.instanceId));
    for (const instanceId of alive) {
      if (!this.#aliveIds.has(instanceId) && instanceId !== members.selfId) {
        this.#parts.log.info(LogPart.Members, "member heard", {
          member: instanceId,
          incarnation: members.get(instanceId)?.incarnation,
          alive: alive.size,
        });
      }
    }
    for (const instanceId of this.#aliveIds) {
      if (!alive.has(instanceId)) {
        const heardAtMs = members.get(instanceId)?.lastHeartbeatAtMs;
        this.#parts.log.warn(LogPart.Members, "member silent", {
          member: instanceId,
          silentMs: heardAtMs && Math.round(nowMs - heardAtMs),
          alive: alive.size,
        });
      }
    }
    this.#aliveIds = alive;
  }
}

/** Whether a target must get nothing any more. */
function isUrgent({ entry }: TargetRowChange): boolean {
  return entry === undefined || entry.leaving;
}

function newsOf(member: MemberRecord): MemberInfo {
  const { lastHeartbeatAtMs: _, ...news } = member;
  return news;
}
