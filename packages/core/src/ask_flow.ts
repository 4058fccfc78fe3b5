/**
 * The asks of waiting requests: which coordinators they are sent to, when they
 * move to another coordinator, and when a request is refused because all
 * domains refused it.
 */

import {
  type PeerMessageKind,
  type PeerMessageOf,
} from "@chestnuthatch/wire/peer_messages";
import { ErrorKind } from "@chestnuthatch/wire/shared_types";
import {
  createOutgoingAsk,
  getCandidateDomains,
  sendAsk,
  withdrawAsk,
} from "./ask_messages.ts";
import { endWithAskRefusals } from "./ask_refusals.ts";
import {
  AskState,
  type HeldRequest,
  type Member,
  type OutgoingAsk,
  shardKey,
} from "./blackboard.ts";
import type { Turn } from "./controller.ts";
import { rankCoordinators } from "./coordinators.ts";
import { CounterName } from "./effects.ts";
import { recordStep } from "./refusals.ts";
import { RequestState } from "./request.ts";
import { FLOOR_DURATION_MS } from "./shed_floor.ts";

/** With a longer predicted wait, a request also asks all other domains. */
const MAX_SINGLE_DOMAIN_PREDICTED_WAIT_MS = 20;
/** After this wait a request asks all domains, whatever was predicted. */
const MAX_SINGLE_DOMAIN_WAIT_MS = 100;

/**
 * Refusals for overload by several domains count together while none is older.
 * This is shorter than a domain's shed floor lasts, so that no domain can have
 * begun to serve lower tiers in the meantime.
 */
const MAX_FRESH_REFUSAL_AGE_MS = FLOOR_DURATION_MS * 0.75;

/**
 * Sends a request's first ask, to the first of its candidate domains.
 *
 * @param turn The turn of the current event.
 * @param request A request in the Waiting state.
 */
export function startAsking(turn: Turn, request: HeldRequest): void {
  request.askViewNumber = turn.board.members.viewNumber;
  request.waitingSinceMs = turn.nowMs;
  const [first] = getCandidateDomains(turn, request);
  if (first === undefined) {
    endWithAskRefusals(turn, request);
    return;
  }
  askDomain(turn, request, first);
}

/**
 * Asks one domain's coordinator, or the next in rank where it timed out.
 *
 * @param turn The turn of the current event.
 * @param request A request in the Waiting state.
 * @param failureDomain Failure domain whose targets are asked for.
 */
