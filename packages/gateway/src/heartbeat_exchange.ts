/** Sends heartbeats to the other instances, and applies those received. */

import type { AnnouncedAccount } from "@chestnuthatch/routing/allotment_ledger";
import type { AdmissionForecast } from "@chestnuthatch/routing/admission_forecast";
import {
  MessageKind,
  type RoutingMessage,
} from "@chestnuthatch/routing/peer_messages";
import type {
  MemberInfo,
  MemberRecord,
} from "@chestnuthatch/routing/member_record";
import { HEARTBEAT_FANOUT } from "@chestnuthatch/routing/member_view";
import type { RetryHistory } from "@chestnuthatch/routing/retry_budget";
import type { RolloutUpdate } from "@chestnuthatch/routing/rollout";
import type { RoutingBoard } from "@chestnuthatch/routing/routing_board";
import type { StreamOriginGroup } from "@chestnuthatch/routing/stream_origins";
import type { SuspectUpdate } from "@chestnuthatch/routing/crash_suspects";
import { mapLayers } from "@chestnuthatch/routing/spending_by_share";
import {
  roundedUp,
  type WorkspaceSpending,
} from "@chestnuthatch/routing/spending_log";
import type { RateLimitUpdate } from "@chestnuthatch/routing/target_rate_limits";
import type { TargetRowChange } from "@chestnuthatch/routing/target_directory";
import { type EventLog, LogPart } from "./event_log.ts";
import type { Clock } from "./ports.ts";
import { Rotation } from "./rotation.ts";

/**
 * Time between two heartbeats; four may be lost before a member counts as
 * failed.
 */
const HEARTBEAT_INTERVAL_MS = 220;

/**
 * Number of heartbeats of which one is a digest, which lists the members that
 * are alive in the sender's view.
 */
const HEARTBEATS_PER_DIGEST = 5;

/** Members that one digest lists; a larger fleet is listed in rotation. */
const MAX_DIGEST_MEMBERS = 24;

/** Silent members that one digest lists; more are listed in rotation. */
const MAX_DIGEST_ABSENT_MEMBERS = 8;

/**
 * Changes of targets that one heartbeat carries: 3 KB, so that it fits into a
 * datagram and does not saturate the network links of small instances.
 */
const MAX_TARGET_CHANGES = 24;

/** Heartbeats that carry a new stream, as some may be lost. */
const STREAM_REPEATS = 3;

/** Rate limits that one heartbeat carries; more are sent in rotation. */
const MAX_RATE_LIMITS = 24;

/**
 * A heartbeat: the message by which an instance regularly announces that it is
 * alive, along with its state and recent updates.
 */
export type Heartbeat = Extract<
  RoutingMessage,
  { kind: MessageKind.Heartbeat }
>;

/** Changes of targets that an instance announces. */
export interface RecentTargetChanges {
  readonly changes: readonly TargetRowChange[];
  /** They are all changes since this version of the list. */
  readonly sinceVersion: number;
}

/** Dependencies of {@link HeartbeatExchange}. */
export interface HeartbeatParts {
  readonly board: RoutingBoard;
  readonly clock: Clock;
  readonly log: EventLog;
  /** Peer addresses that get digests even while no member is known. */
  readonly seedAddresses: readonly string[];
  /** Sends a message to all of the addresses. */
  send(addresses: Iterable<string>, message: RoutingMessage): void;
  /** @returns Id of the coordinator. */
  coordinatorId(): string;
  /** @returns Milliseconds since this instance started. */
  uptimeMs(): number;
  /** @returns Whether this instance reaches the platform's store. */
  reachesStore(): boolean;
  /**
   * @returns Spending of workspaces near their bounds; undefined unless this
   * instance is the coordinator.
   */
  spending(): AnnouncedAccount | undefined;
  /**
   * @returns Sends that count towards retry budgets; none unless this instance
   * is the coordinator.
   */
  retries(): readonly RetryHistory[];
  /**
   * @returns Suspect requests, under which targets ended; none unless this
   * instance is the coordinator.
   */
  suspects(): readonly SuspectUpdate[];
  /**
   * @param withinMs Time from now within which the streams were recorded.
   * @returns Streams of pools with several software versions, by origin; none
   * unless this instance is the coordinator.
   */
  streams(withinMs: number): readonly StreamOriginGroup[];
  /**
   * @returns Waits for which holders refuse asks; none unless this instance is
   * the coordinator. Not called in a fleet with a full mesh of heartbeats.
   */
  admission?(): readonly AdmissionForecast[];
  /**
   * @param of Whether to add versions that were rolled back earlier.
   * @returns Roll-outs that are in progress or ended recently.
   */
  rollouts(of: { includesRolledBack: boolean }): readonly RolloutUpdate[];
  /** @returns Rate limits of targets, including recently lifted ones. */
  rateLimits(of: { onlyChanged: boolean }): readonly RateLimitUpdate[];
  /** @returns Recent changes of targets. */
  targetChanges(): RecentTargetChanges;
}

