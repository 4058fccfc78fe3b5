/**
 * Opening, closing and cancelling of grants, and refusals of asks. A grant is a
 * coordinator's lease of capacity on one target for one request.
 */

import { PeerMessageKind } from "@chestnuthatch/wire/peer_messages";
import type { ErrorKind } from "@chestnuthatch/wire/shared_types";
import type { GrantRecord, Shard, WaitingAsk } from "./blackboard.ts";
import { CounterName, LogLevel, LogPart } from "./effects.ts";
import { chargeWork, refundWork } from "./fair_share.ts";
import type { Placement } from "./target_choice.ts";
import { PrefixIndex } from "./prefix_index.ts";
import { dequeueAsk } from "./shard_queue.ts";
import type { ShardView } from "./shard_view.ts";

/** Author of the coordinator's entries in the decision log. */
const DECIDED_BY = "coordinator";

/** Ended work kept for one target until its next load report. */
const MAX_ENDED_PER_TARGET = 256;

/** The refusal of an ask, as its holder receives it. */
export interface AskRefusal {
  readonly error: ErrorKind;
  /** Time after which the caller may try again. */
  readonly retryAfterMs: number;
  /** Explanation for the caller. */
  readonly reason: string;
}

/**
 * Executes a placement: removes the ask from the queue, records a grant for it,
 * charges its cost to the workspace's fair share, and sends the grant to the
 * holder.
 *
 * @param view The shard that the ask waits in.
 * @param placement The ask and the target chosen for it.
 * @returns The recorded grant.
 */
export function openGrant(view: ShardView, placement: Placement): GrantRecord {
  const { shard, turn } = view;
  const { ask, capacity, prediction } = placement;
  const { self, shards } = turn.board;
  closeAsk(view, ask);
  shards.grantCounter += 1;
  const grantId =
    `${self.instanceId}.${self.incarnation}.${shards.grantCounter}`;
  const grant = createGrant(view, placement, grantId);
  shard.grants.set(grantId, grant);
  chargeWork(shard, {
    ...ask.detail,
    costMs: ask.costMs,
    weight: view.policyOf(ask.detail).fairShareWeight,
  });
  shard.prefixIndexes.get(capacity.targetId)?.store(ask.detail.blockHashes);
  sendGrant(view, grant, {
    askNumber: ask.detail.askNumber,
    passedOver: placement.passedOver,
  });
  turn.count(CounterName.GrantsGiven, { pool: shard.pool });
  turn.recordDecision(
    ask.detail.requestId,
    DECIDED_BY,
    `Granted ${capacity.targetId} after ${
      Math.round(view.nowMs - ask.arrivedAtMs)
    }` +
      ` ms; end predicted in ${Math.round(prediction.totalMs)} ms`,
  );
  return grant;
}

function createGrant(
  view: ShardView,
  { ask, capacity, prediction }: Placement,
  grantId: string,
): GrantRecord {
  const { detail } = ask;
  return {
    grantId,
    requestId: detail.requestId,
    holderId: ask.holderId,
    holderIncarnation: ask.holderIncarnation,
    holderBeat: holderBeatOf(view.shard, ask.holderId),
    work: {
      requestId: detail.requestId,
      grantId,
      targetId: capacity.targetId,
      pool: detail.pool,
      workspace: detail.workspace,
      tierRank: detail.tierRank,
      promptTokens: detail.promptTokens,
      expectedOutputTokens: detail.expectedOutputTokens,
      maxOutputTokens: detail.maxOutputTokens,
      cancellable: detail.cancellable,
    },
    kvTokens: ask.kvTokens,
    grantedAtMs: view.nowMs,
    expectedEndMs: view.nowMs + prediction.totalMs,
    used: false,
    preempted: false,
    usedAtMs: Infinity,
    lastReportedBeat: -1,
    costMs: ask.costMs,
    prefillQueueMs: prediction.prefillQueueMs,
    prefillMs: prediction.prefillMs,
    promptRead: false,
    cumulativePrefillMs: addGrantedPrefill(
      view,
      capacity.targetId,
      prediction.prefillMs,
    ),
    loadFactor: prediction.loadFactor,
  };
}

/** Adds a prompt to the total prefill time granted on a target; returns it. */
function addGrantedPrefill(
  view: ShardView,
  targetId: string,
  prefillMs: number,
): number {
  const { cumulativePrefillMs: prefillGrantedMs } = view.shard;
  const sumMs = (prefillGrantedMs.get(targetId) ?? 0) + prefillMs;
  prefillGrantedMs.set(targetId, sumMs);
  return sumMs;
}

/**
 * Sends a grant to its holder, for the first time or again.
 *
 * @param view The shard that the grant belongs to.
 * @param grant The grant to send.
 * @param answered Number of the ask that the grant answers, and the targets
 * that were passed over for it.
 */
