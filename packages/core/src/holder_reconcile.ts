/** Keeps a coordinator's account in step with what holders report. */

import {
  PeerMessageKind,
  type PeerMessageOf,
  type RunningWork,
} from "@chestnuthatch/wire/peer_messages";
import type { GrantRecord } from "./blackboard.ts";
import { closeGrant, preemptGrant } from "./grant_lifecycle.ts";
import { hearHolder, type HolderWord } from "./holder_presence.ts";
import { HOLDER_BEAT_MS } from "./holder_report.ts";
import type { ShardView } from "./shard_view.ts";

/** Beats beyond a grant's lifetime before an unlisted grant is taken back. */
const MARGIN_BEATS = 2;

/** How long closed work is left out of `AsksUnknown`: its answer is under way. */
const CLOSED_GRACE_MS = 1000;

type HolderReport = PeerMessageOf<PeerMessageKind.HolderReport>;

/**
 * Handles a holder's full report.
 *
 * @param view The shard.
 * @param report The report.
 * @param word Who sent it.
 */
export function reconcileReport(
  view: ShardView,
  report: HolderReport,
  word: HolderWord,
): void {
  const { shard, nowMs } = view;
  const seen = hearHolder(shard, word, nowMs);
  if (seen === undefined || report.holderBeat < seen.lastReportBeat) {
    return;
  }
  seen.lastReportBeat = report.holderBeat;
  renewAsks(view, report, word);
  for (const work of report.running) {
    noteRunning(view, work, { ...word, beat: report.holderBeat });
  }
  freeUnlisted(view, report, word);
}

function renewAsks(
  view: ShardView,
  report: HolderReport,
  { holderId }: HolderWord,
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
    } else if (!granted.has(requestId) && !closedLately(view, requestId)) {
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

function closedLately(view: ShardView, id: string): boolean {
  const closed = view.shard.tombstones.get(id);
  return closed !== undefined &&
    view.nowMs - closed.closedAtMs < CLOSED_GRACE_MS;
}

function noteRunning(
  view: ShardView,
  work: RunningWork,
  word: Required<HolderWord>,
): void {
  const { shard, nowMs } = view;
  const grant = shard.grants.get(work.grantId) ?? adopt(view, work, word);
  if (grant === undefined) {
    return;
  }
  grant.lastReportedBeat = word.beat;
  grant.orphanedAtMs = undefined;
  grant.usedAtMs = Math.min(grant.usedAtMs, nowMs);
  grant.used = true;
  if (grant.preempted) {
    // The first order may have been lost; a second does no harm.
    preemptGrant(view, grant, "a higher tier, ordered again");
  }
}

/** Takes work into the account that another coordinator granted. */
function adopt(
  view: ShardView,
  work: RunningWork,
  word: Required<HolderWord>,
): GrantRecord | undefined {
  const { shard, nowMs } = view;
  if (shard.tombstones.has(work.grantId)) {
    return undefined;
  }
  const room = view.capacities.find((each) => each.targetId === work.targetId);
  const detail = { ...ADOPTED_ASK, ...work };
  const serviceMs = room === undefined ? 0 : view.predict(room, detail).totalMs;
  const grant: GrantRecord = {
    grantId: work.grantId,
    requestId: work.requestId,
    holderId: word.holderId,
    holderIncarnation: word.incarnation,
    holderBeat: word.beat,
    work,
    kvTokens: view.kvTokensOf(detail),
    grantedAtMs: nowMs,
    expectedEndMs: nowMs + serviceMs,
    used: true,
    preempted: false,
    usedAtMs: nowMs,
    lastReportedBeat: word.beat,
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

/** What an adopted grant's ask cannot be known to have said. */
const ADOPTED_ASK = {
  askNumber: 0,
  value: 0,
  timeLeftMs: 0,
  excludedTargetIds: [],
  blockHashes: [],
  spreadOver: 1,
  spreadIndex: 0,
};

/**
 * Takes back grants that their holder's report does not list: work it listed
 * before has ended, and a grant past its lifetime can no longer be used.
 */
function freeUnlisted(
  view: ShardView,
  report: HolderReport,
  { holderId }: HolderWord,
): void {
  const { shard, settings, nowMs } = view;
  const listed = new Set(report.running.map((work) => work.grantId));
  const lifetimeBeats = MARGIN_BEATS +
    Math.ceil(settings.timing.grantLifetimeMs / HOLDER_BEAT_MS);
  for (const grant of [...shard.grants.values()]) {
    const { lastReportedBeat: listedBeat, holderBeat } = grant;
    const hasEnded = listedBeat >= 0 && report.holderBeat > listedBeat;
    const hasLapsed = report.holderBeat > holderBeat + lifetimeBeats;
    if (
      grant.holderId === holderId && !listed.has(grant.grantId) &&
      (hasEnded || hasLapsed)
    ) {
      closeGrant(shard, grant, { nowMs, kvTokens: 0 });
    }
  }
}