/**
 * Sends heartbeats of this instance and applies those of others to the view of
 * the fleet's members.
 */
export class HeartbeatExchange {
  readonly #parts: HeartbeatParts;
  #self: MemberInfo;
  #heartbeatCount = 0;
  readonly #memberRotation = new Rotation();
  readonly #absentRotation = new Rotation();
  readonly #receiverRotation = new Rotation();
  /**
   * Separate from other heartbeats, so that digests reach every member in turn.
   */
  readonly #digestReceiverRotation = new Rotation();
  readonly #rateLimitRotation = new Rotation();
  readonly #urgentChangeRotation = new Rotation();
  readonly #otherChangeRotation = new Rotation();
  #heartbeatAtMs = -Infinity;
  #aliveIds = new Set<string>();
  /** Members whose last heartbeat states that they reach the store. */
  readonly #idsReachingStore = new Set<string>();

  /**
   * @param parts Dependencies.
   * @param self This instance, as heartbeats describe it.
   */
  constructor(parts: HeartbeatParts, self: MemberInfo) {
    this.#parts = parts;
    this.#self = self;
  }

  /** Announces to the other instances that this one is leaving. */
  announceLeaving(): void {
    this.#self = { ...this.#self, leaving: true };
    this.#parts.board.members.leave();
    this.#sendDueHeartbeat(this.#parts.clock.nowMs());
  }

  /**
   * @param nowMs The local time.
   * @returns Milliseconds until the next heartbeat is due; 0 or less if it is
   * due now.
   */
  untilHeartbeatMs(nowMs: number): number {
    return this.#heartbeatAtMs + HEARTBEAT_INTERVAL_MS - nowMs;
  }

  /**
   * Sends a heartbeat if one is due, and logs members that became alive or
   * silent; to be called regularly.
   */
  tick(): void {
    const nowMs = this.#parts.clock.nowMs();
    const standsAside = this.#parts.board.members.standsAside(nowMs);
    if (standsAside !== (this.#self.standsAside ?? false)) {
      this.#announceStandsAside(standsAside);
    }
    if (nowMs - this.#heartbeatAtMs >= HEARTBEAT_INTERVAL_MS) {
      this.#sendDueHeartbeat(nowMs);
      this.#logLivenessChanges(nowMs);
      this.#parts.board.members.evictExpired(nowMs);
    }
  }

  /**
   * @param instanceId Id of a member.
   * @returns Whether its last heartbeat states that it reaches the
   * platform's store.
   */
  reachesStore(instanceId: string): boolean {
    return this.#idsReachingStore.has(instanceId);
  }

  /**
   * Updates the view of the fleet's members.
   *
   * @param heartbeat A heartbeat of another instance.
   */
  heartbeatReceived(heartbeat: Heartbeat): void {
    const { members } = this.#parts.board;
    const nowMs = this.#parts.clock.nowMs();
    const isNew = members.heartbeatReceived(heartbeat.from, nowMs);
    if (heartbeat.reachesStore) {
      this.#idsReachingStore.add(heartbeat.from.instanceId);
    } else {
      this.#idsReachingStore.delete(heartbeat.from.instanceId);
    }
    const { instanceId } = heartbeat.from;
    members.coordinatorReported(instanceId, heartbeat.coordinatorId);
    for (const other of heartbeat.others) {
      members.memberReported(other, { nowMs, ageMs: 0 });
    }
    for (const { info, ageMs } of heartbeat.absent ?? []) {
      members.silenceReported(info, { nowMs, ageMs });
    }
    if (isNew && heartbeat.from.instanceId !== members.selfId) {
      // So that the new member adds this instance to its view at once, too.
      this.#sendHeartbeat([heartbeat.from.address], true);
    }
  }

  /**
   * Sent to all others at once, so that all of them choose the same
   * coordinator.
   */
  #announceStandsAside(standsAside: boolean): void {
    const { board, log } = this.#parts;
    this.#self = { ...this.#self, standsAside };
    log.info(LogPart.Members, "coordinator eligibility changed", {
      standsAside,
    });
    this.#sendHeartbeat(board.members.others().map((m) => m.address), false);
  }