export function askDomain(
  turn: Turn,
  request: HeldRequest,
  failureDomain: string,
): void {
  const ask = request.asks.get(failureDomain) ??
    createOutgoingAsk(failureDomain);
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
 * Checks a waiting request's asks: moves those whose coordinator timed out or
 * changed, asks further domains after a long wait, and refuses the request
 * when all domains have refused it.
 *
 * @param turn The turn of a tick event.
 * @param request A request in the Waiting state.
 */
export function checkAsks(turn: Turn, request: HeldRequest): void {
  const { board } = turn;
  const timeoutMs = board.settings.inForce!.timing.askTimeoutMs;
  const viewChanged = request.askViewNumber !== board.members.viewNumber;
  request.askViewNumber = board.members.viewNumber;
  for (const ask of [...request.asks.values()]) {
    if (
      ask.state === AskState.Sent && turn.nowMs - ask.sentAtMs >= timeoutMs
    ) {
      moveTimedOutAsk(turn, request, ask);
    } else if (viewChanged && ask.state !== AskState.Refused) {
      moveToCurrentCoordinator(turn, request, ask);
    }
  }
  if (turn.nowMs - request.waitingSinceMs >= MAX_SINGLE_DOMAIN_WAIT_MS) {
    askAllDomains(turn, request);
  }
  refuseIfAllRefused(turn, request);
}

/**
 * Handles a coordinator's notice that an ask is in its queue.
 *
 * @param message The coordinator's message.
 * @param turn The turn of the current event.
 */
export function onAskQueued(
  message: PeerMessageOf<PeerMessageKind.AskQueued>,
  turn: Turn,
): void {
  const found = findCurrentAsk(turn, message);
  if (found === undefined) {
    return;
  }
  found.ask.state = AskState.Queued;
  if (message.predictedWaitMs > MAX_SINGLE_DOMAIN_PREDICTED_WAIT_MS) {
    askAllDomains(turn, found.request);
  }
}

/**
 * Handles a coordinator's refusal of an ask.
 *
 * @param message The coordinator's message.
 * @param turn The turn of the current event.
 */
export function onAskRefused(
  message: PeerMessageOf<PeerMessageKind.AskRefused>,
  turn: Turn,
): void {
  const found = findCurrentAsk(turn, message);
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
  recordStep(
    turn,
    request,
    `${ask.coordinatorId} refused for ${ask.failureDomain}: ${message.reason}`,
  );
  askAllDomains(turn, request);
  refuseIfAllRefused(turn, request);
}

/**
 * Handles a coordinator's notice that it does not have asks which this holder
 * reported as waiting there: sends them again.
 *
 * @param message The coordinator's message.
 * @param turn The turn of the current event.
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

function askAllDomains(turn: Turn, request: HeldRequest): void {
  for (const domain of getCandidateDomains(turn, request)) {
    if (!request.asks.has(domain)) {
      askDomain(turn, request, domain);
    }
  }
}

function moveTimedOutAsk(
  turn: Turn,
  request: HeldRequest,
  ask: OutgoingAsk,
): void {
  turn.count(CounterName.AskTimeouts);
  recordStep(
    turn,
    request,
    `${ask.coordinatorId} was silent for ${ask.failureDomain}, asking the next`,
  );
  withdrawAsk(turn, request, ask);
  ask.timedOutCoordinatorIds.add(ask.coordinatorId);
  askDomain(turn, request, ask.failureDomain);
  askAllDomains(turn, request);
}

function moveToCurrentCoordinator(
  turn: Turn,
  request: HeldRequest,
  ask: OutgoingAsk,
): void {
  const current = pickCoordinator(turn, request, ask);
  if (
    current === undefined ||
    (current.instanceId === ask.coordinatorId &&
      current.incarnation === ask.coordinatorIncarnation)
  ) {
    return;
  }
  withdrawAsk(turn, request, ask);
  askDomain(turn, request, ask.failureDomain);
}

function refuseIfAllRefused(turn: Turn, request: HeldRequest): void {
  const allRefused = getCandidateDomains(turn, request).every((domain) =>
    request.asks.get(domain)?.state === AskState.Refused
  );
  if (request.state !== RequestState.Waiting || !allRefused) {
    return;
  }
  const staleOverloads = [...request.asks.values()].filter((ask) =>
    isStaleOverloadRefusal(turn, ask)
  );
  if (staleOverloads.length === 0 || request.deadlineAtMs <= turn.nowMs) {
    endWithAskRefusals(turn, request);
    return;
  }
  for (const ask of staleOverloads) {
    askDomain(turn, request, ask.failureDomain);
  }
}

/** Whether a domain refused so long ago that it may serve lower tiers now. */
function isStaleOverloadRefusal(turn: Turn, { refusal }: OutgoingAsk): boolean {
  return refusal?.error === ErrorKind.Overloaded &&
    turn.nowMs - refusal.atMs > MAX_FRESH_REFUSAL_AGE_MS;
}

function findCurrentAsk(
  turn: Turn,
  message: { requestId: string; failureDomain: string; askNumber: number },
): { request: HeldRequest; ask: OutgoingAsk } | undefined {
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
  ask: OutgoingAsk,
): Member | undefined {
  const { failureDomain } = ask;
  const key = shardKey(request.spec.pool, failureDomain);
  const ranked = rankCoordinators(
    turn.board,
    { key, failureDomain },
    turn.nowMs,
  );
  const responsive = ranked.find((member) =>
    !ask.timedOutCoordinatorIds.has(member.instanceId)
  );
  if (responsive === undefined) {
    ask.timedOutCoordinatorIds.clear();
  }
  return responsive ?? ranked[0];
}
