/** Asks as they go to coordinators. */

import { PeerMessageKind } from "@chestnuthatch/wire/peer_messages";
import { AskState, type HeldRequest, type OutAsk } from "./blackboard.ts";
import type { Turn } from "./controller.ts";
import { incrementHolderBeat } from "./holder_report.ts";
import { domainsToAsk } from "./shard_domains.ts";
import { hash32 } from "./text_hash.ts";

/** Blocks of a prompt that tell where it belongs: 512 tokens. */
const BEGINNING_BLOCKS = 8;

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
 * Withdraws the asks of a request that needs no place any more.
 *
 * @param turn The turn it happens in.
 * @param request The request.
 * @param exceptDomain A domain whose coordinator knows already.
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
 * @param turn The turn it happens in.
 * @param request The request.
 * @param ask The ask.
 */
export function sendAsk(turn: Turn, request: HeldRequest, ask: OutAsk): void {
  // An ask under an old beat would only bring grants that are too old.
  incrementHolderBeat(turn);
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
 * Lists the domains that a request may be asked at, the first to ask in front:
 * the nearest, or for a long prompt the one that its beginning belongs to, so
 * that prompts which begin alike meet the same caches.
 *
 * @param turn The turn, for the settings and where this instance is.
 * @param request The request.
 * @returns Names of failure domains.
 */
export function domainsOf(
  turn: Turn,
  request: HeldRequest,
): readonly string[] {
  const settingsVersion = turn.board.settings.inForce!.version;
  if (request.domains?.settingsVersion !== settingsVersion) {
    const names = orderDomains(turn, request);
    request.domains = { settingsVersion, names };
  }
  return request.domains.names;
}

function orderDomains(turn: Turn, request: HeldRequest): string[] {
  const settings = turn.board.settings.inForce!;
  const { self } = turn.board;
  const { pool, blockHashes } = request.spec;
  const domains = domainsToAsk(settings, self, pool);
  const beginning = blockHashes[BEGINNING_BLOCKS - 1];
  if (beginning === undefined) {
    return domains;
  }
  const isNear = (domain: string) =>
    settings.regionOfDomain.get(domain) === self.region;
  const near = domains.filter(isNear)
    .map((domain) => ({ domain, score: hash32(`${beginning}/${domain}`) }))
    .sort((a, b) => b.score - a.score);
  return [
    ...near.map(({ domain }) => domain),
    ...domains.filter((domain) => !isNear(domain)),
  ];
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