  /** Sends the periodic heartbeat, every fifth time as a digest. */
  #sendDueHeartbeat(nowMs: number): void {
    this.#heartbeatAtMs = nowMs;
    this.#heartbeatCount++;
    const isDigest = this.#heartbeatCount % HEARTBEATS_PER_DIGEST === 1;
    const rotation = isDigest
      ? this.#digestReceiverRotation
      : this.#receiverRotation;
    const addresses = new Set(this.#receivers(rotation).map((m) => m.address));
    if (isDigest) {
      for (const seed of this.#parts.seedAddresses) {
        addresses.add(seed);
      }
    }
    addresses.delete(this.#self.address);
    this.#sendHeartbeat(addresses, isDigest);
  }

  /** All others, or in a large fleet the coordinator and some in rotation. */
  #receivers(rotation: Rotation): MemberInfo[] {
    const { members } = this.#parts.board;
    const others = members.others();
    const coordinatorId = this.#parts.coordinatorId();
    const isAll = members.isFullMesh ||
      coordinatorId === members.selfId;
    if (isAll) {
      return others;
    }
    const some = rotation.next(others, HEARTBEAT_FANOUT);
    return [...some, members.get(coordinatorId) ?? []].flat();
  }

  #sendHeartbeat(addresses: Iterable<string>, isDigest: boolean): void {
    const { board, clock } = this.#parts;
    const nowMs = clock.nowMs();
    const alive = isDigest ? board.members.alive(nowMs) : [];
    const ageMs = board.configurationAge.storeAgeMs(nowMs);
    const others = this.#memberRotation.next(alive, MAX_DIGEST_MEMBERS)
      .filter(({ instanceId }) => instanceId !== board.members.selfId)
      .map(memberInfoOf);
    const absent = isDigest
      ? this.#absentRotation
        .next(board.members.absent(nowMs), MAX_DIGEST_ABSENT_MEMBERS)
      : [];
    const includesAll = this.#includesAll(isDigest);
    const retries = includesAll ? this.#parts.retries() : [];
    const suspects = includesAll ? this.#parts.suspects() : [];
    const streams = includesAll ? this.#recentStreams() : [];
    const admission = board.members.isFullMesh
      ? []
      : this.#parts.admission?.() ?? [];
    const rollouts = this.#parts.rollouts({ includesRolledBack: includesAll });
    const rateLimits = this.#rateLimitsToSend(includesAll);
    this.#parts.send(addresses, {
      kind: MessageKind.Heartbeat,
      from: this.#self,
      memoryMs: this.#parts.uptimeMs(),
      coordinatorId: this.#parts.coordinatorId(),
      configurationVersion: board.routes?.configuration.version ?? 0,
      configurationAgeMs: ageMs === undefined ? undefined : Math.ceil(ageMs),
      targetsVersion: board.targets.version,
      reachesStore: this.#parts.reachesStore(),
      others,
      ...(absent.length > 0 ? { absent } : undefined),
      ...(includesAll ? this.#spendingToSend() : undefined),
      ...(retries.length > 0 ? { retries } : undefined),
      ...(suspects.length > 0 ? { suspects } : undefined),
      ...(streams.length > 0 ? { streams } : undefined),
      ...(admission.length > 0 ? { admission } : undefined),
      ...(rollouts.length > 0 ? { rollouts } : undefined),
      ...(rateLimits.length > 0 ? { rateLimits } : undefined),
      ...this.#targetChangesToSend(includesAll),
    });
  }

  /**
   * Whether a heartbeat carries spending, suspect requests, streams and new
   * targets. In a large fleet only digests do, one heartbeat in five: the
   * spending by second of sixteen workspaces in each heartbeat would take a
   * fifth of the bandwidth of a small instance.
   */
  #includesAll(isDigest: boolean): boolean {
    return isDigest || this.#parts.board.members.isFullMesh;
  }

  #spendingToSend(): Partial<Heartbeat> {
    const account = this.#parts.spending();
    if (account === undefined) {
      return {};
    }
    const { layers, recorded, share } = account;
    const rounded = mapLayers(layers, roundedUp);
    const partSpending = rounded.filter((layer) => layer.share < 1);
    return {
      spending: rounded.find((layer) => layer.share === 1)?.spending ?? [],
      ...(partSpending.length > 0 ? { partSpending } : undefined),
      ...(share < 1 ? { spendingShare: share } : undefined),
      ...(recorded.length > 0
        ? { recordedSpending: recorded.map(roundedDown) }
        : undefined),
    };
  }

  #recentStreams(): readonly StreamOriginGroup[] {
    const intervalMs = this.#parts.board.members.isFullMesh
      ? HEARTBEAT_INTERVAL_MS
      : HEARTBEATS_PER_DIGEST * HEARTBEAT_INTERVAL_MS;
    return this.#parts.streams(STREAM_REPEATS * intervalMs);
  }

  #rateLimitsToSend(includesAll: boolean): RateLimitUpdate[] {
    const limits = this.#parts.rateLimits({ onlyChanged: !includesAll });
    return this.#rateLimitRotation.next(limits, MAX_RATE_LIMITS);
  }

  /**
   * Leaving targets in every heartbeat, the rest in rotation. A heartbeat with
   * all changes states since which version they are all.
   */
  #targetChangesToSend(
    includesAll: boolean,
  ): Pick<Heartbeat, "targetNews" | "targetNewsSince"> {
    const { changes, sinceVersion } = this.#parts.targetChanges();
    const urgent = this.#urgentChangeRotation.next(
      changes.filter(isUrgent),
      MAX_TARGET_CHANGES,
    );
    if (!includesAll || !this.#sendsNewTargets()) {
      return { targetNews: urgent };
    }
    const others = changes.filter((change) => !isUrgent(change));
    const capacity = MAX_TARGET_CHANGES - urgent.length;
    const targetNews = [
      ...urgent,
      ...this.#otherChangeRotation.next(others, capacity),
    ];
    return targetNews.length === changes.length
      ? { targetNews, targetNewsSince: sinceVersion }
      : { targetNews };
  }

  /**
   * In a large fleet, only the coordinator sends new targets, unless it does
   * not reach the store and so cannot read them there.
   */
  #sendsNewTargets(): boolean {
    const { members } = this.#parts.board;
    const coordinatorId = this.#parts.coordinatorId();
    return members.isFullMesh || coordinatorId === members.selfId ||
      !this.#idsReachingStore.has(coordinatorId);
  }

  #logLivenessChanges(nowMs: number): void {
    const { members } = this.#parts.board;
    const alive = new Set(members.alive(nowMs).map((m) => m.instanceId));
    for (const instanceId of alive) {
      if (!this.#aliveIds.has(instanceId) && instanceId !== members.selfId) {
        this.#parts.log.info(LogPart.Members, "member alive", {
          member: instanceId,
          incarnation: members.get(instanceId)?.incarnation,
          alive: alive.size,
        });
      }
    }
    for (const instanceId of this.#aliveIds) {
      if (!alive.has(instanceId)) {
        const lastHeartbeatAtMs = members.get(instanceId)?.lastHeartbeatAtMs;
        this.#parts.log.warn(LogPart.Members, "member silent", {
          member: instanceId,
          silentMs: lastHeartbeatAtMs && Math.round(nowMs - lastHeartbeatAtMs),
          alive: alive.size,
        });
      }
    }
    this.#aliveIds = alive;
  }
}

/** Whether a target must not get any more requests. */
function isUrgent({ entry }: TargetRowChange): boolean {
  return entry === undefined || entry.leaving;
}

function memberInfoOf(member: MemberRecord): MemberInfo {
  const { lastHeartbeatAtMs: _, ...info } = member;
  return info;
}

function roundedDown(
  { workspace, spent }: WorkspaceSpending,
): WorkspaceSpending {
  return { workspace, spent: Math.floor(spent) };
}
