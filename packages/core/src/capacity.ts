/**
 * The free capacity of each target of a shard, computed from the coordinator's
 * recorded grants and the target's load report.
 */

import type { TargetSettings } from "@chestnuthatch/settings/settings_types";
import { TargetKind } from "@chestnuthatch/wire/shared_types";
import { type GrantRecord, type Target, TargetHealth } from "./blackboard.ts";
import {
  type CapacityInputs,
  reconcileUsage,
  type TargetUsage,
} from "./target_usage.ts";
import { type PrefillQueue, prefillQueueOf } from "./prefill_queue.ts";

/**
 * Why a target is not chosen for an ask. `why` prints these texts, and holders
 * receive them with the grant.
 */
export enum PassedOverReason {
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
  Reserved = "room kept for another ask",
  TooLate = "would end after the deadline",
  NotSooner = "would not end sooner",
}

/** The resources that an ask occupies on a target. */
export interface ResourceDemand {
  readonly requestId: string;
  readonly tierRank: number;
  readonly kvTokens: number;
  /** Share (0 to 1) of slots and KV memory that the ask's tier leaves free. */
  readonly headroomShare: number;
}

/** Resources reserved on a target for one ask. */
interface ReservedCapacity extends ResourceDemand {
  /** Local time at which they are expected to be free. */
  readonly readyAtMs: number;
}

/** Keeps errors of floating-point products from changing a rounded result. */
const ROUNDING_TOLERANCE = 1e-9;

/**
 * Used, reserved and free capacity of one target while the asks of its shard
 * are placed. Placing work updates it.
 */
export class TargetCapacity {
  readonly targetId: string;
  readonly settings: TargetSettings;
  readonly kind: TargetKind;
  readonly target: Target | undefined;
  readonly grants: GrantRecord[];
  /** Local time of the latest `PromptRead` message about the target. */
  readonly lastReadAtMs: number;
  /** Slots that the target may fill under its straggler slot share. */
  readonly slotsTotal: number;
  readonly kvTotalTokens: number;
  /** Capacity in use, including work placed since this object was created. */
  readonly used: TargetUsage;
  readonly #reserved: ReservedCapacity[] = [];

  /** @param inputs Settings, state, grants and ended work of the target. */
  constructor(inputs: CapacityInputs) {
    this.settings = inputs.settings;
    this.targetId = inputs.settings.id;
    this.kind = inputs.kind;
    this.target = inputs.target;
    this.grants = [...inputs.grants];
    this.lastReadAtMs = inputs.lastReadAtMs;
    this.slotsTotal = slotsTotalOf(inputs);
    this.kvTotalTokens = kvTotalTokensOf(inputs);
    this.used = reconcileUsage(inputs);
  }

  /** Why the target may get no work at all; undefined while it is available. */
  get unavailableReason(): PassedOverReason | undefined {
    if (this.target === undefined) {
      return PassedOverReason.Unknown;
    }
    if (this.target.leaving) {
      return PassedOverReason.Leaving;
    }
    if (this.settings.draining) {
      return PassedOverReason.Draining;
    }
    return this.target.health === TargetHealth.Unreachable
      ? PassedOverReason.Unreachable
      : undefined;
  }

  /** Whether the load report shows at least as much work as grants exist. */
  get reportsAllGrants(): boolean {
    const load = this.target?.load;
    return load !== undefined &&
      load.slotsUsed + load.waitingRequests >= this.grants.length;
  }

  /** Whether the target reports work beyond this coordinator's grants. */
  get hasUnaccountedWork(): boolean {
    return this.used.slots > this.grants.length;
  }

  /** Whether the target is available, has reported, and has a free slot. */
  get hasFreeSlot(): boolean {
    return this.unavailableReason === undefined &&
      this.target?.load !== undefined &&
      this.used.slots < this.slotsTotal;
  }

  /** Share (0 to 1) of the target's slots in use. */
  get utilization(): number {
    return this.slotsTotal === 0 ? 1 : this.used.slots / this.slotsTotal;
  }

  /**
   * Checks whether the target could hold the work if it were idle.
   *
   * @param kvTokens KV memory that the work needs, in tokens.
   * @returns Whether the work fits; always true for services, which have no KV
   * memory.
   */
  fitsWhenEmpty(kvTokens: number): boolean {
    return this.kind === TargetKind.Service || kvTokens <= this.kvTotalTokens;
  }

  /**
   * Checks whether work can be placed on the target now.
   *
   * @param demand Resources that the work occupies.
   * @returns Why the work cannot be placed, or undefined where it fits.
   */
  rejectionOf(demand: ResourceDemand): PassedOverReason | undefined {
    if (this.unavailableReason !== undefined) {
      return this.unavailableReason;
    }
    if (this.target?.load === undefined) {
      return PassedOverReason.NoReport;
    }
    if (!this.fitsWhenEmpty(demand.kvTokens)) {
      return PassedOverReason.TooSmall;
    }
    return shortage(this, demand, this.used) ??
      (shortage(this, demand, this.#usedWithReserved(demand)) &&
        PassedOverReason.Reserved);
  }

  /**
   * Reserves resources for an ask; other asks of its tier and of lower tiers
   * may not take them.
   *
   * @param demand Resources that the ask occupies.
   * @param readyAtMs Local time at which the resources are expected to be free.
   */
  reserve(demand: ResourceDemand, readyAtMs: number): void {
    this.#reserved.push({ ...demand, readyAtMs });
  }

  /** Whether resources are reserved here for any ask. */
  get hasReservation(): boolean {
    return this.#reserved.length > 0;
  }

  /**
   * Returns the time until which the resources reserved against an ask stay
   * unused.
   *
   * @param demand Resources that the ask occupies.
   * @returns The earliest local time at which one of the reservations is
   * expected to be used; Infinity where nothing is reserved against the ask.
   */
  reservedReadyAtMs(demand: ResourceDemand): number {
    return Math.min(
      ...this.#reservedAgainst(demand).map((reserved) => reserved.readyAtMs),
    );
  }

  /**
   * Counts work as placed here, and releases the reservation made for it.
   *
   * @param demand Resources that the work occupies.
   */
  allocate(demand: ResourceDemand): void {
    this.used.slots += 1;
    this.used.kvTokens += demand.kvTokens;
    const index = this.#reserved.findIndex((reserved) =>
      reserved.requestId === demand.requestId
    );
    if (index >= 0) {
      this.#reserved.splice(index, 1);
    }
  }

