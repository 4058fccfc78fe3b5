/** Handling of the asks that a coordinator receives. */

import {
  type AskDetail,
  PeerMessageKind,
} from "@chestnuthatch/wire/peer_messages";
import type { GrantRecord, WaitingAsk } from "./blackboard.ts";
import { cancelGrant, sendGrant } from "./grant_lifecycle.ts";
import { type HolderSender, recordHolder } from "./holder_presence.ts";
import { placeWaiting } from "./placement.ts";
import { enqueueAsk, queuesOfTier } from "./shard_queue.ts";
import { ShardView } from "./shard_view.ts";
import { refuseOverloaded } from "./overload_refusal.ts";
import { floorTierOf } from "./shed_floor.ts";
import { refuseOnArrival, refuseUnservable } from "./shedding.ts";
import { estimateWaitMs, NO_WORK } from "./wait_estimate.ts";

/**
 * Handles an ask: grants, queues or refuses it, or resends the grant that its
 * request already has. Asks that are older than the request's latest one are
 * ignored.
 *
 * @param view The shard that is asked.
 * @param detail The ask, as its holder sent it.
 * @param sender The holder that sent the ask, with its beat counter.
 */
export function handleAsk(
  view: ShardView,
  detail: AskDetail,
  sender: HolderSender,
): void {
  const { shard } = view;
  if (recordHolder(shard, sender, view.nowMs) === undefined) {
    return;
  }
  const waiting = shard.waiting.get(detail.requestId);
  const lastAskNumber = waiting?.detail.askNumber ??
    shard.tombstones.get(detail.requestId)?.askNumber ?? -1;
  const grant = [...shard.grants.values()]
    .find((each) => each.requestId === detail.requestId);
  const isStale = detail.askNumber < lastAskNumber ||
    (detail.askNumber === lastAskNumber && waiting === undefined && !grant);
  if (isStale || answerFromGrant(view, grant, { detail, lastAskNumber })) {
    return;
  }
  const currentView = new ShardView(shard, view.settings, view.turn);
  admitAsk(currentView, { detail, sender, waiting });
}

/**
 * Answers an ask of a request that already has a grant: resends the grant while
 * it is not known to be used. A newer ask that excludes the grant's target, or
 * that arrives after the grant was used, means that the grant is void; then the
 * grant is cancelled and the ask is handled as a new one.
 */
function answerFromGrant(
  view: ShardView,
  grant: GrantRecord | undefined,
  ask: { detail: AskDetail; lastAskNumber: number },
): boolean {
  if (grant === undefined) {
    return false;
  }
  const { detail } = ask;
  const isVoid = detail.excludedTargetIds.includes(grant.work.targetId) ||
    grant.used;
  if (isVoid && detail.askNumber > ask.lastAskNumber) {
    cancelGrant(view, grant);
    return false;
  }
  if (!grant.used) {
    const beat = view.shard.holders.get(grant.holderId)?.beat;
    const renewed = { ...grant, holderBeat: beat ?? grant.holderBeat };
    view.shard.grants.set(grant.grantId, renewed);
    view.shard.tombstones.set(detail.requestId, {
      askNumber: detail.askNumber,
      closedAtMs: view.nowMs,
    });
    sendGrant(view, renewed, { askNumber: detail.askNumber, passedOver: [] });
  }
  return true;
}

/** Refuses an ask, or queues it and places all waiting asks that fit. */
function admitAsk(
  view: ShardView,
  received: { detail: AskDetail; sender: HolderSender; waiting?: WaitingAsk },
): void {
  const { detail, sender, waiting } = received;
  const { idleMs, loadedMs, prefillMs } = view.estimateService(detail);
  const ask: WaitingAsk = {
    holderId: sender.holderId,
    holderIncarnation: sender.incarnation,
    holderBeat: sender.holderBeat ?? 0,
    detail,
    arrivedAtMs: waiting?.arrivedAtMs ?? view.nowMs,
    deadlineAtMs: view.nowMs + detail.timeLeftMs,
    renewedAtMs: view.nowMs,
    idleServiceMs: Number.isFinite(idleMs) ? idleMs : 0,
    costMs: Number.isFinite(loadedMs) ? loadedMs : 0,
    prefillMs,
    kvTokens: view.kvTokensOf(detail),
    reservation: waiting?.reservation,
    lastPreemptionAtMs: waiting?.lastPreemptionAtMs,
  };
  if (waiting === undefined && refuseUnservable(view, ask)) {
    return;
  }
  if (detail.tierRank > floorTierOf(view)) {
    refuseOverloaded(view, ask, "work of a higher tier is being shed");
    return;
  }
  enqueueAsk(view.shard, ask);
  placeWaiting(view);
  const isWaiting = view.shard.waiting.has(detail.requestId);
  if (isWaiting && (waiting !== undefined || !refuseOnArrival(view, ask))) {
    sendQueued(view, ask);
  }
}

function sendQueued(view: ShardView, ask: WaitingAsk): void {
  const { requestId, askNumber, tierRank, workspace } = ask.detail;
  const queue = queuesOfTier(view.shard, tierRank)
    .find((each) => each.workspace === workspace);
  const waitMs = estimateWaitMs(view, ask, queue ?? NO_WORK);
  const predictedWaitMs = Number.isFinite(waitMs) ? Math.round(waitMs) : 0;
  view.turn.send(ask.holderId, {
    kind: PeerMessageKind.AskQueued,
    failureDomain: view.shard.failureDomain,
    requestId,
    askNumber,
    predictedWaitMs,
  });
  view.turn.recordDecision(
    requestId,
    "coordinator",
    `Queued among ${view.shard.waiting.size}; wait of ${predictedWaitMs} ms predicted`,
  );
}
