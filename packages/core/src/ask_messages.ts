/**
 * The messages of asks: sends and withdraws them, and orders the failure
 * domains that a request asks at.
 */

import { PeerMessageKind } from "@chestnuthatch/wire/peer_messages";
import { AskState, type HeldRequest, type OutgoingAsk } from "./blackboard.ts";
import type { Turn } from "./controller.ts";
import { incrementHolderBeat } from "./holder_report.ts";
import { domainsToAsk } from "./shard_domains.ts";
import { hash32 } from "./text_hash.ts";

/** Leading blocks of a prompt that select its domain: 512 tokens. */
const AFFINITY_PREFIX_BLOCKS = 8;

/**
 * Withdraws one ask from its coordinator.
 *
 * @param turn The turn of the current event.
 * @param request The request.
 * @param ask The ask.
 */
export function withdrawAsk(
  turn: Turn,
  request: HeldRequest,
  ask: OutgoingAsk,
): void {
  turn.send(ask.coordinatorId, {
    kind: PeerMessageKind.AskWithdrawn,
    pool: request.spec.pool,
    failureDomain: ask.failureDomain,
    requestId: request.spec.requestId,
  });
}

/**
 * Withdraws the asks of a request that needs no grant any more.
 *
 * @param turn The turn of the current event.
 * @param request The request.
 * @param exceptDomain Domain whose coordinator has closed its ask already.
 */
export function withdrawAsks(
  turn: Turn,
  request: HeldRequest,
  exceptDomain?: string,
): void {
  for (const ask of request.asks.values()) {
    if (
      ask.failureDomain !== exceptDomain && ask.state !== AskState.Refused
    ) {
      withdrawAsk(turn, request, ask);
    }
  }
  request.asks.clear();
}

/**
 * Sends an ask to its coordinator.
 *
 * @param turn The turn of the current event.
 * @param request The request.
 * @param ask The ask.
 */
export function sendAsk(
  turn: Turn,
  request: HeldRequest,
  ask: OutgoingAsk,
): void {
  // A grant carries the beat of its ask; an old beat would make it stale.
  incrementHolderBeat(turn);
  const { spec, policy } = request;
  const domains = getCandidateDomains(turn, request);
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
 * Returns the failure domains that a request may be asked at, in order of
 * preference: nearest first, or for a long prompt those of the own region by
 * rendezvous hashing of its prefix, so that prompts with a common prefix reach
 * the same caches.
 *
 * @param turn The turn, for the settings and this instance's location.
 * @param request The request.
 * @returns Names of failure domains, the first to ask in front.
 */
export function getCandidateDomains(
  turn: Turn,
  request: HeldRequest,
): readonly string[] {
  const settingsVersion = turn.board.settings.inForce!.version;
  if (request.candidateDomains?.settingsVersion !== settingsVersion) {
    const names = rankDomains(turn, request);
    request.candidateDomains = { settingsVersion, names };
  }
  return request.candidateDomains.names;
}

function rankDomains(turn: Turn, request: HeldRequest): string[] {
  const settings = turn.board.settings.inForce!;
  const { self } = turn.board;
  const { pool, blockHashes } = request.spec;
  const domains = domainsToAsk(settings, self, pool);
  const prefixHash = blockHashes[AFFINITY_PREFIX_BLOCKS - 1];
  if (prefixHash === undefined) {
    return domains;
  }
  const isInRegion = (domain: string) =>
    settings.regionOfDomain.get(domain) === self.region;
  const inRegion = domains.filter(isInRegion)
    .map((domain) => ({ domain, score: hash32(`${prefixHash}/${domain}`) }))
    .sort((a, b) => b.score - a.score);
  return [
    ...inRegion.map(({ domain }) => domain),
    ...domains.filter((domain) => !isInRegion(domain)),
  ];
}

/**
 * Creates an ask that was not sent yet.
 *
 * @param failureDomain Failure domain whose targets are asked for.
 * @returns The ask, without a coordinator.
 */
export function createOutgoingAsk(failureDomain: string): OutgoingAsk {
  return {
    failureDomain,
    coordinatorId: "",
    coordinatorIncarnation: 0,
    askNumber: 0,
    sentAtMs: 0,
    state: AskState.Sent,
    timedOutCoordinatorIds: new Set(),
  };
}