  /**
   * Estimates the time until the target has read the prompts it has.
   *
   * @param nowMs The local time in milliseconds.
   * @returns The length of the prefill queue in milliseconds.
   */
  prefillQueueMs(nowMs: number): number {
    return this.#prefillQueue(nowMs).totalMs;
  }

  /**
   * Checks whether the target's prefill queue is so long that another prompt
   * should wait at the coordinator, which orders prompts by tier. A short
   * prompt may queue behind the one being read, since it delays no others.
   *
   * @param nowMs The local time in milliseconds.
   * @param prefillMs Time to read the prompt to be added, in milliseconds.
   * @returns Whether the prompt should not be added now.
   */
  isPrefillBusy(nowMs: number, prefillMs: number): boolean {
    const { totalMs, notStartedMs } = this.#prefillQueue(nowMs);
    return totalMs > MAX_SHORT_PROMPT_WAIT_MS ||
      (totalMs > MAX_PREFILL_QUEUE_MS &&
        notStartedMs + prefillMs > MAX_PREFILL_QUEUE_MS);
  }

  #prefillQueue(nowMs: number): PrefillQueue {
    const { lastReadAtMs } = this;
    return prefillQueueOf(this.grants, { nowMs, lastReadAtMs });
  }

  #usedWithReserved(demand: ResourceDemand): TargetUsage {
    const used = { ...this.used };
    for (const reserved of this.#reservedAgainst(demand)) {
      used.slots += 1;
      used.kvTokens += reserved.kvTokens;
    }
    return used;
  }

  #reservedAgainst(demand: ResourceDemand): ReservedCapacity[] {
    return this.#reserved.filter((reserved) =>
      reserved.requestId !== demand.requestId &&
      reserved.tierRank <= demand.tierRank
    );
  }
}

/**
 * Longest prefill queue in front of new work on an engine. Engines ignore
 * tiers: prompts queued there are read before those of a higher tier that
 * arrive later. The queue only has to last until the next placement.
 */
const MAX_PREFILL_QUEUE_MS = 250;

/** Longest prefill queue behind which a short prompt may be placed. */
const MAX_SHORT_PROMPT_WAIT_MS = 800;

/**
 * Checks whether work would fit on a target at a given usage.
 *
 * @param capacity Capacity of the target.
 * @param demand Resources that the work occupies.
 * @param used Usage of the target to assume.
 * @returns The resource that is short, or undefined where the work fits.
 */
export function shortage(
  capacity: TargetCapacity,
  demand: ResourceDemand,
  used: TargetUsage,
): PassedOverReason | undefined {
  if (
    used.slots + 1 > slotsForTier(capacity.slotsTotal, demand.headroomShare)
  ) {
    return PassedOverReason.NoSlot;
  }
  const isKvBounded = capacity.kind === TargetKind.Engine;
  return isKvBounded &&
      used.kvTokens + demand.kvTokens > kvTokensForTier(capacity, demand)
    ? PassedOverReason.NoKvMemory
    : undefined;
}

/**
 * Returns the number of slots that a tier may fill: all but its headroom, and
 * at least one.
 *
 * @param slotsTotal Slots of the target.
 * @param headroomShare Share (0 to 1) of the slots that the tier leaves free.
 * @returns The number of slots.
 */
export function slotsForTier(
  slotsTotal: number,
  headroomShare: number,
): number {
  const headroomSlots = Math.ceil(
    slotsTotal * headroomShare - ROUNDING_TOLERANCE,
  );
  return Math.min(slotsTotal, Math.max(1, slotsTotal - headroomSlots));
}

/**
 * Returns the KV memory that a tier may fill, in tokens: all but its headroom,
 * and always enough for one request that has the target to itself.
 */
function kvTokensForTier(
  capacity: TargetCapacity,
  demand: ResourceDemand,
): number {
  const share = capacity.kvTotalTokens * (1 - demand.headroomShare);
  return Math.min(capacity.kvTotalTokens, Math.max(share, demand.kvTokens));
}

function slotsTotalOf({ settings, target }: CapacityInputs): number {
  const reported = target?.load?.slotsTotal ?? settings.slots;
  const slots = Math.min(settings.slots, reported);
  const share = target?.stragglerState?.slotShare ?? 1;
  return slots === 0
    ? 0
    : Math.max(1, Math.floor(slots * share + ROUNDING_TOLERANCE));
}

function kvTotalTokensOf({ settings, target }: CapacityInputs): number {
  return Math.min(
    settings.kvTokens,
    target?.load?.kvTotalTokens ?? settings.kvTokens,
  );
}
