/** What a request asks the coordinator for. */

import { hash32 } from "@chestnuthatch/core/text_hash";
import { rankOf } from "@chestnuthatch/routing/ranks";
import type { AskCause, WorkAsk } from "@chestnuthatch/routing/work_ask";
import type { GatewayParts } from "./gateway_parts.ts";
import { fingerprintIfNeeded } from "./request_fingerprint.ts";
import {
  deadlineAtMs,
  type RoutedCall,
  streamPatienceMs,
} from "./routed_call.ts";
import { isStream } from "./target_attempt.ts";

/** Part of the objective kept back from a caller's patience, for the answer. */
const ANSWER_PART = 0.5;

/** What is known of a request besides the call itself. */
export interface AskFacts {
  readonly cause: AskCause;
  /** Whether its cost was charged before. */
  readonly charged: boolean;
  /** Targets that must not get it again. */
  readonly tried: ReadonlySet<string>;
  /** When the caller got the last event; absent before the first. */
  readonly lastEventAtMs?: number;
}

/**
 * Makes an ask for a request, as of now.
 *
 * @param parts The instance's parts.
 * @param call The request.
 * @param facts What is known besides.
 * @returns The ask.
 */
export function workAskOf(
  parts: GatewayParts,
  call: RoutedCall,
  facts: AskFacts,
): WorkAsk {
  const { route, workspace } = call;
  const { tokens } = call.facts;
  const nowMs = parts.clock.nowMs();
  const spentMs = nowMs - call.arrivedAtMs;
  const leftMs = deadlineAtMs(call) - nowMs;
  // Callers leave after a gap, whether before the first event or a later one.
  const silentMs = nowMs - (facts.lastEventAtMs ?? call.arrivedAtMs);
  const patienceMs = isStream(route.kind)
    ? Math.min(leftMs, streamPatienceMs(route) - silentMs)
    : leftMs;
  const fingerprint = fingerprintIfNeeded(call, parts.board.suspects);
  return {
    askId: parts.nextAskId(),
    holderId: parts.board.members.selfId,
    callHash: callHashOf(call),
    pool: call.pool,
    workspace: workspace?.name ?? "",
    rank: rankOf(workspace?.rank ?? 0, route.rank),
    cost: facts.charged ? 0 : costOf(call),
    promptTokens: tokens?.prompt ?? 0,
    outputTokens: tokens?.output ?? 0,
    objectiveLeftMs: route.objectiveMs - spentMs,
    patienceLeftMs: patienceMs - ANSWER_PART * route.objectiveMs,
    deadlineLeftMs: leftMs,
    failureDomain: parts.failureDomain,
    excluded: excludedFor(parts, call, facts.tried),
    cause: facts.cause,
    ...(fingerprint === undefined ? undefined : { fingerprint }),
    ...(parts.board.rollouts.isInProgress(call.pool)
      ? { route: route.name }
      : undefined),
  };
}

/** Callers repeat a request unchanged; plain calls are too much alike. */
function callHashOf({ facts, method, path }: RoutedCall): number {
  return facts.prompt === undefined
    ? 0
    : hash32(`${facts.key} ${method} ${path} ${facts.prompt}`);
}

/**
 * Health is only advice: where it rules out every target, it is ignored. A
 * back-off that a target requested is kept in any case.
 */
function excludedFor(
  { board, clock }: GatewayParts,
  { pool }: RoutedCall,
  tried: ReadonlySet<string>,
): string[] {
  const nowMs = clock.nowMs();
  const { serving: usable } = board.rollouts
    .split(pool, board.targets.usable(pool, nowMs), nowMs);
  const barred = new Set([...tried, ...board.backoffs.activeIds(nowMs)]);
  const excluded = new Set([
    ...barred,
    ...board.health.paused(nowMs),
    ...board.cutDomains.unreachableTargets(usable, nowMs)
      .map(({ targetId }) => targetId),
  ]);
  const isAnyLeft = usable.some(({ targetId }) => !excluded.has(targetId));
  return [...(isAnyLeft ? excluded : barred)];
}

/** Part of a back-off over which the return of callers is spread. */
const SPREAD_SHARE = 0.25;
const HASHES = 2 ** 32;

/**
 * @param parts The instance's parts.
 * @param call A request.
 * @returns When its caller should retry, if every target of its pool asked this
 * instance to back off; absent otherwise.
 */
export function poolBackoffMs(
  { board, clock }: GatewayParts,
  { pool, facts }: RoutedCall,
): number | undefined {
  const nowMs = clock.nowMs();
  const usable = board.targets.usable(pool, nowMs);
  const activeCount = board.backoffs.activeIds(nowMs).length;
  if (usable.length === 0 || activeCount < usable.length) {
    return undefined;
  }
  const remainingMs = usable
    .map(({ targetId }) => board.backoffs.remainingMs(targetId, nowMs));
  const shortestMs = Math.min(...remainingMs);
  return shortestMs > 0
    ? shortestMs * (1 + SPREAD_SHARE * hash32(facts.requestId) / HASHES)
    : undefined;
}

/** Cost units of a request for its workspace's allotment. */
function costOf({ facts, workspace }: RoutedCall): number {
  const allotment = workspace?.allotment;
  if (allotment === undefined) {
    return 0;
  }
  if (!allotment.inTokens) {
    return 1;
  }
  const { tokens } = facts;
  return tokens === undefined
    ? allotment.plainTokens
    : tokens.prompt + tokens.output;
}
