/** Asks as they go to coordinators. */

import { PeerMessageKind } from "@chestnuthatch/wire/peer_messages";
import { AskState, type HeldRequest, type OutAsk } from "./blackboard.ts";
import type { Turn } from "./controller.ts";
import { domainsToAsk } from "./shard_domains.ts";

/**
 * Takes one ask back.
 *
 * @param turn The turn it happens in.
 * @param request The request.
 * @param ask The ask.
 */
export function withdrawAsk(
  turn: Turn,
  request: HeldRequest,
  ask: OutAsk,
): void {
  turn.send(ask.coordinatorId, {
    kind: PeerMessageKind.AskWithdrawn,
    pool: request.spec.pool,
    failureDomain: ask.failureDomain,
    requestId: request.spec.requestId,
  });
}

/**
 * Sends an ask to its coordinator.
 *
 * @param turn The turn it happens in.
 * @param request The request.
 * @param ask The ask.
 */
export function sendAsk(turn: Turn, request: HeldRequest, ask: OutAsk): void {
  const { spec, policy } = request;
  const domains = domainsOf(turn, request);
  turn.send(ask.coordinatorId, {
    kind: PeerMessageKind.Ask,
    failureDomain: ask.failureDomain,
    holderBeat: turn.board.requests.holderBeat,
    ask: {
      requestId: spec.requestId,
      askNumber: ask.askNumber,
      pool: spec.pool,
      workspace: spec.workspace,
      tierRank: policy.rank,
      value: policy.value,
      promptTokens: spec.promptTokens,
      expectedOutputTokens: request.expectedOutputTokens,
      maxOutputTokens: request.maxOutputTokens,
      timeLeftMs: Math.max(0, request.deadlineAtMs - turn.nowMs),
      cancellable: request.cancellable,
      excludedTargetIds: [...request.excludedTargetIds],
      blockHashes: [...spec.blockHashes],
      spreadOver: domains.length,
      spreadIndex: domains.indexOf(ask.failureDomain),
    },
  });
}

/**
 * Lists the domains that a request may be asked at, nearest first.
 *
 * @param turn The turn, for the settings and where this instance is.
 * @param request The request.
 * @returns Names of failure domains.
 */
export function domainsOf(turn: Turn, request: HeldRequest): string[] {
  return domainsToAsk(
    turn.board.settings.inForce!,
    turn.board.self,
    request.spec.pool,
  );
}

/**
 * Makes an ask that was not sent yet.
 *
 * @param failureDomain The domain whose targets are asked for.
 * @returns The ask.
 */
export function newAsk(failureDomain: string): OutAsk {
  return {
    failureDomain,
    coordinatorId: "",
    coordinatorIncarnation: 0,
    askNumber: 0,
    sentAtMs: 0,
    state: AskState.Sent,
    silentIds: new Set(),
  };
}
