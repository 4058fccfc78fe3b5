/** What is checked at the door before a request is held. */

import {
  ErrorKind,
  RunState,
  TargetKind,
} from "@chestnuthatch/wire/shared_types";
import type {
  PoolSettings,
  SettingsInForce,
  TierPolicy,
} from "@chestnuthatch/settings/settings_types";
import type { RateBucket } from "./blackboard.ts";
import type { Turn } from "./controller.ts";
import type { RefusalCause } from "./refusals.ts";
import type { RequestSpec } from "./request.ts";
import { spreadRetryHint } from "./retry_hint.ts";

/** A request that may be held, with what the settings say of it. */
export interface Admitted {
  readonly policy: TierPolicy;
  readonly pool: PoolSettings;
  readonly maxOutputTokens: number;
  readonly deadlineMs: number;
  readonly idempotent: boolean;
}

const MAX_NAMES_TOLD = 12;
const NOT_READY_RETRY_MS = 1000;
const MS_PER_S = 1000;

/**
 * Checks a request against the settings and this instance's state.
 *
 * @param turn The turn it arrived in.
 * @param spec The request.
 * @returns What to hold it by, or why it is refused.
 */
export function checkRequest(
  turn: Turn,
  spec: RequestSpec,
): Admitted | RefusalCause {
  const settings = turn.board.settings.inForce;
  if (turn.board.self.leaving) {
    return unread(spec, ErrorKind.ShuttingDown, {
      message: "This instance is shutting down; send the request to another.",
      retryAfterMs: 0,
    });
  }
  if (settings === undefined) {
    return unread(spec, ErrorKind.NotReady, {
      message: "This instance has no settings yet; try again shortly.",
      retryAfterMs: spreadRetryHint(turn, NOT_READY_RETRY_MS),
    });
  }
  if (settings.drainingInstances.has(turn.board.self.instanceId)) {
    return unread(spec, ErrorKind.ShuttingDown, {
      message: "This instance is being drained; send the request to another.",
      retryAfterMs: 0,
    });
  }
  return checkNames(settings, spec) ?? admit(turn, spec, settings);
}

/**
 * Tells a refusal from an admission.
 *
 * @param checked What {@link checkRequest} returned.
 * @returns True for a refusal.
 */
export function isRefusal(
  checked: Admitted | RefusalCause,
): checked is RefusalCause {
  return "error" in checked;
}

/**
 * Takes one request out of its workspace's and tier's limits.
 *
 * @param turn The turn it arrived in.
 * @param scope Name of the workspace and tier, and their policy.
 * @returns Why it is refused, or nothing when it is within the limits.
 */
export function checkLimits(
  turn: Turn,
  scope: { key: string; policy: TierPolicy },
): RefusalCause | undefined {
  const { key, policy } = scope;
  const open = turn.board.requests.openByScope.get(key) ?? 0;
  if (open >= policy.maxOpenRequests) {
    return notRun(ErrorKind.ConcurrencyLimited, {
      message:
        `${key} has ${open} open requests here; ${policy.maxOpenRequests} are allowed.`,
      retryAfterMs: spreadRetryHint(turn, policy.retryAfterMs),
    });
  }
  const bucket = filledBucket(turn, scope);
  if (bucket.tokens < 1) {
    const untilNextMs = (1 - bucket.tokens) / policy.maxRequestsPerSecond *
      MS_PER_S;
    return notRun(ErrorKind.RateLimited, {
      message:
        `${key} is over ${policy.maxRequestsPerSecond} requests a second here.`,
      retryAfterMs: spreadRetryHint(
        turn,
        Math.max(untilNextMs, policy.retryAfterMs),
      ),
    });
  }
  bucket.tokens -= 1;
  return undefined;
}

/**
 * Names a workspace's tier in limits, learned lengths and messages.
 *
 * @param spec The request.
 * @returns The name.
 */
export function scopeKey(
  spec: Pick<RequestSpec, "workspace" | "tier">,
): string {
  return `${spec.workspace}/${spec.tier}`;
}

function filledBucket(
  turn: Turn,
  scope: { key: string; policy: TierPolicy },
): RateBucket {
  const { rateBuckets } = turn.board.requests;
  const perSecond = scope.policy.maxRequestsPerSecond;
  const bucket = rateBuckets.get(scope.key) ??
    { tokens: perSecond, filledAtMs: turn.nowMs };
  const sinceMs = turn.nowMs - bucket.filledAtMs;
  bucket.tokens = Math.min(
    perSecond,
    bucket.tokens + sinceMs / MS_PER_S * perSecond,
  );
  bucket.filledAtMs = turn.nowMs;
  rateBuckets.set(scope.key, bucket);
  return bucket;
}

