/** The holder's asks: where they go, when they move, when they have failed. */

import {
  type PeerMessageKind,
  type PeerMessageOf,
} from "@chestnuthatch/wire/peer_messages";
import { ErrorKind } from "@chestnuthatch/wire/shared_types";
import { domainsOf, newAsk, sendAsk, withdrawAsk } from "./ask_messages.ts";
import { refuseForAsks } from "./ask_refusals.ts";
import {
  AskState,
  type HeldRequest,
  type Member,
  type OutAsk,
  shardKey,
} from "./blackboard.ts";
import type { Turn } from "./controller.ts";
import { rankCoordinators } from "./coordinators.ts";
import { CounterName } from "./effects.ts";
import { noteStep } from "./refusals.ts";
import { RequestState } from "./request.ts";
import { FLOOR_MS } from "./shed_floor.ts";

/** A predicted wait above this sends the ask to the other domains too. */
const SPREAD_WAIT_MS = 20;
/** A wait above this does, whatever was predicted. */
const SPREAD_AFTER_MS = 100;

/** Refusals of several domains count together while none is older. */
const FRESH_REFUSAL_MS = FLOOR_MS * 0.75;

/**
 * Begins to ask for a place: at the nearest domain that has the pool.
 *
 * @param turn The turn it happens in.
 * @param request A request in the Waiting state.
 */
export function startAsking(turn: Turn, request: HeldRequest): void {
  request.askViewNumber = turn.board.members.viewNumber;
  request.waitingSinceMs = turn.nowMs;
  const [nearest] = domainsOf(turn, request);
  if (nearest === undefined) {
    refuseForAsks(turn, request);
    return;
  }
  askDomain(turn, request, nearest);
}

/**
 * Asks one domain's coordinator, or its stand-in when it was silent.
 *
 * @param turn The turn it happens in.
 * @param request A request in the Waiting state.
 * @param failureDomain The domain whose targets are asked for.
 */
export function askDomain(
  turn: Turn,
  request: HeldRequest,
  failureDomain: string,
): void {
  const ask = request.asks.get(failureDomain) ?? newAsk(failureDomain);
  request.asks.set(failureDomain, ask);
  const coordinator = pickCoordinator(turn, request, ask);
  if (coordinator === undefined) {
    ask.state = AskState.Refused;
    ask.refusal = {
      error: ErrorKind.NoTarget,
      retryAfterMs: request.policy.retryAfterMs,
      reason: "no live coordinator",
      atMs: turn.nowMs,
    };
    return;
  }
  request.askNumber += 1;
  ask.coordinatorId = coordinator.instanceId;
  ask.coordinatorIncarnation = coordinator.incarnation;
  ask.askNumber = request.askNumber;
  ask.sentAtMs = turn.nowMs;
  ask.state = AskState.Sent;
  ask.refusal = undefined;
  sendAsk(turn, request, ask);
}

/**
 * Looks after a waiting request's asks: silence, changed views, refusals.
 *
 * @param turn The turn of a tick.
 * @param request A request in the Waiting state.
 */
export function tendAsks(turn: Turn, request: HeldRequest): void {
  const { board } = turn;
  const timeoutMs = board.settings.inForce!.timing.askTimeoutMs;
  const viewChanged = request.askViewNumber !== board.members.viewNumber;
  request.askViewNumber = board.members.viewNumber;
  for (const ask of [...request.asks.values()]) {
    if (
      ask.state === AskState.Sent && turn.nowMs - ask.sentAtMs >= timeoutMs
    ) {
      moveSilentAsk(turn, request, ask);
    } else if (viewChanged && ask.state !== AskState.Refused) {
      moveToRightfulCoordinator(turn, request, ask);
    }
  }
  if (turn.nowMs - request.waitingSinceMs >= SPREAD_AFTER_MS) {
    askEverywhere(turn, request);
  }
  refuseWhenAllRefused(turn, request);
}

/**
 * Handles a coordinator's word that the ask waits in its queue.
 *
 * @param message What it said.
 * @param turn The turn it happens in.
 */
export function onAskQueued(
  message: PeerMessageOf<PeerMessageKind.AskQueued>,
  turn: Turn,
): void {
  const found = currentAsk(turn, message);
  if (found === undefined) {
    return;
  }
  found.ask.state = AskState.Queued;
  if (message.predictedWaitMs > SPREAD_WAIT_MS) {
    askEverywhere(turn, found.request);
  }
}

/**
 * Handles a coordinator's refusal of an ask.
 *
 * @param message What it said.
 * @param turn The turn it happens in.
 */
