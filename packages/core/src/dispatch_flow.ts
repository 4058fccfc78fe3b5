/** From a grant to the target: the one dispatch of a request. */

import {
  PeerMessageKind,
  type PeerMessageOf,
} from "@chestnuthatch/wire/peer_messages";
import { ErrorKind, RunState } from "@chestnuthatch/wire/shared_types";
import { askDomain } from "./ask_flow.ts";
import { withdrawAsks } from "./ask_messages.ts";
import type { HeldRequest } from "./blackboard.ts";
import type { Turn } from "./controller.ts";
import { CounterName, EffectKind } from "./effects.ts";
import type { EventKind, EventOf } from "./events.ts";
import { answerTimeLeftMs, cancelAttempt } from "./attempts.ts";
import { endRequest } from "./outcomes.ts";
import { noteStep } from "./refusals.ts";
import { RequestState } from "./request.ts";
import { spreadRetryHint } from "./retry_hint.ts";

/** Connections a request may find refused before it is given up. */
const MAX_ATTEMPTS = 4;

/** Why a grant is returned whose coordinator has not heard the sign yet. */
const LEAVING_TARGET = "the target is leaving";

type Grant = PeerMessageOf<PeerMessageKind.Grant>;

/**
 * Handles a grant: dispatches, or hands it back.
 *
 * @param grant The grant.
 * @param coordinatorId Who granted it.
 * @param turn The turn it happens in.
 */
export function onGrant(
  grant: Grant,
  coordinatorId: string,
  turn: Turn,
): void {
  const request = turn.board.requests.byId.get(grant.requestId);
  if (request?.attempt?.grantId === grant.grantId) {
    return;
  }
  if (request === undefined || request.state !== RequestState.Waiting) {
    returnGrant(turn, grant, { coordinatorId, pool: poolOf(turn, grant) });
    return;
  }
  const fault = faultOfGrant(turn, request, grant);
  if (fault === undefined) {
    dispatch(turn, request, { grant, coordinatorId });
    return;
  }
  noteStep(turn, request, `Grant of ${grant.targetId} returned: ${fault}`);
  returnGrant(turn, grant, { coordinatorId, pool: request.spec.pool });
  if (fault === LEAVING_TARGET) {
    request.excludedTargetIds.push(grant.targetId);
  }
  if (request.deadlineAtMs > turn.nowMs) {
    askDomain(turn, request, grant.failureDomain);
  }
}

/**
 * Handles a dispatch of which no byte left: the request waits again.
 *
 * @param event Which attempt, and why.
 * @param turn The turn it happens in.
 */
export function onDispatchNotSent(
  event: EventOf<EventKind.DispatchNotSent>,
  turn: Turn,
): void {
  const request = turn.board.requests.byId.get(event.requestId);
  const attempt = request?.attempt;
  if (
    request?.state !== RequestState.Dispatched ||
    attempt?.attemptNonce !== event.attemptNonce
  ) {
    return;
  }
  noteStep(turn, request, `Not sent to ${attempt.targetId}: ${event.reason}`);
  turn.send(attempt.coordinatorId, {
    kind: PeerMessageKind.GrantReturned,
    requestId: event.requestId,
    grantId: attempt.grantId,
    pool: request.spec.pool,
    failureDomain: attempt.failureDomain,
    targetUnreachable: event.targetUnreachable,
  });
  request.attempt = undefined;
  request.state = RequestState.Waiting;
  if (event.targetUnreachable) {
    request.excludedTargetIds.push(attempt.targetId);
  }
  if (request.calls.size === 0 || request.attempts >= MAX_ATTEMPTS) {
    endRequest(turn, request, {
      error: ErrorKind.NoTarget,
      ran: RunState.NotRun,
      message: `${request.attempts} targets refused the connection.`,
      retryAfterMs: spreadRetryHint(turn, request.policy.retryAfterMs),
    });
    return;
  }
  askDomain(turn, request, attempt.failureDomain);
}

/**
 * Handles a coordinator's order to cancel a running stream of a lower tier.
 *
 * @param message Which grant.
 * @param turn The turn it happens in.
 */
