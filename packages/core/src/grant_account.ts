/** Opens and closes grants in a coordinator's account, and answers asks. */

import { PeerMessageKind } from "@chestnuthatch/wire/peer_messages";
import type { ErrorKind } from "@chestnuthatch/wire/shared_types";
import type { GrantAccount, Shard, WaitingAsk } from "./blackboard.ts";
import { CounterName, LogLevel, LogPart } from "./effects.ts";
import { chargeWork, refundWork } from "./fair_share.ts";
import type { Placement } from "./target_choice.ts";
import { PrefixIndex } from "./prefix_index.ts";
import { removeWaiting } from "./shard_queue.ts";
import type { ShardView } from "./shard_view.ts";

const DECIDED_BY = "coordinator";

/** Ended work remembered for one target until its next report. */
const MAX_ENDED = 256;

/** Why an ask is refused. */
export interface AskRefusal {
  readonly error: ErrorKind;
  readonly retryAfterMs: number;
  readonly reason: string;
}

/**
 * Carries a placement out: takes the ask out of the queue, opens the grant
 * and sends it.
 *
 * @param view The shard.
 * @param placement The ask and the target chosen for it.
 * @returns The grant as it stands in the account.
 */
export function openGrant(view: ShardView, placement: Placement): GrantAccount {
  const { shard, turn } = view;
  const { ask, room, prediction } = placement;
  const { self, shards } = turn.board;
  closeAsk(view, ask);
  shards.grantCounter += 1;
  const grantId =
    `${self.instanceId}.${self.incarnation}.${shards.grantCounter}`;
  const grant = grantOf(view, placement, grantId);
  shard.grants.set(grantId, grant);
  chargeWork(shard, {
    ...ask.detail,
    costMs: ask.costMs,
    weight: view.policyOf(ask.detail).fairShareWeight,
  });
  shard.prefixes.get(room.targetId)?.store(ask.detail.blockHashes);
  sendGrant(view, grant, {
    askNumber: ask.detail.askNumber,
    passedOver: placement.passedOver,
  });
  turn.count(CounterName.GrantsGiven, { pool: shard.pool });
  turn.decide(
    ask.detail.requestId,
    DECIDED_BY,
    `Granted ${room.targetId} after ${
      Math.round(view.nowMs - ask.arrivedAtMs)
    }` +
      ` ms; end predicted in ${Math.round(prediction.totalMs)} ms`,
  );
  return grant;
}

function grantOf(
  view: ShardView,
  { ask, room, prediction }: Placement,
  grantId: string,
): GrantAccount {
  const { detail } = ask;
  return {
    grantId,
    requestId: detail.requestId,
    holderId: ask.holderId,
    holderIncarnation: ask.holderIncarnation,
    holderBeat: beatOf(view.shard, ask.holderId),
    work: {
      requestId: detail.requestId,
      grantId,
      targetId: room.targetId,
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
    listedBeat: -1,
    costMs: ask.costMs,
    prefillQueueMs: prediction.prefillQueueMs,
    prefillMs: prediction.prefillMs,
    promptRead: false,
    prefillGrantedMs: countPrefill(view, room.targetId, prediction.prefillMs),
    loadFactor: prediction.loadFactor,
  };
}

/** Adds to all the prompt work ever granted on a target; gives the sum. */
function countPrefill(
  view: ShardView,
  targetId: string,
  prefillMs: number,
): number {
  const { prefillGrantedMs } = view.shard;
  const sumMs = (prefillGrantedMs.get(targetId) ?? 0) + prefillMs;
  prefillGrantedMs.set(targetId, sumMs);
  return sumMs;
}

/**
 * Sends a grant, for the first time or again.
 *
 * @param view The shard.
 * @param grant The grant.
 * @param about The ask it answers, and the targets passed over.
 */
export function sendGrant(
  view: ShardView,
  grant: GrantAccount,
  about: { askNumber: number; passedOver: Placement["passedOver"] },
): void {
  view.turn.send(grant.holderId, {
    kind: PeerMessageKind.Grant,
    requestId: grant.requestId,
    grantId: grant.grantId,
    failureDomain: view.shard.failureDomain,
    askNumber: about.askNumber,
    targetId: grant.work.targetId,
    holderBeat: grant.holderBeat,
    lifetimeMs: view.settings.timing.grantLifetimeMs,
    passedOver: [...about.passedOver],
  });
}

/**
 * Closes a grant whose work ended or will not come.
 *
 * @param shard The shard.
 * @param grant The grant.
 * @param end The local time, and the KV memory certainly given back.
 */
export function closeGrant(
  shard: Shard,
  grant: GrantAccount,
  end: { nowMs: number; kvTokens: number },
): void {
  shard.grants.delete(grant.grantId);
  shard.closed.set(grant.grantId, { askNumber: 0, closedAtMs: end.nowMs });
  const { targetId } = grant.work;
  const ended = shard.ended.get(targetId) ?? [];
  ended.push({
    usedAtMs: grant.usedAtMs,
    endedAtMs: end.nowMs,
    kvTokens: end.kvTokens,
  });
  shard.ended.set(targetId, ended.slice(-MAX_ENDED));
}

/**
 * Closes a grant that was not used, and takes its charge back.
 *
 * @param view The shard.
 * @param grant The grant.
 */
export function cancelGrant(view: ShardView, grant: GrantAccount): void {
  // The target never had the work, so no report has shown it.
  grant.usedAtMs = Infinity;
  closeGrant(view.shard, grant, { nowMs: view.nowMs, kvTokens: 0 });
  refundWork(view.shard, {
    ...grant.work,
    costMs: grant.costMs,
    weight: view.policyOf(grant.work).fairShareWeight,
  });
}

/**
 * Tells a holder to cancel a running stream.
 *
 * @param view The shard.
 * @param grant The grant it runs under.
 * @param forWhom Who needs the room, in words.
 */
export function preemptGrant(
  view: ShardView,
  grant: GrantAccount,
  forWhom: string,
): void {
  const { requestId, grantId } = grant;
  grant.preempted = true;
  view.turn.send(grant.holderId, {
    kind: PeerMessageKind.Preempt,
    requestId,
    grantId,
  });
  view.turn.decide(
    requestId,
    DECIDED_BY,
    `Cancelled to make room for ${forWhom}`,
  );
}

/**
 * Refuses an ask.
 *
 * @param view The shard.
 * @param ask The ask, waiting or just come.
 * @param refusal Why, and when to come back.
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
  view.turn.decide(requestId, DECIDED_BY, `Refused: ${refusal.reason}`);
  view.turn.log(
    LogLevel.Debug,
    LogPart.Coordinator,
    `Refused ${requestId} (${refusal.error}): ${refusal.reason}.`,
  );
}

/**
 * Takes an ask out of the queue and remembers it against late copies.
 *
 * @param view The shard.
 * @param ask The ask.
 */
export function closeAsk(view: ShardView, ask: WaitingAsk): void {
  const { requestId, askNumber } = ask.detail;
  removeWaiting(view.shard, requestId);
  view.shard.closed.set(requestId, { askNumber, closedAtMs: view.nowMs });
}

/**
 * Makes the prefix index of a target, where it has none.
 *
 * @param shard The shard.
 * @param targetId The target.
 * @returns The index.
 */
export function prefixIndexOf(shard: Shard, targetId: string): PrefixIndex {
  const index = shard.prefixes.get(targetId) ?? new PrefixIndex();
  shard.prefixes.set(targetId, index);
  return index;
}

function beatOf(shard: Shard, holderId: string): number {
  return shard.holders.get(holderId)?.beat ?? 0;
}
