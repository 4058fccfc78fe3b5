/** The holder: every request's life, from its arrival to its one outcome. */

import { PeerMessageKind } from "@chestnuthatch/wire/peer_messages";
import {
  ErrorKind,
  RunState,
  TargetKind,
} from "@chestnuthatch/wire/shared_types";
import {
  type Admitted,
  checkLimits,
  checkRequest,
  isRefusal,
  runStateUnclaimed,
  scopeKey,
} from "./admission.ts";
import {
  onAskQueued,
  onAskRefused,
  onAsksUnknown,
  startAsking,
  tendAsks,
} from "./ask_flow.ts";
import type { HeldRequest, WaitingCall } from "./blackboard.ts";
import {
  onClaimAnswered,
  onKeptAnswerRead,
  startClaim,
  tendClaim,
} from "./claim_flow.ts";
import type { Controller, EventHandlers, Turn } from "./controller.ts";
import { onDispatchNotSent, onGrant, onPreempt } from "./dispatch_flow.ts";
import { CounterName, EffectKind } from "./effects.ts";
import { EventKind, type EventOf } from "./events.ts";
import { beat, reportToCoordinators } from "./holder_report.ts";
import { keyName } from "./claim_rows.ts";
import { forgetOldRequests, isFinished } from "./held_requests.ts";
import { answerCall, dropCaller, endRequest, runStateOf } from "./outcomes.ts";
import { expectedOutputLength } from "./output_length.ts";
import { noteStep, refuseCall } from "./refusals.ts";
import { type RequestSpec, RequestState } from "./request.ts";
import {
  onServiceAnswered,
  onStreamClosed,
  onStreamEvent,
  tendStream,
} from "./stream_flow.ts";

const TEND_BY_STATE: Partial<
  Record<RequestState, (turn: Turn, request: HeldRequest) => void>
> = {
  [RequestState.Claiming]: tendClaim,
  [RequestState.Waiting]: tendAsks,
  [RequestState.Dispatched]: tendStream,
};

