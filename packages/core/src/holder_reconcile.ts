/**
 * Keeps a coordinator's account in step with what holders say, and with what
 * targets say of work whose holder is gone.
 */

import {
  PeerMessageKind,
  type PeerMessageOf,
  type RunningWork,
} from "@chestnuthatch/wire/peer_messages";
import type { TargetLoad } from "@chestnuthatch/wire/work";
import type {
  Blackboard,
  GrantAccount,
  HolderSeen,
  Shard,
} from "./blackboard.ts";
import { isAlive } from "./coordinators.ts";
import { closeGrant, preemptGrant } from "./grant_account.ts";
import { HOLDER_BEAT_MS } from "./holder_report.ts";
import { removeWaiting } from "./shard_queue.ts";
import type { ShardView } from "./shard_view.ts";

/** Beats beyond a grant's lifetime before an unlisted grant is taken back. */
const MARGIN_BEATS = 2;

/** How long after its expected end the work of a gone holder is kept. */
const ORPHAN_MARGIN_MS = 10_000;

/** How long closed work is left out of `AsksUnknown`: its answer is under way. */
const CLOSED_GRACE_MS = 1000;

/** Who sent a message, and its beat where it carried one. */
export interface HolderWord {
  readonly holderId: string;
  readonly incarnation: number;
  readonly beat?: number;
}

type HolderReport = PeerMessageOf<PeerMessageKind.HolderReport>;

/**
 * Notes that a holder was heard.
 *
 * @param shard The shard.
 * @param word Who was heard.
 * @param nowMs The local time.
 * @returns What is known of it; undefined where the word is of an incarnation
 * that has been replaced.
 */
export function hearHolder(
  shard: Shard,
  word: HolderWord,
  nowMs: number,
): HolderSeen | undefined {
  const known = shard.holders.get(word.holderId);
  if (known !== undefined && known.incarnation > word.incarnation) {
    return undefined;
  }
  if (known === undefined || known.incarnation < word.incarnation) {
    const seen = {
      incarnation: word.incarnation,
      beat: word.beat ?? 0,
      beatHeardAtMs: nowMs,
      reportBeat: -1,
    };
    shard.holders.set(word.holderId, seen);
    dropHolder(shard, { ...word, nowMs });
    return seen;
  }
  if (word.beat !== undefined && word.beat > known.beat) {
    known.beat = word.beat;
    known.beatHeardAtMs = nowMs;
  }
  return known;
}

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
  if (seen === undefined || report.holderBeat < seen.reportBeat) {
    return;
  }
  seen.reportBeat = report.holderBeat;
  renewAsks(view, report, word);
  for (const work of report.running) {
    noteRunning(view, work, { ...word, beat: report.holderBeat });
  }
  freeUnlisted(view, report, word);
}

/**
 * Drops the asks of holders that are gone, and asks not renewed for long.
 *
 * @param view The shard.
 */
export function dropGone(view: ShardView): void {
  const { shard, nowMs, turn, settings } = view;
  for (const [holderId, seen] of [...shard.holders]) {
    if (isGone(turn.board, { holderId, seen, nowMs })) {
      shard.holders.delete(holderId);
      dropHolder(shard, {
        holderId,
        incarnation: seen.incarnation + 1,
        nowMs,
      });
    }
  }
  for (const ask of [...shard.waiting.values()]) {
    if (nowMs - ask.renewedAtMs > settings.timing.askExpiryMs) {
      removeWaiting(shard, ask.detail.requestId);
    }
  }
  for (const grant of [...shard.grants.values()]) {
    if (
      grant.orphanedAtMs !== undefined &&
      nowMs > Math.max(grant.expectedEndMs, grant.orphanedAtMs) +
          ORPHAN_MARGIN_MS
    ) {
      closeGrant(shard, grant, { nowMs, kvTokens: 0 });
    }
  }
}

/**
 * Frees work of gone holders that two reports of its target in a row no longer
 * show.
 *
 * @param view The shard.
 * @param load A new report of one of its targets.
 */
export function reconcileOrphans(view: ShardView, load: TargetLoad): void {
  const { shard, nowMs } = view;
  const room = view.rooms.find((each) => each.targetId === load.targetId);
  const asOfMs = room?.target?.loadAsOfMs ?? nowMs;
  const grants = [...shard.grants.values()].filter((grant) =>
    grant.work.targetId === load.targetId && grant.usedAtMs <= asOfMs
  );
  const excess = Math.max(
    0,
    grants.length - load.slotsUsed - load.waitingRequests,
  );
  const before = shard.excessByTarget.get(load.targetId) ?? 0;
  shard.excessByTarget.set(load.targetId, excess);
  grants
    .filter((grant) => (grant.orphanedAtMs ?? Infinity) <= asOfMs)
    .sort((a, b) => a.expectedEndMs - b.expectedEndMs)
    .slice(0, Math.min(excess, before))
    .forEach((grant) => closeGrant(shard, grant, { nowMs, kvTokens: 0 }));
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
  const closed = view.shard.closed.get(id);
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
  grant.listedBeat = word.beat;
  grant.orphanedAtMs = undefined;
  grant.usedAtMs = Math.min(grant.usedAtMs, nowMs);
  grant.used = true;
  if (grant.preempted) {
    // The first order may have been lost; a second does no harm.
    preemptGrant(view, grant);
  }
}

/** Takes work into the account that another coordinator granted. */
function adopt(
  view: ShardView,
  work: RunningWork,
  word: Required<HolderWord>,
): GrantAccount | undefined {
  const { shard, nowMs } = view;
  if (shard.closed.has(work.grantId)) {
    return undefined;
  }
  const room = view.rooms.find((each) => each.targetId === work.targetId);
  const maxOutputTokens = Math.max(
    work.expectedOutputTokens,
    view.policyOf(work).maxOutputTokens,
  );
  const detail = { ...ADOPTED_ASK, ...work, maxOutputTokens };
  const serviceMs = room === undefined ? 0 : view.predict(room, detail).totalMs;
  const grant: GrantAccount = {
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
    listedBeat: word.beat,
    costMs: 0,
    prefillQueueMs: 0,
    prefillEndMs: nowMs,
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
    const { listedBeat, holderBeat } = grant;
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

/** Forgets the asks of a holder's earlier incarnations, and orphans its work. */
function dropHolder(
  shard: Shard,
  holder: { holderId: string; incarnation: number; nowMs: number },
): void {
  const isOld = (owner: { holderId: string; holderIncarnation: number }) =>
    owner.holderId === holder.holderId &&
    owner.holderIncarnation < holder.incarnation;
  for (const ask of [...shard.waiting.values()]) {
    if (isOld(ask)) {
      removeWaiting(shard, ask.detail.requestId);
    }
  }
  for (const grant of shard.grants.values()) {
    if (isOld(grant)) {
      grant.orphanedAtMs ??= holder.nowMs;
    }
  }
}

function isGone(
  board: Blackboard,
  holder: { holderId: string; seen: HolderSeen; nowMs: number },
): boolean {
  const { holderId, seen, nowMs } = holder;
  const member = board.members.byId.get(holderId);
  if (member !== undefined && member.incarnation > seen.incarnation) {
    return true;
  }
  const timeoutMs = board.settings.inForce?.timing.memberTimeoutMs ?? Infinity;
  const isSilent = nowMs - seen.beatHeardAtMs > timeoutMs;
  return isSilent && (member === undefined || !isAlive(board, member, nowMs));
}