export function onPreempt(
  message: PeerMessageOf<PeerMessageKind.Preempt>,
  turn: Turn,
): void {
  const request = turn.board.requests.byId.get(message.requestId);
  if (
    request?.state !== RequestState.Dispatched || !request.cancellable ||
    request.attempt?.grantId !== message.grantId
  ) {
    return;
  }
  turn.count(CounterName.Preemptions, { tier: request.spec.tier });
  cancelAttempt(turn, request);
  endRequest(turn, request, {
    error: ErrorKind.Preempted,
    ran: RunState.MayHaveRun,
    message: "Its stream was cancelled to make room for a higher tier.",
    retryAfterMs: spreadRetryHint(turn, request.policy.retryAfterMs),
  });
}

function dispatch(
  turn: Turn,
  request: HeldRequest,
  by: { grant: Grant; coordinatorId: string },
): void {
  const { grant, coordinatorId } = by;
  const { spec, policy } = request;
  request.attempts += 1;
  request.state = RequestState.Dispatched;
  request.attempt = {
    attemptNonce: `${request.nonce}.${request.attempts}`,
    targetId: grant.targetId,
    grantId: grant.grantId,
    coordinatorId,
    failureDomain: grant.failureDomain,
    sentAtMs: turn.nowMs,
    promptRead: false,
    firstTokenAtMs: 0,
    cachedTokens: 0,
    pieces: [],
    tokensReceived: 0,
    resumes: 0,
  };
  noteGrant(turn, request, by);
  turn.count(CounterName.Dispatches, { pool: spec.pool });
  turn.count(
    CounterName.PromptTokensDispatched,
    { tier: spec.tier },
    spec.promptTokens,
  );
  turn.emit({
    kind: EffectKind.Dispatch,
    requestId: spec.requestId,
    attemptNonce: request.attempt.attemptNonce,
    targetId: grant.targetId,
    pool: spec.pool,
    maxOutputTokens: request.maxOutputTokens,
    tierRank: policy.rank,
    value: policy.value,
    timeLeftMs: request.deadlineAtMs - turn.nowMs,
    answerTimeLeftMs: answerTimeLeftMs(turn, request),
  });
  turn.send(coordinatorId, {
    kind: PeerMessageKind.GrantUsed,
    requestId: spec.requestId,
    grantId: grant.grantId,
    pool: spec.pool,
    failureDomain: grant.failureDomain,
  });
  withdrawAsks(turn, request, grant.failureDomain);
}

function noteGrant(
  turn: Turn,
  request: HeldRequest,
  by: { grant: Grant; coordinatorId: string },
): void {
  const passedOver = by.grant.passedOver
    .map((other) => `${other.targetId}: ${other.reason}`)
    .join("; ");
  const others = passedOver === "" ? "" : ` (passed over: ${passedOver})`;
  noteStep(
    turn,
    request,
    `${by.coordinatorId} granted ${by.grant.targetId}${others}; dispatched`,
  );
}

function faultOfGrant(
  turn: Turn,
  request: HeldRequest,
  grant: Grant,
): string | undefined {
  const { board, nowMs } = turn;
  const begunAtMs = board.requests.beatBegunAtMs.get(grant.holderBeat);
  if (begunAtMs === undefined || nowMs - begunAtMs > grant.lifetimeMs) {
    turn.count(CounterName.StaleGrants);
    return "too old";
  }
  if (request.deadlineAtMs <= nowMs) {
    return "the deadline has passed";
  }
  const settings = board.settings.inForce!.targets.get(grant.targetId);
  if (settings === undefined || settings.pool !== request.spec.pool) {
    return "the settings do not have the target in this pool";
  }
  if (settings.draining || board.targets.byId.get(grant.targetId)?.leaving) {
    return LEAVING_TARGET;
  }
  if (request.excludedTargetIds.includes(grant.targetId)) {
    return "the target refused a connection before";
  }
  return undefined;
}

function returnGrant(
  turn: Turn,
  grant: Grant,
  to: { coordinatorId: string; pool: string },
): void {
  turn.count(CounterName.GrantsReturned);
  turn.send(to.coordinatorId, {
    kind: PeerMessageKind.GrantReturned,
    requestId: grant.requestId,
    grantId: grant.grantId,
    pool: to.pool,
    failureDomain: grant.failureDomain,
    targetUnreachable: false,
  });
}

function poolOf(turn: Turn, grant: Grant): string {
  return turn.board.settings.inForce?.targets.get(grant.targetId)?.pool ?? "";
}
