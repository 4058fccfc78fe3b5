/** What each target of a shard can still take, by the coordinator's account. */

import type { TargetSettings } from "@chestnuthatch/settings/settings_types";
import { TargetKind } from "@chestnuthatch/wire/shared_types";
import { type GrantAccount, type Target, TargetHealth } from "./blackboard.ts";
import {
  reconciledUsage,
  type RoomSource,
  type Usage,
} from "./target_usage.ts";
import { type PrefillQueue, prefillQueueOf } from "./prefill_queue.ts";

/** Why a target gets nothing, or not this ask. Shown by `why`. */
export enum PassedOver {
  Unknown = "not known yet",
  Leaving = "leaving",
  Draining = "draining",
  Unreachable = "unreachable",
  NoReport = "no load report yet",
  WorkUnknown = "runs work that no holder has reported yet",
  Excluded = "refused a connection for this request",
  TooSmall = "cannot hold it even when empty",
  NoSlot = "no free slot for this tier",
  NoKvMemory = "no KV memory free for it",
  PrefillBusy = "enough prompts wait there already",
  Kept = "room kept for another ask",
  TooLate = "would end after the deadline",
  NotSooner = "would not end sooner",
}

/** What an ask takes of a target. */
export interface Need {
  readonly requestId: string;
  readonly tierRank: number;
  readonly kvTokens: number;
  /** Share of the slots that its tier must leave free. */
  readonly headroomShare: number;
}

interface KeptRoom extends Need {
  readonly readyAtMs: number;
}

const ROUNDING = 1e-9;

/** One target's room while a shard's asks are placed. */
export class TargetRoom {
  readonly targetId: string;
  readonly settings: TargetSettings;
  readonly kind: TargetKind;
  readonly target: Target | undefined;
  readonly grants: GrantAccount[];
  /** When a prompt was last heard to have been read here. */
  readonly lastReadAtMs: number;
  readonly slotsTotal: number;
  readonly kvTotalTokens: number;
  readonly used: Usage;
  readonly #kept: KeptRoom[] = [];

  /** @param source What is known of the target. */
  constructor(source: RoomSource) {
    this.settings = source.settings;
    this.targetId = source.settings.id;
    this.kind = source.kind;
    this.target = source.target;
    this.grants = [...source.grants];
    this.lastReadAtMs = source.lastReadAtMs;
    this.slotsTotal = slotsTotalOf(source);
    this.kvTotalTokens = kvTotalOf(source);
    this.used = reconciledUsage(source);
  }

  /** @returns Why it counts as gone; undefined while it lives. */
  get closedFor(): PassedOver | undefined {
    if (this.target === undefined) {
      return PassedOver.Unknown;
    }
    if (this.target.leaving) {
      return PassedOver.Leaving;
    }
    if (this.settings.draining) {
      return PassedOver.Draining;
    }
    return this.target.health === TargetHealth.Unreachable
      ? PassedOver.Unreachable
      : undefined;
  }

  /** Whether the target's report shows as much work as this account has. */
  get showsAllItsWork(): boolean {
    const load = this.target?.load;
    return load !== undefined &&
      load.slotsUsed + load.waitingRequests >= this.grants.length;
  }

  /** Whether the target shows work that this account does not have. */
  get hasUnknownWork(): boolean {
    return this.used.slots > this.grants.length;
  }

  /** @returns Whether any slot is free. */
  get hasFreeSlot(): boolean {
    return this.closedFor === undefined && this.target?.load !== undefined &&
      this.used.slots < this.slotsTotal;
  }

  /** @returns Share (0 to 1) of its slots in use. */
  get utilization(): number {
    return this.slotsTotal === 0 ? 1 : this.used.slots / this.slotsTotal;
  }

  /**
   * Tells whether the target could hold the work if it were empty.
   *
   * @param kvTokens KV memory that the work needs.
   * @returns True where it could.
   */
  couldHold(kvTokens: number): boolean {
    return this.kind === TargetKind.Service || kvTokens <= this.kvTotalTokens;
  }

