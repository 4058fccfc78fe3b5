/**
 * The holder's side of scheduling: processes each accepted request from its
 * arrival to its one outcome.
 */

import { PeerMessageKind } from "@chestnuthatch/wire/peer_messages";
import {
  ErrorKind,
  RunState,
  TargetKind,
} from "@chestnuthatch/wire/shared_types";
import {
  type Admission,
  checkRequest,
  consumeLimits,
  isRefusal,
  runStateWithoutClaim,
  scopeKey,
} from "./admission.ts";
import {
  checkAsks,
  onAskQueued,
  onAskRefused,
  onAsksUnknown,
  startAsking,
} from "./ask_flow.ts";
import type { HeldRequest, WaitingCall } from "./blackboard.ts";
import {
  checkClaim,
  onClaimAnswered,
  onKeptAnswerRead,
  startClaim,
} from "./claim_flow.ts";
import type { Controller, EventHandlers, Turn } from "./controller.ts";
import { onDispatchNotSent, onGrant, onPreempt } from "./dispatch_flow.ts";
import { CounterName, EffectKind } from "./effects.ts";
import { EventKind, type EventOf } from "./events.ts";
import { incrementHolderBeat, reportToCoordinators } from "./holder_report.ts";
import { scopedKey } from "./claim_rows.ts";
import { evictFinishedRequests, isFinished } from "./held_requests.ts";
import {
  answerCall,
  endWithRefusal,
  knownRunState,
  removeCaller,
} from "./outcomes.ts";
import { expectedOutputLength } from "./output_length.ts";
import { recordStep, refuseCall } from "./refusals.ts";
import { type RequestSpec, RequestState } from "./request.ts";
import {
  onServiceAnswered,
  onStreamClosed,
  onStreamEvent,
  resumeStreamWhenDue,
} from "./stream_flow.ts";

/** Handlers of periodic work; finished requests need none. */
const TICK_HANDLER_BY_STATE: Partial<
  Record<RequestState, (turn: Turn, request: HeldRequest) => void>
> = {
  [RequestState.Claiming]: checkClaim,
  [RequestState.Waiting]: checkAsks,
  [RequestState.Dispatched]: resumeStreamWhenDue,
};

/**
 * Processes the requests that this instance holds: admits them, claims their
 * idempotency keys, asks coordinators for grants, dispatches them to targets,
 * receives the answers and answers the callers.
 */
export class RequestController implements Controller {
  readonly name = "request";
  readonly handlers: EventHandlers = {
    [EventKind.RequestArrived]: (event, turn) =>
      onRequestArrived(event.spec, turn),
    [EventKind.CallerHungUp]: (event, turn) =>
      onCallerHungUp(event.requestId, turn),
    [EventKind.ClaimAnswered]: onClaimAnswered,
    [EventKind.KeptAnswerRead]: onKeptAnswerRead,
    [EventKind.DispatchNotSent]: onDispatchNotSent,
    [EventKind.StreamEvent]: onStreamEvent,
    [EventKind.StreamClosed]: onStreamClosed,
    [EventKind.ServiceAnswered]: onServiceAnswered,
    [EventKind.PeerMessageReceived]: onPeerMessage,
    [EventKind.Tick]: (_event, turn) => onTick(turn),
    [EventKind.ShutdownForced]: (_event, turn) =>
      refuseUnfinishedRequests(turn),
  };
}

function onPeerMessage(
  event: EventOf<EventKind.PeerMessageReceived>,
  turn: Turn,
): void {
  const { message } = event;
  switch (message.kind) {
    case PeerMessageKind.Grant:
      return onGrant(message, event.fromId, turn);
    case PeerMessageKind.AskQueued:
      return onAskQueued(message, turn);
    case PeerMessageKind.AskRefused:
      return onAskRefused(message, turn);
    case PeerMessageKind.AsksUnknown:
      return onAsksUnknown(message, turn);
    case PeerMessageKind.Preempt:
      return onPreempt(message, turn);
  }
}

function onRequestArrived(spec: RequestSpec, turn: Turn): void {
  const admitted = checkRequest(turn, spec);
  const { tier, workspace } = spec;
  turn.count(
    CounterName.RequestsReceived,
    isRefusal(admitted) ? {} : { tier, workspace },
  );
  if (isRefusal(admitted)) {
    refuseCall(turn, spec.requestId, admitted);
    return;
  }

  const existing = findRequestByKey(turn, spec);
  if (existing !== undefined) {
    joinRequest(turn, existing, { spec, deadlineMs: admitted.deadlineMs });
    return;
  }
  const scope = { key: scopeKey(spec), policy: admitted.policy };
  const limitRefusal = consumeLimits(turn, scope);
  if (limitRefusal !== undefined) {
    const ran = runStateWithoutClaim(spec, admitted.idempotent);
    refuseCall(turn, spec.requestId, { ...limitRefusal, ran });
    return;
  }
  startRequest(turn, createHeldRequest(turn, spec, admitted));
}

function createHeldRequest(
  turn: Turn,
  spec: RequestSpec,
  admitted: Admission,
): HeldRequest {
  const { self, requests } = turn.board;
  const { policy, pool, idempotent, maxOutputTokens } = admitted;
  const isEngineStream = pool.kind === TargetKind.Engine;
  requests.nonceCounter += 1;
  const request: HeldRequest = {
    spec,
    policy,
    idempotent,
    isEngineStream,
    cancellable: isEngineStream && idempotent && policy.preemptible,
    maxOutputTokens,
    expectedOutputTokens: expectedOutputLength(
      requests,
      { ...spec, maxOutputTokens },
      policy.expectedOutputTokens,
    ),
    arrivedAtMs: turn.nowMs,
    deadlineAtMs: turn.nowMs + admitted.deadlineMs,
    state: RequestState.Waiting,
    calls: new Map(),
    claimNonce:
      `${self.instanceId}.${self.incarnation}.${requests.nonceCounter}`,
    asks: new Map(),
    askNumber: 0,
    excludedTargetIds: [],
    askViewNumber: 0,
    waitingSinceMs: turn.nowMs,
    attemptCount: 0,
    finishedAtMs: 0,
    callLog: [],
  };
  addCall(request, { spec, deadlineMs: admitted.deadlineMs }, turn);
  indexRequest(turn, request);
  return request;
}

