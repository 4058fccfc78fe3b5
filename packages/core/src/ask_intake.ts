/** What a coordinator does with an ask that comes in. */

import {
  type AskDetail,
  PeerMessageKind,
} from "@chestnuthatch/wire/peer_messages";
import type { GrantAccount, WaitingAsk } from "./blackboard.ts";
import { cancelGrant, sendGrant } from "./grant_account.ts";
import { type HolderSender, recordHolder } from "./holder_presence.ts";
import { placeWaiting } from "./placement.ts";
import { addWaiting, lanesOfTier } from "./shard_queue.ts";
import { ShardView } from "./shard_view.ts";
import { refuseOverloaded } from "./overload_refusal.ts";
import { floorOf } from "./shed_floor.ts";
import { refuseAtDoor, refuseUnservable } from "./shedding.ts";
import { estimateWaitMs, NO_WORK } from "./wait_estimate.ts";

/**
 * Takes in an ask: grants, queues or refuses it, or answers it from a grant.
 *
 * @param view The shard it is for.
 * @param detail What is asked.
 * @param from The holder.
 */
export function onAsk(
  view: ShardView,
  detail: AskDetail,
  from: HolderSender,
): void {
  const { shard } = view;
  if (recordHolder(shard, from, view.nowMs) === undefined) {
    return;
  }
  const waiting = shard.waiting.get(detail.requestId);
  const lastNumber = waiting?.detail.askNumber ??
    shard.closed.get(detail.requestId)?.askNumber ?? -1;
  const grant = [...shard.grants.values()]
    .find((each) => each.requestId === detail.requestId);
  const isLate = detail.askNumber < lastNumber ||
    (detail.askNumber === lastNumber && waiting === undefined && !grant);
  if (isLate || answerFromGrant(view, grant, { detail, lastNumber })) {
    return;
  }
  const current = new ShardView(shard, view.settings, view.turn);
  enqueue(current, { detail, from, waiting });
}

/**
 * Answers an ask of a request that is granted already: with the same grant
 * while it is not known to be used. An ask that excludes the grant's target,
 * or comes after its use, tells that the grant is void.
 */
function answerFromGrant(
  view: ShardView,
  grant: GrantAccount | undefined,
  ask: { detail: AskDetail; lastNumber: number },
): boolean {
  if (grant === undefined) {
    return false;
  }
  const { detail } = ask;
  const isVoid = detail.excludedTargetIds.includes(grant.work.targetId) ||
    grant.used;
  if (isVoid && detail.askNumber > ask.lastNumber) {
    cancelGrant(view, grant);
    return false;
  }
  if (!grant.used) {
    const beat = view.shard.holders.get(grant.holderId)?.beat;
    const renewed = { ...grant, holderBeat: beat ?? grant.holderBeat };
    view.shard.grants.set(grant.grantId, renewed);
    view.shard.closed.set(detail.requestId, {
      askNumber: detail.askNumber,
      closedAtMs: view.nowMs,
    });
    sendGrant(view, renewed, { askNumber: detail.askNumber, passedOver: [] });
  }
  return true;
}

function enqueue(
  view: ShardView,
  came: { detail: AskDetail; from: HolderSender; waiting?: WaitingAsk },
): void {
  const { detail, from, waiting } = came;
  const { idleMs, loadedMs, prefillMs } = view.outlook(detail);
  const ask: WaitingAsk = {
    holderId: from.holderId,
    holderIncarnation: from.incarnation,
    holderBeat: from.holderBeat ?? 0,
    detail,
    arrivedAtMs: waiting?.arrivedAtMs ?? view.nowMs,
    deadlineAtMs: view.nowMs + detail.timeLeftMs,
    renewedAtMs: view.nowMs,
    idleServiceMs: Number.isFinite(idleMs) ? idleMs : 0,
    costMs: Number.isFinite(loadedMs) ? loadedMs : 0,
    prefillMs,
    kvTokens: view.kvTokensOf(detail),
    reservation: waiting?.reservation,
    preemptedForAtMs: waiting?.preemptedForAtMs,
  };
  if (waiting === undefined && refuseUnservable(view, ask)) {
    return;
  }
  if (detail.tierRank > floorOf(view)) {
    refuseOverloaded(view, ask, "work of a higher tier is being shed");
    return;
  }
  addWaiting(view.shard, ask);
  placeWaiting(view);
  const isWaiting = view.shard.waiting.has(detail.requestId);
  if (isWaiting && (waiting !== undefined || !refuseAtDoor(view, ask))) {
    sendQueued(view, ask);
  }
}

function sendQueued(view: ShardView, ask: WaitingAsk): void {
  const { requestId, askNumber, tierRank, workspace } = ask.detail;
  const lane = lanesOfTier(view.shard, tierRank)
    .find((each) => each.workspace === workspace);
  const waitMs = estimateWaitMs(view, ask, lane ?? NO_WORK);
  const predictedWaitMs = Number.isFinite(waitMs) ? Math.round(waitMs) : 0;
  view.turn.send(ask.holderId, {
    kind: PeerMessageKind.AskQueued,
    failureDomain: view.shard.failureDomain,
    requestId,
    askNumber,
    predictedWaitMs,
  });
  view.turn.decide(
    requestId,
    "coordinator",
    `Queued among ${view.shard.waiting.size}; wait of ${predictedWaitMs} ms predicted`,
  );
}