function checkNames(
  settings: SettingsInForce,
  spec: RequestSpec,
): RefusalCause | undefined {
  if (!settings.workspaces.has(spec.workspace)) {
    return unknownName(ErrorKind.UnknownWorkspace, {
      path: "workspace",
      found: spec.workspace,
      allowed: settings.workspaces,
    });
  }
  if (!settings.tiers.includes(spec.tier)) {
    return unknownName(ErrorKind.UnknownTier, {
      path: "tier",
      found: spec.tier,
      allowed: settings.tiers,
    });
  }
  if (!settings.pools.has(spec.pool)) {
    return unknownName(ErrorKind.UnknownPool, {
      path: "pool",
      found: spec.pool,
      allowed: settings.pools.keys(),
    });
  }
  return undefined;
}

function admit(
  turn: Turn,
  spec: RequestSpec,
  settings: SettingsInForce,
): Admitted | RefusalCause {
  const pool = settings.pools.get(spec.pool)!;
  const policy = settings.policyFor({
    region: turn.board.self.region,
    workspace: spec.workspace,
    tier: spec.tier,
  });
  const deadlineMs = spec.deadlineMs ?? policy.deadlineMs;
  if (deadlineMs > policy.maxDeadlineMs) {
    return notRun(ErrorKind.BadRequest, {
      path: "deadlineMs",
      message:
        `deadlineMs is ${deadlineMs}; at most ${policy.maxDeadlineMs} is allowed.`,
    });
  }
  const maxOutputTokens = spec.maxOutputTokens ?? policy.maxOutputTokens;
  return checkSize(settings, { spec, pool, maxOutputTokens }) ?? {
    policy,
    pool,
    maxOutputTokens,
    deadlineMs,
    idempotent: spec.idempotent ?? pool.idempotentByDefault,
  };
}

function checkSize(
  settings: SettingsInForce,
  of: { spec: RequestSpec; pool: PoolSettings; maxOutputTokens: number },
): RefusalCause | undefined {
  if (of.pool.kind !== TargetKind.Engine) {
    return undefined;
  }
  const wanted = of.spec.promptTokens + of.maxOutputTokens;
  const largest = Math.max(
    0,
    ...[...settings.targets.values()]
      .filter((target) => target.pool === of.pool.name)
      .map((target) => target.kvTokens),
  );
  const allowed = Math.min(of.pool.contextTokens, largest);
  if (wanted <= allowed) {
    return undefined;
  }
  return notRun(ErrorKind.PromptTooLarge, {
    path: "promptTokens",
    message:
      `Prompt (${of.spec.promptTokens}) and answer (${of.maxOutputTokens}) together are ${wanted} tokens; pool ${of.pool.name} holds at most ${allowed}.`,
  });
}

function unknownName(
  error: ErrorKind,
  of: { path: string; found: string; allowed: Iterable<string> },
): RefusalCause {
  const names = [...of.allowed];
  const told = names.slice(0, MAX_NAMES_TOLD).join(", ");
  const more = names.length > MAX_NAMES_TOLD ? ", …" : "";
  return notRun(error, {
    path: of.path,
    message:
      `${of.path} "${of.found}" is not in the settings; allowed: ${told}${more}.`,
  });
}

/** Refuses before it is known whether the key of the request ran elsewhere. */
function unread(
  spec: RequestSpec,
  error: ErrorKind,
  rest: Omit<RefusalCause, "error" | "ran">,
): RefusalCause {
  const ran = runStateUnclaimed(spec, spec.idempotent ?? false);
  return { error, ran, ...rest };
}

/**
 * Tells what is known of a request that was refused without a claim.
 *
 * @param spec The request.
 * @param idempotent Whether it may run twice.
 * @returns Not run, but for a key that an earlier call may have run.
 */
export function runStateUnclaimed(
  spec: RequestSpec,
  idempotent: boolean,
): RunState {
  const keyInDoubt = !idempotent && spec.idempotencyKey !== undefined &&
    !spec.firstAttempt;
  return keyInDoubt ? RunState.MayHaveRun : RunState.NotRun;
}

function notRun(
  error: ErrorKind,
  rest: Omit<RefusalCause, "error" | "ran">,
): RefusalCause {
  return { error, ran: RunState.NotRun, ...rest };
}