export function onAskRefused(
  message: PeerMessageOf<PeerMessageKind.AskRefused>,
  turn: Turn,
): void {
  const found = currentAsk(turn, message);
  if (found === undefined) {
    return;
  }
  const { ask, request } = found;
  ask.state = AskState.Refused;
  ask.refusal = {
    error: message.error,
    retryAfterMs: message.retryAfterMs,
    reason: message.reason,
    atMs: turn.nowMs,
  };
  noteStep(
    turn,
    request,
    `${ask.coordinatorId} refused for ${ask.failureDomain}: ${message.reason}`,
  );
  askEverywhere(turn, request);
  refuseWhenAllRefused(turn, request);
}

/**
 * Handles a coordinator's word that it does not know asks we think it holds.
 *
 * @param message What it said.
 * @param turn The turn it happens in.
 */
export function onAsksUnknown(
  message: PeerMessageOf<PeerMessageKind.AsksUnknown>,
  turn: Turn,
): void {
  for (const requestId of message.requestIds) {
    const request = turn.board.requests.byId.get(requestId);
    const ask = request?.asks.get(message.failureDomain);
    if (
      request?.state === RequestState.Waiting && ask !== undefined &&
      ask.state !== AskState.Refused
    ) {
      askDomain(turn, request, message.failureDomain);
    }
  }
}

function askEverywhere(turn: Turn, request: HeldRequest): void {
  for (const domain of domainsOf(turn, request)) {
    if (!request.asks.has(domain)) {
      askDomain(turn, request, domain);
    }
  }
}

function moveSilentAsk(turn: Turn, request: HeldRequest, ask: OutAsk): void {
  turn.count(CounterName.AskTimeouts);
  noteStep(
    turn,
    request,
    `${ask.coordinatorId} was silent for ${ask.failureDomain}, asking the next`,
  );
  withdrawAsk(turn, request, ask);
  ask.silentIds.add(ask.coordinatorId);
  askDomain(turn, request, ask.failureDomain);
  askEverywhere(turn, request);
}

function moveToRightfulCoordinator(
  turn: Turn,
  request: HeldRequest,
  ask: OutAsk,
): void {
  const rightful = pickCoordinator(turn, request, ask);
  if (
    rightful === undefined ||
    (rightful.instanceId === ask.coordinatorId &&
      rightful.incarnation === ask.coordinatorIncarnation)
  ) {
    return;
  }
  withdrawAsk(turn, request, ask);
  askDomain(turn, request, ask.failureDomain);
}

function refuseWhenAllRefused(turn: Turn, request: HeldRequest): void {
  const everyDomainRefused = domainsOf(turn, request).every((domain) =>
    request.asks.get(domain)?.state === AskState.Refused
  );
  if (request.state !== RequestState.Waiting || !everyDomainRefused) {
    return;
  }
  const old = [...request.asks.values()].filter((ask) =>
    isOldOverload(turn, ask)
  );
  if (old.length === 0 || request.deadlineAtMs <= turn.nowMs) {
    refuseForAsks(turn, request);
    return;
  }
  for (const ask of old) {
    askDomain(turn, request, ask.failureDomain);
  }
}

/** A refusal after which that domain may have begun to serve lower tiers. */
function isOldOverload(turn: Turn, { refusal }: OutAsk): boolean {
  return refusal?.error === ErrorKind.Overloaded &&
    turn.nowMs - refusal.atMs > FRESH_REFUSAL_MS;
}

function currentAsk(
  turn: Turn,
  message: { requestId: string; failureDomain: string; askNumber: number },
): { request: HeldRequest; ask: OutAsk } | undefined {
  const request = turn.board.requests.byId.get(message.requestId);
  const ask = request?.asks.get(message.failureDomain);
  if (
    request?.state !== RequestState.Waiting ||
    ask?.askNumber !== message.askNumber
  ) {
    return undefined;
  }
  return { request, ask };
}

function pickCoordinator(
  turn: Turn,
  request: HeldRequest,
  ask: OutAsk,
): Member | undefined {
  const { failureDomain } = ask;
  const key = shardKey(request.spec.pool, failureDomain);
  const ranked = rankCoordinators(
    turn.board,
    { key, failureDomain },
    turn.nowMs,
  );
  const answering = ranked.find((member) =>
    !ask.silentIds.has(member.instanceId)
  );
  if (answering === undefined) {
    ask.silentIds.clear();
  }
  return answering ?? ranked[0];
}
