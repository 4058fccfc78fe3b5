/**
 * Usage of a target's slots and KV memory, reconciled from the coordinator's
 * grants and the target's load report, which is stale.
 */

import type { TargetSettings } from "@chestnuthatch/settings/settings_types";
import type { TargetKind } from "@chestnuthatch/wire/shared_types";
import type { EndedWork, GrantRecord, Target } from "./blackboard.ts";

/** Slots and KV memory in use on a target. */
export interface TargetUsage {
  slots: number;
  kvTokens: number;
}

/** The data from which the capacity of one target is computed. */
export interface CapacityInputs {
  readonly settings: TargetSettings;
  readonly kind: TargetKind;
  /** State of the target; undefined until the instance has an entry for it. */
  readonly target: Target | undefined;
  /** This coordinator's grants on the target. */
  readonly grants: readonly GrantRecord[];
  /** Work that ended on the target and that its report may still show. */
  readonly ended: readonly EndedWork[];
  /** Local time of the latest `PromptRead` message about the target. */
  readonly lastReadAtMs: number;
}

/**
 * Uncertainty of when a report was made and when work was dispatched or ended:
 * the latency of messages between two instances and a target, with a margin.
 */
const REPORT_TIME_MARGIN_MS = 10;

/** Least output assumed for work that this coordinator has no grant for. */
const MIN_ASSUMED_OUTPUT_TOKENS = 1024;

/**
 * Computes the usage of a target as the larger of two figures: the sum of the
 * coordinator's grants, and the target's load report brought up to date with
 * the work that was granted or ended since the report was made.
 *
 * @param inputs State, grants and ended work of the target.
 * @returns Slots and KV memory in use.
 */
export function reconcileUsage(
  { target, grants, ended }: CapacityInputs,
): TargetUsage {
  const recorded = { slots: grants.length, kvTokens: sumKvTokens(grants) };
  const load = target?.load;
  if (target === undefined || load === undefined) {
    return recorded;
  }
  const grantedSince = grants.filter((grant) => !isInReport(grant, target));
  const endedSince = ended.filter((work) =>
    isInReport(work, target) &&
    work.endedAtMs > target.loadAsOfMs + REPORT_TIME_MARGIN_MS
  );
  const reportedSlots = load.slotsUsed + load.waitingRequests;
  const slots = Math.max(
    recorded.slots,
    reportedSlots + grantedSince.length - endedSince.length,
  );
  const unaccounted = unaccountedKvTokens(grants, {
    unaccountedSlots: slots - recorded.slots,
    kvTokens: load.kvUsedTokens - sumKvTokens(endedSince),
    isReported: (grant) => isInReport(grant, target),
  });
  return {
    slots,
    kvTokens: Math.max(
      recorded.kvTokens + unaccounted,
      load.kvUsedTokens + sumKvTokens(grantedSince) - sumKvTokens(endedSince),
    ),
  };
}

/**
 * Estimates the KV memory, in tokens, of work that this coordinator has no
 * grant for: what the report shows beyond the prompts of the reported grants,
 * plus the output that such work may still produce.
 */
function unaccountedKvTokens(
  grants: readonly GrantRecord[],
  report: {
    unaccountedSlots: number;
    kvTokens: number;
    isReported: (grant: GrantRecord) => boolean;
  },
): number {
  if (report.unaccountedSlots <= 0) {
    return 0;
  }
  let promptTokens = 0;
  let outputTokens = MIN_ASSUMED_OUTPUT_TOKENS;
  for (const grant of grants) {
    promptTokens += report.isReported(grant) ? grant.work.promptTokens : 0;
    outputTokens = Math.max(outputTokens, grant.work.maxOutputTokens);
  }
  return Math.max(0, report.kvTokens - promptTokens) +
    report.unaccountedSlots * outputTokens;
}

function isInReport(work: { usedAtMs: number }, target: Target): boolean {
  return work.usedAtMs <= target.loadAsOfMs - REPORT_TIME_MARGIN_MS;
}

function sumKvTokens(items: readonly { kvTokens: number }[]): number {
  return items.reduce((sum, work) => sum + work.kvTokens, 0);
}