function indexRequest(turn: Turn, request: HeldRequest): void {
  const { requests } = turn.board;
  const { spec } = request;
  const key = scopeKey(spec);
  requests.byId.set(spec.requestId, request);
  requests.unfinished.set(spec.requestId, request);
  requests.openByScope.set(key, (requests.openByScope.get(key) ?? 0) + 1);
  if (spec.idempotencyKey !== undefined) {
    requests.requestIdByKey.set(
      scopedKey(spec.workspace, spec.idempotencyKey),
      spec.requestId,
    );
  }
}

function startRequest(turn: Turn, request: HeldRequest): void {
  const { spec } = request;
  recordStep(turn, request, `Received for ${spec.pool} as ${spec.tier}`);
  if (!request.idempotent && spec.idempotencyKey !== undefined) {
    request.state = RequestState.Claiming;
    startClaim(turn, request);
    return;
  }
  startAsking(turn, request);
}

function findRequestByKey(
  turn: Turn,
  spec: RequestSpec,
): HeldRequest | undefined {
  const { byId, requestIdByKey } = turn.board.requests;
  if (spec.idempotencyKey === undefined) {
    return undefined;
  }
  const requestId = requestIdByKey.get(
    scopedKey(spec.workspace, spec.idempotencyKey),
  );
  return requestId === undefined ? undefined : byId.get(requestId);
}

function joinRequest(
  turn: Turn,
  request: HeldRequest,
  joining: { spec: RequestSpec; deadlineMs: number },
): void {
  const callId = joining.spec.requestId;
  if (joining.spec.contentHash !== request.spec.contentHash) {
    refuseCall(turn, callId, {
      error: ErrorKind.KeyReusedDifferently,
      ran: RunState.NotRun,
      path: "idempotencyKey",
      message:
        "This idempotency key belongs to a request with other content; use a new key.",
    });
    return;
  }
  turn.recordDecision(
    callId,
    "holder",
    `Joined ${request.spec.requestId} by its key`,
  );
  if (!isFinished(request)) {
    addCall(request, joining, turn);
    turn.board.requests.requestIdByJoinedCall.set(
      callId,
      request.spec.requestId,
    );
    replayStreamedText(turn, request, callId);
    return;
  }
  const { answer, refusal } = request.outcome!;
  if (answer !== undefined) {
    answerCall(turn, request, { callId, answer });
    return;
  }
  refuseCall(turn, callId, refusal!);
}

function replayStreamedText(
  turn: Turn,
  request: HeldRequest,
  callId: string,
): void {
  const text = request.attempt?.textChunks.join("") ?? "";
  if (request.calls.get(callId)?.stream && text !== "") {
    turn.emit({ kind: EffectKind.StreamToCaller, requestId: callId, text });
  }
}

function addCall(
  request: HeldRequest,
  caller: { spec: RequestSpec; deadlineMs: number },
  turn: Turn,
): void {
  request.calls.set(caller.spec.requestId, {
    callId: caller.spec.requestId,
    arrivedAtMs: turn.nowMs,
    deadlineAtMs: turn.nowMs + caller.deadlineMs,
    stream: caller.spec.stream,
  });
}

function onCallerHungUp(callId: string, turn: Turn): void {
  const { byId, requestIdByJoinedCall } = turn.board.requests;
  const request = byId.get(requestIdByJoinedCall.get(callId) ?? callId);
  const call = request?.calls.get(callId);
  if (request === undefined || call === undefined) {
    return;
  }
  removeCaller(turn, request, {
    call,
    error: ErrorKind.CallerGone,
    message: "The caller hung up.",
  });
}

function onTick(turn: Turn): void {
  if (turn.board.settings.inForce === undefined) {
    return;
  }
  incrementHolderBeat(turn);
  for (const request of [...turn.board.requests.unfinished.values()]) {
    removeExpiredCallers(turn, request);
    TICK_HANDLER_BY_STATE[request.state]?.(turn, request);
  }
  reportToCoordinators(turn);
  evictFinishedRequests(turn);
}

function removeExpiredCallers(turn: Turn, request: HeldRequest): void {
  for (const call of [...request.calls.values()]) {
    if (call.deadlineAtMs <= turn.nowMs) {
      removeExpiredCaller(turn, request, call);
    }
  }
}

function removeExpiredCaller(
  turn: Turn,
  request: HeldRequest,
  call: WaitingCall,
): void {
  const waitedMs = Math.round(turn.nowMs - call.arrivedAtMs);
  removeCaller(turn, request, {
    call,
    error: ErrorKind.DeadlineExceeded,
    message: `No whole answer within ${waitedMs} ms, while ${request.state}.`,
  });
}

function refuseUnfinishedRequests(turn: Turn): void {
  for (const request of [...turn.board.requests.unfinished.values()]) {
    endWithRefusal(turn, request, {
      error: ErrorKind.ShuttingDown,
      ran: knownRunState(request),
      message: "This instance had to stop before the answer was whole.",
      retryAfterMs: request.policy.retryAfterMs,
    });
  }
}