export function sendGrant(
  view: ShardView,
  grant: GrantRecord,
  answered: { askNumber: number; passedOver: Placement["passedOver"] },
): void {
  view.turn.send(grant.holderId, {
    kind: PeerMessageKind.Grant,
    requestId: grant.requestId,
    grantId: grant.grantId,
    failureDomain: view.shard.failureDomain,
    askNumber: answered.askNumber,
    targetId: grant.work.targetId,
    holderBeat: grant.holderBeat,
    lifetimeMs: view.settings.timing.grantLifetimeMs,
    passedOver: [...answered.passedOver],
  });
}

/**
 * Closes a grant whose work has ended or will not be dispatched, and keeps the
 * ended work until a load report made after its end arrives.
 *
 * @param shard The shard that the grant belongs to.
 * @param grant The grant to close.
 * @param end The local time in milliseconds, and the KV memory that has surely
 * been freed, in tokens.
 */
export function closeGrant(
  shard: Shard,
  grant: GrantRecord,
  end: { nowMs: number; kvTokens: number },
): void {
  shard.grants.delete(grant.grantId);
  shard.tombstones.set(grant.grantId, { askNumber: 0, closedAtMs: end.nowMs });
  const { targetId } = grant.work;
  const ended = shard.endedWork.get(targetId) ?? [];
  ended.push({
    usedAtMs: grant.usedAtMs,
    endedAtMs: end.nowMs,
    kvTokens: end.kvTokens,
  });
  shard.endedWork.set(targetId, ended.slice(-MAX_ENDED_PER_TARGET));
}

/**
 * Closes a grant that was not used, and refunds its charge to the fair share.
 *
 * @param view The shard that the grant belongs to.
 * @param grant The grant to cancel.
 */
export function cancelGrant(view: ShardView, grant: GrantRecord): void {
  // The work was never dispatched, so no load report includes it.
  grant.usedAtMs = Infinity;
  closeGrant(view.shard, grant, { nowMs: view.nowMs, kvTokens: 0 });
  refundWork(view.shard, {
    ...grant.work,
    costMs: grant.costMs,
    weight: view.policyOf(grant.work).fairShareWeight,
  });
}

/**
 * Marks a running stream as preempted, and orders its holder to cancel it.
 *
 * @param view The shard that the grant belongs to.
 * @param grant The grant of the stream.
 * @param preemptor Description of the work that needs the capacity, for the
 * decision log.
 */
export function preemptGrant(
  view: ShardView,
  grant: GrantRecord,
  preemptor: string,
): void {
  const { requestId, grantId } = grant;
  grant.preempted = true;
  view.turn.send(grant.holderId, {
    kind: PeerMessageKind.Preempt,
    requestId,
    grantId,
  });
  view.turn.recordDecision(
    requestId,
    DECIDED_BY,
    `Cancelled to make room for ${preemptor}`,
  );
}

/**
 * Refuses an ask, and removes it from the queue if it waits there.
 *
 * @param view The shard that was asked.
 * @param ask The ask to refuse; it need not be queued yet.
 * @param refusal The refusal to send to the ask's holder.
 */
export function refuseAsk(
  view: ShardView,
  ask: WaitingAsk,
  refusal: AskRefusal,
): void {
  const { requestId, askNumber } = ask.detail;
  closeAsk(view, ask);
  view.turn.send(ask.holderId, {
    kind: PeerMessageKind.AskRefused,
    failureDomain: view.shard.failureDomain,
    requestId,
    askNumber,
    ...refusal,
  });
  view.turn.recordDecision(requestId, DECIDED_BY, `Refused: ${refusal.reason}`);
  view.turn.log(
    LogLevel.Debug,
    LogPart.Coordinator,
    `Refused ${requestId} (${refusal.error}): ${refusal.reason}.`,
  );
}

/**
 * Removes an ask from the queue, and records its number so that late copies of
 * it are recognized.
 *
 * @param view The shard that was asked.
 * @param ask The ask to close.
 */
export function closeAsk(view: ShardView, ask: WaitingAsk): void {
  const { requestId, askNumber } = ask.detail;
  dequeueAsk(view.shard, requestId);
  view.shard.tombstones.set(requestId, { askNumber, closedAtMs: view.nowMs });
}

/**
 * Returns the prefix index of a target, and creates it where there is none.
 *
 * @param shard The shard that the target belongs to.
 * @param targetId Id of the target.
 * @returns The index of the target's cached prompt blocks.
 */
export function ensurePrefixIndex(shard: Shard, targetId: string): PrefixIndex {
  const index = shard.prefixIndexes.get(targetId) ?? new PrefixIndex();
  shard.prefixIndexes.set(targetId, index);
  return index;
}

function holderBeatOf(shard: Shard, holderId: string): number {
  return shard.holders.get(holderId)?.beat ?? 0;
}
