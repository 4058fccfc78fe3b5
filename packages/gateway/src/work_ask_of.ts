/** Builds a request's ask to the coordinator. */

import { hash32 } from "@chestnuthatch/core/text_hash";
import type { RoutePolicy } from "@chestnuthatch/routing/fleet_configuration";
import { rankOf } from "@chestnuthatch/routing/ranks";
import type { AskCause, WorkAsk } from "@chestnuthatch/routing/work_ask";
import { crashKeysIfNeeded } from "./crash_keys.ts";
import type { GatewayParts } from "./gateway_parts.ts";
import {
  deadlineAtMs,
  type RoutedCall,
  streamPatienceMs,
} from "./routed_call.ts";
import type { StreamAskFields } from "./stream_version.ts";
import { isStream } from "./target_attempt.ts";

/**
 * Share of the route's objective that is subtracted from the caller's patience,
 * as time for the target to answer.
 */
const ANSWER_OBJECTIVE_SHARE = 0.5;

/** State of a request that its ask depends on, besides the call itself. */
export interface AskFacts {
  readonly cause: AskCause;
  /** Whether its cost was charged to the workspace's allotment already. */
  readonly isCharged: boolean;
  /** Ids of the targets that must not receive it again. */
  readonly triedTargetIds: ReadonlySet<string>;
  /**
   * Local time at which the last event was sent to the caller, in milliseconds;
   * absent before the first.
   */
  readonly lastEventAtMs?: number;
  /** Targets at which the stream may go on. */
  readonly stream: StreamAskFields;
}

/**
 * Builds the ask for a request, with all durations counted from now.
 *
 * @param parts The instance's parts.
 * @param call The request.
 * @param facts State of the request.
 * @returns The ask, under a new id.
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
  // Callers disconnect after a long gap before any event, not only the first.
  const silentMs = nowMs - (facts.lastEventAtMs ?? call.arrivedAtMs);
  const patienceMs = isStream(route.kind)
    ? Math.min(leftMs, streamPatienceMs(route) - silentMs)
    : leftMs;
  return {
    askId: parts.nextAskId(),
    holderId: parts.board.members.selfId,
    callHash: callHashOf(call),
    pool: call.pool,
    workspace: workspace?.name ?? "",
    rank: rankOf(workspace?.rank ?? 0, route.rank),
    cost: facts.isCharged ? 0 : costOf(call),
    promptTokens: tokens?.prompt ?? 0,
    outputTokens: tokens?.output ?? 0,
    objectiveLeftMs: route.objectiveMs - spentMs,
    patienceLeftMs: patienceMs - ANSWER_OBJECTIVE_SHARE * route.objectiveMs,
    deadlineLeftMs: leftMs,
    failureDomain: parts.failureDomain,
    ...excludedTargets(parts, call, facts),
    cause: facts.cause,
    ...facts.stream,
    ...crashKeysIfNeeded(parts, call),
    ...(parts.board.rollouts.isInProgress(call.pool)
      ? { route: route.name }
      : undefined),
    ...longestGapIfNeeded(parts, route),
  };
}

/**
 * The longest gap that a route allows, which coordinators of large fleets
 * compare with those of targets in the holder's failure domain. 0 stands for a
 * route without such an aim.
 */
function longestGapIfNeeded(
  { board }: GatewayParts,
  { kind, longestGapMs }: RoutePolicy,
): Pick<WorkAsk, "longestGapMs"> | undefined {
  return !board.members.isFullMesh && isStream(kind) && longestGapMs > 0
    ? { longestGapMs }
    : undefined;
}

/**
 * Identifies a request over its caller's attempts, which repeat it unchanged.
 * Calls without a prompt are too similar to be distinguished and get 0.
 */
function callHashOf({ facts, method, path }: RoutedCall): number {
  return facts.prompt === undefined
    ? 0
    : hash32(`${facts.key} ${method} ${path} ${facts.prompt}`);
}

/**
 * Lists the targets that the request must not go to. Health and unreachable
 * failure domains are ignored if they would exclude every target, which only
 * the coordinator can tell if it has to find the version of the stream. A
 * backoff that a target requested always applies.
 */
function excludedTargets(
  { board, clock }: GatewayParts,
  { pool }: RoutedCall,
  { triedTargetIds, stream: { version, takesUp } }: AskFacts,
): Pick<WorkAsk, "excluded" | "avoided"> {
  const nowMs = clock.nowMs();
  const poolTargets = board.targets.usable(pool, nowMs);
  const usable = version === undefined
    ? board.rollouts.split(pool, poolTargets, nowMs).serving
    : poolTargets.filter((target) => target.version === version);
  const mandatory = new Set([
    ...triedTargetIds,
    ...board.backoffs.activeIds(nowMs),
  ]);
  const excluded = new Set([
    ...mandatory,
    ...board.health.paused(nowMs),
    ...board.unreachableDomains.unreachableTargets(usable, nowMs)
      .map(({ targetId }) => targetId),
  ]);
  if (takesUp) {
    const avoided = [...excluded].filter((id) => !mandatory.has(id));
    return { excluded: [...mandatory], avoided };
  }
  const isAnyEligible = usable.some(({ targetId }) => !excluded.has(targetId));
  return { excluded: [...(isAnyEligible ? excluded : mandatory)] };
}

/** Share of a backoff over which the retries of callers are spread. */
const RETRY_SPREAD_SHARE = 0.25;
const HASH_COUNT = 2 ** 32;

/**
 * Computes the retry time of a request whose whole pool is in backoff.
 *
 * @param parts The instance's parts.
 * @param call A request.
 * @returns Time in milliseconds after which its caller should retry, if every
 * target of its pool asked this instance to back off; undefined otherwise.
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
    ? shortestMs *
      (1 + RETRY_SPREAD_SHARE * hash32(facts.requestId) / HASH_COUNT)
    : undefined;
}

/** Computes the cost units that a request takes of an allotment. */
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
