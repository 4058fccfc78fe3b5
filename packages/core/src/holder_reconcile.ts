/** Reconciles a coordinator's asks and grants with the reports of holders. */

import {
  PeerMessageKind,
  type PeerMessageOf,
  type RunningWork,
} from "@chestnuthatch/wire/peer_messages";
import type { GrantRecord } from "./blackboard.ts";
import { closeGrant, preemptGrant } from "./grant_lifecycle.ts";
import { type HolderSender, recordHolder } from "./holder_presence.ts";
import { HOLDER_BEAT_INTERVAL_MS } from "./holder_report.ts";
import type { ShardView } from "./shard_view.ts";

/** Beats past a grant's lifetime after which an unlisted grant is closed. */
const GRANT_MARGIN_BEATS = 2;

/**
 * Time during which a closed ask is left out of `AsksUnknown`: its answer may
 * still be in flight.
 */
const CLOSED_GRACE_MS = 1000;

type HolderReport = PeerMessageOf<PeerMessageKind.HolderReport>;

/**
 * Reconciles a shard with a holder's full report: renews its asks, records its
 * running work, and closes grants that it no longer lists. Reports older than
 * the last one are ignored.
 *
 * @param view The shard.
 * @param report The report.
 * @param sender The holder that sent it.
 */
export function reconcileReport(
  view: ShardView,
  report: HolderReport,
  sender: HolderSender,
): void {
  const { shard, nowMs } = view;
  const holder = recordHolder(shard, sender, nowMs);
  if (holder === undefined || report.holderBeat < holder.lastReportBeat) {
    return;
  }
  holder.lastReportBeat = report.holderBeat;
  renewAsks(view, report, sender);
  for (const work of report.running) {
    recordRunningWork(view, work, { ...sender, holderBeat: report.holderBeat });
  }
  closeUnlistedGrants(view, report, sender);
}

function renewAsks(
  view: ShardView,
  report: HolderReport,
  { holderId }: HolderSender,
): void {
  const { shard, nowMs } = view;
  const granted = new Set(
    [...shard.grants.values()].map((grant) => grant.requestId),
  );
  const unknownIds: string[] = [];
  for (const requestId of report.waitingRequestIds) {
    const ask = shard.waiting.get(requestId);
    if (ask?.holderId === holderId) {
      ask.renewedAtMs = nowMs;
      ask.holderBeat = report.holderBeat;
    } else if (!granted.has(requestId) && !wasClosedRecently(view, requestId)) {
      unknownIds.push(requestId);
    }
  }
  if (unknownIds.length > 0) {
    view.turn.send(holderId, {
      kind: PeerMessageKind.AsksUnknown,
      pool: shard.pool,
      failureDomain: shard.failureDomain,
      requestIds: unknownIds,
    });
  }
}

function wasClosedRecently(view: ShardView, requestId: string): boolean {
  const closed = view.shard.tombstones.get(requestId);
  return closed !== undefined &&
    view.nowMs - closed.closedAtMs < CLOSED_GRACE_MS;
}

function recordRunningWork(
  view: ShardView,
  work: RunningWork,
  sender: Required<HolderSender>,
): void {
  const { shard, nowMs } = view;
  const grant = shard.grants.get(work.grantId) ?? adoptWork(view, work, sender);
  if (grant === undefined) {
    return;
  }
  grant.lastReportedBeat = sender.holderBeat;
  grant.orphanedAtMs = undefined;
  grant.usedAtMs = Math.min(grant.usedAtMs, nowMs);
  grant.used = true;
  if (grant.preempted) {
    // The first preempt message may have been lost; a repeat does no harm.
    preemptGrant(view, grant, "a higher tier, ordered again");
  }
}

/** Opens a grant for running work that another coordinator granted. */
function adoptWork(
  view: ShardView,
  work: RunningWork,
  sender: Required<HolderSender>,
): GrantRecord | undefined {
  const { shard, nowMs } = view;
  if (shard.tombstones.has(work.grantId)) {
    return undefined;
  }
  const capacity = view.capacities.find((candidate) =>
    candidate.targetId === work.targetId
  );
  const detail = { ...ADOPTED_ASK_DEFAULTS, ...work };
  const serviceMs = capacity === undefined
    ? 0
    : view.predict(capacity, detail).totalMs;
  const grant: GrantRecord = {
    grantId: work.grantId,
    requestId: work.requestId,
    holderId: sender.holderId,
    holderIncarnation: sender.incarnation,
    holderBeat: sender.holderBeat,
    work,
    kvTokens: view.kvTokensOf(detail),
    grantedAtMs: nowMs,
    expectedEndMs: nowMs + serviceMs,
    used: true,
    preempted: false,
    usedAtMs: nowMs,
    lastReportedBeat: sender.holderBeat,
    costMs: 0,
    prefillQueueMs: 0,
    prefillMs: 0,
    promptRead: true,
    cumulativePrefillMs: shard.cumulativePrefillMs.get(work.targetId) ?? 0,
    loadFactor: 1,
  };
  shard.grants.set(work.grantId, grant);
  return grant;
}

/** Placeholders for the fields of an ask that running work does not carry. */
const ADOPTED_ASK_DEFAULTS = {
  askNumber: 0,
  value: 0,
  timeLeftMs: 0,
  excludedTargetIds: [],
  blockHashes: [],
  spreadOver: 1,
  spreadIndex: 0,
};

/**
 * Closes grants that their holder's report does not list: work it listed
 * before has ended, and a grant past its lifetime can no longer be used.
 */
function closeUnlistedGrants(
  view: ShardView,
  report: HolderReport,
  { holderId }: HolderSender,
): void {
  const { shard, settings, nowMs } = view;
  const listedGrantIds = new Set(report.running.map((work) => work.grantId));
  const lifetimeBeats = GRANT_MARGIN_BEATS +
    Math.ceil(settings.timing.grantLifetimeMs / HOLDER_BEAT_INTERVAL_MS);
  for (const grant of [...shard.grants.values()]) {
    const { lastReportedBeat, holderBeat } = grant;
    const hasEnded = lastReportedBeat >= 0 &&
      report.holderBeat > lastReportedBeat;
    const hasExpired = report.holderBeat > holderBeat + lifetimeBeats;
    if (
      grant.holderId === holderId && !listedGrantIds.has(grant.grantId) &&
      (hasEnded || hasExpired)
    ) {
      closeGrant(shard, grant, { nowMs, kvTokens: 0 });
    }
  }
}
