/** Grants: their validation, and the dispatch of a request to its target. */

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
import { endWithRefusal } from "./outcomes.ts";
import { recordStep } from "./refusals.ts";
import { RequestState } from "./request.ts";
import { jitteredRetryAfterMs } from "./retry_hint.ts";

/** A request is refused after this many dispatches that were not sent. */
const MAX_DISPATCH_ATTEMPTS = 4;

/** Return reason where the coordinator has not received the leaving sign. */
const TARGET_LEAVING_REASON = "the target is leaving";

type Grant = PeerMessageOf<PeerMessageKind.Grant>;

/**
 * Handles a grant: dispatches the request, or returns the grant where it can
 * no longer be used.
 *
 * @param grant The grant.
 * @param coordinatorId Id of the coordinator that sent it.
 * @param turn The turn of the current event.
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
    returnGrant(turn, grant, { coordinatorId, pool: poolOfGrant(turn, grant) });
    return;
  }
  const returnReason = grantReturnReason(turn, request, grant);
  if (returnReason === undefined) {
    dispatch(turn, request, { grant, coordinatorId });
    return;
  }
  recordStep(
    turn,
    request,
    `Grant of ${grant.targetId} returned: ${returnReason}`,
  );
  returnGrant(turn, grant, { coordinatorId, pool: request.spec.pool });
  if (returnReason === TARGET_LEAVING_REASON) {
    request.excludedTargetIds.push(grant.targetId);
  }
  if (request.deadlineAtMs > turn.nowMs) {
    askDomain(turn, request, grant.failureDomain);
  }
}

/**
 * Handles a dispatch of which no byte was sent: returns the grant, and lets the
 * request wait again or refuses it.
 *
 * @param event The attempt, and why it was not sent.
 * @param turn The turn of the current event.
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
  recordStep(turn, request, `Not sent to ${attempt.targetId}: ${event.reason}`);
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
  if (
    request.calls.size === 0 || request.attemptCount >= MAX_DISPATCH_ATTEMPTS
  ) {
    endWithRefusal(turn, request, {
      error: ErrorKind.NoTarget,
      ran: RunState.NotRun,
      message: `${request.attemptCount} targets refused the connection.`,
      retryAfterMs: jitteredRetryAfterMs(turn, request.policy.retryAfterMs),
    });
    return;
  }
  askDomain(turn, request, attempt.failureDomain);
}

/**
 * Handles a coordinator's order to cancel a running stream, whose slot a higher
 * tier needs.
 *
 * @param message The request and its grant.
 * @param turn The turn of the current event.
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
  endWithRefusal(turn, request, {
    error: ErrorKind.Preempted,
    ran: RunState.MayHaveRun,
    message: "Its stream was cancelled to make room for a higher tier.",
    retryAfterMs: jitteredRetryAfterMs(turn, request.policy.retryAfterMs),
  });
}

function dispatch(
  turn: Turn,
  request: HeldRequest,
  granted: { grant: Grant; coordinatorId: string },
): void {
  const { grant, coordinatorId } = granted;
  const { spec, policy } = request;
  request.attemptCount += 1;
  request.state = RequestState.Dispatched;
  request.attempt = {
    attemptNonce: `${request.claimNonce}.${request.attemptCount}`,
    targetId: grant.targetId,
    grantId: grant.grantId,
    coordinatorId,
    failureDomain: grant.failureDomain,
    sentAtMs: turn.nowMs,
    promptRead: false,
    firstTokenAtMs: 0,
    cachedTokens: 0,
    textChunks: [],
    tokensReceived: 0,
    resumes: 0,
  };
  recordGrant(turn, request, granted);
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

function recordGrant(
  turn: Turn,
  request: HeldRequest,
  granted: { grant: Grant; coordinatorId: string },
): void {
  const passedOver = granted.grant.passedOver
    .map((other) => `${other.targetId}: ${other.reason}`)
    .join("; ");
  const passedOverSuffix = passedOver === ""
    ? ""
    : ` (passed over: ${passedOver})`;
  recordStep(
    turn,
    request,
    `${granted.coordinatorId} granted ${granted.grant.targetId}${passedOverSuffix}; dispatched`,
  );
}

function grantReturnReason(
  turn: Turn,
  request: HeldRequest,
  grant: Grant,
): string | undefined {
  const { board, nowMs } = turn;
  const beatStartedAtMs = board.requests.beatStartedAtMs.get(grant.holderBeat);
  if (
    beatStartedAtMs === undefined || nowMs - beatStartedAtMs > grant.lifetimeMs
  ) {
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
    return TARGET_LEAVING_REASON;
  }
  if (request.excludedTargetIds.includes(grant.targetId)) {
    return "the target refused a connection before";
  }
  return undefined;
}

function returnGrant(
  turn: Turn,
  grant: Grant,
  origin: { coordinatorId: string; pool: string },
): void {
  turn.count(CounterName.GrantsReturned);
  turn.send(origin.coordinatorId, {
    kind: PeerMessageKind.GrantReturned,
    requestId: grant.requestId,
    grantId: grant.grantId,
    pool: origin.pool,
    failureDomain: grant.failureDomain,
    targetUnreachable: false,
  });
}

function poolOfGrant(turn: Turn, grant: Grant): string {
  return turn.board.settings.inForce?.targets.get(grant.targetId)?.pool ?? "";
}
