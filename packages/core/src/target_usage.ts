/** What is in use on a target: own account against a stale report. */

import type { TargetSettings } from "@chestnuthatch/settings/settings_types";
import type { TargetKind } from "@chestnuthatch/wire/shared_types";
import type { EndedWork, GrantAccount, Target } from "./blackboard.ts";

/** Slots and KV memory. */
export interface Usage {
  slots: number;
  kvTokens: number;
}

/** What a room is read from. */
export interface RoomSource {
  readonly settings: TargetSettings;
  readonly kind: TargetKind;
  readonly target: Target | undefined;
  /** This coordinator's grants on the target. */
  readonly grants: readonly GrantAccount[];
  readonly ended: readonly EndedWork[];
  /** When a prompt was last heard to have been read there. */
  readonly lastReadAtMs: number;
}

/**
 * Uncertainty of when a report was made and when work was dispatched or ended:
 * the way of a message between two instances and a target, with room.
 */
const REPORT_MARGIN_MS = 10;

/** Least growth assumed of an answer that is not in the account. */
const MIN_GROWTH_TOKENS = 1024;

/**
 * Weighs the own account against the target's stale report, the larger one
 * counting: the report is carried forward by what was granted and what ended
 * since the time it speaks of.
 *
 * @param source What is known of the target.
 * @returns What is in use there.
 */
export function reconciledUsage({ target, grants, ended }: RoomSource): Usage {
  const own = { slots: grants.length, kvTokens: sumKvTokens(grants) };
  const load = target?.load;
  if (target === undefined || load === undefined) {
    return own;
  }
  const since = grants.filter((grant) => !isInReport(grant, target));
  const gone = ended.filter((work) =>
    isInReport(work, target) &&
    work.endedAtMs > target.loadAsOfMs + REPORT_MARGIN_MS
  );
  const reportedSlots = load.slotsUsed + load.waitingRequests;
  const slots = Math.max(own.slots, reportedSlots + since.length - gone.length);
  const unknown = unknownKvTokens(grants, {
    unknownSlots: slots - own.slots,
    kvTokens: load.kvUsedTokens - sumKvTokens(gone),
    isKnown: (grant) => isInReport(grant, target),
  });
  return {
    slots,
    kvTokens: Math.max(
      own.kvTokens + unknown,
      load.kvUsedTokens + sumKvTokens(since) - sumKvTokens(gone),
    ),
  };
}

/**
 * Estimates the KV memory of work that is not in the account: what the report
 * shows beyond the account's prompts, and room for its answers to grow.
 */
function unknownKvTokens(
  grants: readonly GrantAccount[],
  report: {
    unknownSlots: number;
    kvTokens: number;
    isKnown: (grant: GrantAccount) => boolean;
  },
): number {
  if (report.unknownSlots <= 0) {
    return 0;
  }
  let promptTokens = 0;
  let growthTokens = MIN_GROWTH_TOKENS;
  for (const grant of grants) {
    promptTokens += report.isKnown(grant) ? grant.work.promptTokens : 0;
    growthTokens = Math.max(growthTokens, grant.work.maxOutputTokens);
  }
  return Math.max(0, report.kvTokens - promptTokens) +
    report.unknownSlots * growthTokens;
}

function isInReport(work: { usedAtMs: number }, target: Target): boolean {
  return work.usedAtMs <= target.loadAsOfMs - REPORT_MARGIN_MS;
}

function sumKvTokens(works: readonly { kvTokens: number }[]): number {
  return works.reduce((sum, work) => sum + work.kvTokens, 0);
}