/** Holds requests: admits, claims, asks, dispatches, gathers and answers. */
export class RequestController implements Controller {
  readonly name = "request";
  readonly handlers: EventHandlers = {
    [EventKind.RequestArrived]: (event, turn) => arrive(event.spec, turn),
    [EventKind.CallerHungUp]: (event, turn) => hangUp(event.requestId, turn),
    [EventKind.ClaimAnswered]: onClaimAnswered,
    [EventKind.KeptAnswerRead]: onKeptAnswerRead,
    [EventKind.DispatchNotSent]: onDispatchNotSent,
    [EventKind.StreamEvent]: onStreamEvent,
    [EventKind.StreamClosed]: onStreamClosed,
    [EventKind.ServiceAnswered]: onServiceAnswered,
    [EventKind.PeerMessageReceived]: onPeerMessage,
    [EventKind.Tick]: (_event, turn) => tick(turn),
    [EventKind.ShutdownForced]: (_event, turn) => refuseWhatIsLeft(turn),
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

function arrive(spec: RequestSpec, turn: Turn): void {
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

  const known = requestOfKey(turn, spec);
  if (known !== undefined) {
    join(turn, known, { spec, deadlineMs: admitted.deadlineMs });
    return;
  }
  const scope = { key: scopeKey(spec), policy: admitted.policy };
  const limited = checkLimits(turn, scope);
  if (limited !== undefined) {
    const ran = runStateUnclaimed(spec, admitted.idempotent);
    refuseCall(turn, spec.requestId, { ...limited, ran });
    return;
  }
  begin(turn, hold(turn, spec, admitted));
}

function hold(turn: Turn, spec: RequestSpec, admitted: Admitted): HeldRequest {
  const { self, requests } = turn.board;
  const { policy, pool, idempotent, maxOutputTokens } = admitted;
  const streams = pool.kind === TargetKind.Engine;
  requests.nonceCounter += 1;
  const request: HeldRequest = {
    spec,
    policy,
    idempotent,
    streams,
    cancellable: streams && idempotent && policy.preemptible,
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
    nonce: `${self.instanceId}.${self.incarnation}.${requests.nonceCounter}`,
    asks: new Map(),
    askNumber: 0,
    excludedTargetIds: [],
    askViewNumber: 0,
    waitingSinceMs: turn.nowMs,
    attempts: 0,
    finishedAtMs: 0,
    callLog: [],
  };
  addCall(request, { spec, deadlineMs: admitted.deadlineMs }, turn);
  remember(turn, request);
  return request;
}

function remember(turn: Turn, request: HeldRequest): void {
  const { requests } = turn.board;
  const { spec } = request;
  const key = scopeKey(spec);
  requests.byId.set(spec.requestId, request);
  requests.unfinished.set(spec.requestId, request);
  requests.openByScope.set(key, (requests.openByScope.get(key) ?? 0) + 1);
  if (spec.idempotencyKey !== undefined) {
    requests.byKey.set(
      keyName(spec.workspace, spec.idempotencyKey),
      spec.requestId,
    );
  }
}

function begin(turn: Turn, request: HeldRequest): void {
  const { spec } = request;
  noteStep(turn, request, `Received for ${spec.pool} as ${spec.tier}`);
  if (!request.idempotent && spec.idempotencyKey !== undefined) {
    request.state = RequestState.Claiming;
    startClaim(turn, request);
    return;
  }
  startAsking(turn, request);
}

function requestOfKey(turn: Turn, spec: RequestSpec): HeldRequest | undefined {
  const { byId, byKey } = turn.board.requests;
  if (spec.idempotencyKey === undefined) {
    return undefined;
  }
  const known = byKey.get(keyName(spec.workspace, spec.idempotencyKey));
  return known === undefined ? undefined : byId.get(known);
}

function join(
  turn: Turn,
  request: HeldRequest,
  by: { spec: RequestSpec; deadlineMs: number },
): void {
  const callId = by.spec.requestId;
  if (by.spec.contentHash !== request.spec.contentHash) {
    refuseCall(turn, callId, {
      error: ErrorKind.KeyReusedDifferently,
      ran: RunState.NotRun,
      path: "idempotencyKey",
      message:
        "This idempotency key belongs to a request with other content; use a new key.",
    });
    return;
  }
  turn.decide(callId, "holder", `Joined ${request.spec.requestId} by its key`);
  if (!isFinished(request)) {
    addCall(request, by, turn);
    turn.board.requests.joined.set(callId, request.spec.requestId);
    sendWhatCameSoFar(turn, request, callId);
    return;
  }
  const { answer, refusal } = request.outcome!;
  if (answer !== undefined) {
    answerCall(turn, request, { callId, answer });
    return;
  }
  refuseCall(turn, callId, refusal!);
}

function sendWhatCameSoFar(
  turn: Turn,
  request: HeldRequest,
  callId: string,
): void {
  const text = request.attempt?.pieces.join("") ?? "";
  if (request.calls.get(callId)?.stream && text !== "") {
    turn.emit({ kind: EffectKind.StreamToCaller, requestId: callId, text });
  }
}

function addCall(
  request: HeldRequest,
  by: { spec: RequestSpec; deadlineMs: number },
  turn: Turn,
): void {
  request.calls.set(by.spec.requestId, {
    callId: by.spec.requestId,
    arrivedAtMs: turn.nowMs,
    deadlineAtMs: turn.nowMs + by.deadlineMs,
    stream: by.spec.stream,
  });
}

function hangUp(callId: string, turn: Turn): void {
  const { byId, joined } = turn.board.requests;
  const request = byId.get(joined.get(callId) ?? callId);
  const call = request?.calls.get(callId);
  if (request === undefined || call === undefined) {
    return;
  }
  dropCaller(turn, request, {
    call,
    error: ErrorKind.CallerGone,
    message: "The caller hung up.",
  });
}

function tick(turn: Turn): void {
  if (turn.board.settings.inForce === undefined) {
    return;
  }
  beat(turn);
  for (const request of [...turn.board.requests.unfinished.values()]) {
    dropLateCallers(turn, request);
    TEND_BY_STATE[request.state]?.(turn, request);
  }
  reportToCoordinators(turn);
  forgetOldRequests(turn);
}

function dropLateCallers(turn: Turn, request: HeldRequest): void {
  for (const call of [...request.calls.values()]) {
    if (call.deadlineAtMs <= turn.nowMs) {
      dropLateCaller(turn, request, call);
    }
  }
}

function dropLateCaller(
  turn: Turn,
  request: HeldRequest,
  call: WaitingCall,
): void {
  const waitedMs = Math.round(turn.nowMs - call.arrivedAtMs);
  dropCaller(turn, request, {
    call,
    error: ErrorKind.DeadlineExceeded,
    message: `No whole answer within ${waitedMs} ms, while ${request.state}.`,
  });
}

function refuseWhatIsLeft(turn: Turn): void {
  for (const request of [...turn.board.requests.unfinished.values()]) {
    endRequest(turn, request, {
      error: ErrorKind.ShuttingDown,
      ran: runStateOf(request),
      message: "This instance had to stop before the answer was whole.",
      retryAfterMs: request.policy.retryAfterMs,
    });
  }
}