  /**
   * Tells what stands against placing work here now.
   *
   * @param need What the work takes.
   * @returns The reason, or undefined where it fits.
   */
  obstacle(need: Need): PassedOver | undefined {
    if (this.closedFor !== undefined) {
      return this.closedFor;
    }
    if (this.target?.load === undefined) {
      return PassedOver.NoReport;
    }
    if (!this.couldHold(need.kvTokens)) {
      return PassedOver.TooSmall;
    }
    return shortage(this, need, this.used) ??
      (shortage(this, need, this.#usedWithKept(need)) && PassedOver.Kept);
  }

  /**
   * Keeps room for an ask against all others of its tier and lower.
   *
   * @param need What the ask takes.
   * @param readyAtMs When the room is expected to be there.
   */
  keep(need: Need, readyAtMs: number): void {
    this.#kept.push({ ...need, readyAtMs });
  }

  /** @returns Whether room is kept here for any ask. */
  get hasKept(): boolean {
    return this.#kept.length > 0;
  }

  /**
   * Gives the time until which room kept from an ask stays unused.
   *
   * @param need What the ask takes.
   * @returns A local time; Infinity where nothing is kept from it.
   */
  keptRoomReadyAtMs(need: Need): number {
    return Math.min(
      ...this.#keptFrom(need).map((kept) => kept.readyAtMs),
    );
  }

  /**
   * Counts work as placed here.
   *
   * @param need What it takes.
   */
  take(need: Need): void {
    this.used.slots += 1;
    this.used.kvTokens += need.kvTokens;
    const index = this.#kept.findIndex((kept) =>
      kept.requestId === need.requestId
    );
    if (index >= 0) {
      this.#kept.splice(index, 1);
    }
  }

  /**
   * Gives the prompt work that stands before new work here.
   *
   * @param nowMs The local time.
   * @returns A duration in milliseconds.
   */
  prefillQueueMs(nowMs: number): number {
    return this.#prefillQueue(nowMs).totalMs;
  }

  /**
   * Tells whether so much prompt work waits here that more should wait with
   * the coordinator, where tiers are known. A short prompt may wait behind the
   * one being read, since it holds up nobody.
   *
   * @param nowMs The local time.
   * @param prefillMs Time that the prompt in question takes.
   * @returns True while it should not be added.
   */
  isPrefillBusy(nowMs: number, prefillMs: number): boolean {
    const { totalMs, notBegunMs } = this.#prefillQueue(nowMs);
    return totalMs > MAX_WAIT_BEHIND_MS ||
      (totalMs > MAX_PREFILL_QUEUE_MS &&
        notBegunMs + prefillMs > MAX_PREFILL_QUEUE_MS);
  }

  #prefillQueue(nowMs: number): PrefillQueue {
    const { lastReadAtMs } = this;
    return prefillQueueOf(this.grants, { nowMs, lastReadAtMs });
  }

  #usedWithKept(need: Need): Usage {
    const used = { ...this.used };
    for (const kept of this.#keptFrom(need)) {
      used.slots += 1;
      used.kvTokens += kept.kvTokens;
    }
    return used;
  }

  #keptFrom(need: Need): KeptRoom[] {
    return this.#kept.filter((kept) =>
      kept.requestId !== need.requestId && kept.tierRank <= need.tierRank
    );
  }
}

/**
 * Prompt work that may stand before new work on an engine. Engines know no
 * tiers: what waits there, waits before every higher tier that comes later. It
 * suffices to bridge the time until the next placement.
 */
const MAX_PREFILL_QUEUE_MS = 250;

/** A short prompt does not wait behind one that takes longer than this. */
const MAX_WAIT_BEHIND_MS = 800;

/**
 * Tells what would be missing for work on a target.
 *
 * @param room The target.
 * @param need What the work takes.
 * @param used What is in use there.
 * @returns The reason, or undefined where it would fit.
 */
export function shortage(
  room: TargetRoom,
  need: Need,
  used: Usage,
): PassedOver | undefined {
  if (used.slots + 1 > slotsForTier(room.slotsTotal, need.headroomShare)) {
    return PassedOver.NoSlot;
  }
  const bounded = room.kind === TargetKind.Engine;
  return bounded && used.kvTokens + need.kvTokens > kvForTier(room, need)
    ? PassedOver.NoKvMemory
    : undefined;
}

/**
 * Gives the slots that a tier may fill: all but its headroom, at least one.
 *
 * @param slotsTotal Slots of the target.
 * @param headroomShare Share of them that the tier must leave free.
 * @returns A number of slots.
 */
export function slotsForTier(
  slotsTotal: number,
  headroomShare: number,
): number {
  const headroom = Math.ceil(slotsTotal * headroomShare - ROUNDING);
  return Math.min(slotsTotal, Math.max(1, slotsTotal - headroom));
}

/**
 * Gives the KV memory that a tier may fill: all but its headroom, and always
 * enough for one request that has the target to itself.
 */
function kvForTier(room: TargetRoom, need: Need): number {
  const share = room.kvTotalTokens * (1 - need.headroomShare);
  return Math.min(room.kvTotalTokens, Math.max(share, need.kvTokens));
}

function slotsTotalOf({ settings, target }: RoomSource): number {
  const reported = target?.load?.slotsTotal ?? settings.slots;
  const slots = Math.min(settings.slots, reported);
  const share = target?.pace?.slotShare ?? 1;
  return slots === 0 ? 0 : Math.max(1, Math.floor(slots * share + ROUNDING));
}

function kvTotalOf({ settings, target }: RoomSource): number {
  return Math.min(
    settings.kvTokens,
    target?.load?.kvTotalTokens ?? settings.kvTokens,
  );
}
