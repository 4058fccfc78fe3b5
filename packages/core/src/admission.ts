/** Admission control: the checks a request passes before it is held. */

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
import { jitteredRetryAfterMs } from "./retry_hint.ts";

/**
 * The terms on which a request is held, as resolved from its settings: the
 * values that the request leaves open come from its tier's policy and its pool.
 */
export interface Admission {
  /** Policy of the request's workspace and tier. */
  readonly policy: TierPolicy;
  /** Settings of the request's pool. */
  readonly pool: PoolSettings;
  readonly maxOutputTokens: number;
  /** Time from the request's arrival to its deadline. */
  readonly deadlineMs: number;
  /** Whether the request may run more than once. */
  readonly idempotent: boolean;
}

/** Allowed names listed in the refusal of an unknown name. */
const MAX_NAMES_LISTED = 12;
/** Shortest retry hint while this instance has no settings. */
const NOT_READY_RETRY_AFTER_MS = 1000;
const MS_PER_S = 1000;

/**
 * Checks a request against the settings and this instance's state.
 *
 * @param turn The turn in which the request arrived.
 * @param spec The request.
 * @returns The terms on which to hold the request, or the cause of its refusal.
 */
export function checkRequest(
  turn: Turn,
  spec: RequestSpec,
): Admission | RefusalCause {
  const settings = turn.board.settings.inForce;
  if (turn.board.self.leaving) {
    return refusalBeforeClaim(spec, ErrorKind.ShuttingDown, {
      message: "This instance is shutting down; send the request to another.",
      retryAfterMs: 0,
    });
  }
  if (settings === undefined) {
    return refusalBeforeClaim(spec, ErrorKind.NotReady, {
      message: "This instance has no settings yet; try again shortly.",
      retryAfterMs: jitteredRetryAfterMs(turn, NOT_READY_RETRY_AFTER_MS),
    });
  }
  if (settings.drainingInstances.has(turn.board.self.instanceId)) {
    return refusalBeforeClaim(spec, ErrorKind.ShuttingDown, {
      message: "This instance is being drained; send the request to another.",
      retryAfterMs: 0,
    });
  }
  return checkNames(settings, spec) ?? resolveAdmission(turn, spec, settings);
}

/**
 * Narrows the result of {@link checkRequest} to a refusal.
 *
 * @param checked The result of {@link checkRequest}.
 * @returns Whether the request is refused.
 */
export function isRefusal(
  checked: Admission | RefusalCause,
): checked is RefusalCause {
  return "error" in checked;
}

/**
 * Checks a request against the limits of its workspace and tier on this
 * instance, and takes one token from their rate bucket if it is within them.
 *
 * @param turn The turn in which the request arrived.
 * @param scope Key of the workspace and tier, from {@link scopeKey}, and the
 * policy that holds their limits.
 * @returns The cause of the refusal, or undefined within the limits.
 */
export function consumeLimits(
  turn: Turn,
  scope: { key: string; policy: TierPolicy },
): RefusalCause | undefined {
  const { key, policy } = scope;
  const openRequests = turn.board.requests.openByScope.get(key) ?? 0;
  if (openRequests >= policy.maxOpenRequests) {
    return notRunRefusal(ErrorKind.ConcurrencyLimited, {
      message:
        `${key} has ${openRequests} open requests here; ${policy.maxOpenRequests} are allowed.`,
      retryAfterMs: jitteredRetryAfterMs(turn, policy.retryAfterMs),
    });
  }
  const bucket = refillBucket(turn, scope);
  if (bucket.tokens < 1) {
    const untilNextTokenMs = (1 - bucket.tokens) / policy.maxRequestsPerSecond *
      MS_PER_S;
    return notRunRefusal(ErrorKind.RateLimited, {
      message:
        `${key} is over ${policy.maxRequestsPerSecond} requests a second here.`,
      retryAfterMs: jitteredRetryAfterMs(
        turn,
        Math.max(untilNextTokenMs, policy.retryAfterMs),
      ),
    });
  }
  bucket.tokens -= 1;
  return undefined;
}

/**
 * Returns the key of a request's workspace and tier in rate limits, counts of
 * open requests and messages.
 *
 * @param spec The request's workspace and tier.
 * @returns The key, as `workspace/tier`.
 */
export function scopeKey(
  spec: Pick<RequestSpec, "workspace" | "tier">,
): string {
  return `${spec.workspace}/${spec.tier}`;
}

function refillBucket(
  turn: Turn,
  scope: { key: string; policy: TierPolicy },
): RateBucket {
  const { rateBuckets } = turn.board.requests;
  const ratePerS = scope.policy.maxRequestsPerSecond;
  const bucket = rateBuckets.get(scope.key) ??
    { tokens: ratePerS, lastRefillAtMs: turn.nowMs };
  const elapsedMs = turn.nowMs - bucket.lastRefillAtMs;
  bucket.tokens = Math.min(
    ratePerS,
    bucket.tokens + elapsedMs / MS_PER_S * ratePerS,
  );
  bucket.lastRefillAtMs = turn.nowMs;
  rateBuckets.set(scope.key, bucket);
  return bucket;
}

function checkNames(
  settings: SettingsInForce,
  spec: RequestSpec,
): RefusalCause | undefined {
  if (!settings.workspaces.has(spec.workspace)) {
    return unknownNameRefusal(ErrorKind.UnknownWorkspace, {
      path: "workspace",
      found: spec.workspace,
      allowed: settings.workspaces,
    });
  }
  if (!settings.tiers.includes(spec.tier)) {
    return unknownNameRefusal(ErrorKind.UnknownTier, {
      path: "tier",
      found: spec.tier,
      allowed: settings.tiers,
    });
  }
  if (!settings.pools.has(spec.pool)) {
    return unknownNameRefusal(ErrorKind.UnknownPool, {
      path: "pool",
      found: spec.pool,
      allowed: settings.pools.keys(),
    });
  }
  return undefined;
}

function resolveAdmission(
  turn: Turn,
  spec: RequestSpec,
  settings: SettingsInForce,
): Admission | RefusalCause {
  const pool = settings.pools.get(spec.pool)!;
  const policy = settings.policyFor({
    region: turn.board.self.region,
    workspace: spec.workspace,
    tier: spec.tier,
  });
  const deadlineMs = spec.deadlineMs ?? policy.deadlineMs;
  if (deadlineMs > policy.maxDeadlineMs) {
    return notRunRefusal(ErrorKind.BadRequest, {
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
  const requiredTokens = of.spec.promptTokens + of.maxOutputTokens;
  const maxKvTokens = Math.max(
    0,
    ...[...settings.targets.values()]
      .filter((target) => target.pool === of.pool.name)
      .map((target) => target.kvTokens),
  );
  const maxTokens = Math.min(of.pool.contextTokens, maxKvTokens);
  if (requiredTokens <= maxTokens) {
    return undefined;
  }
  return notRunRefusal(ErrorKind.PromptTooLarge, {
    path: "promptTokens",
    message:
      `Prompt (${of.spec.promptTokens}) and answer (${of.maxOutputTokens}) together are ${requiredTokens} tokens; pool ${of.pool.name} holds at most ${maxTokens}.`,
  });
}

function unknownNameRefusal(
  error: ErrorKind,
  of: { path: string; found: string; allowed: Iterable<string> },
): RefusalCause {
  const names = [...of.allowed];
  const listed = names.slice(0, MAX_NAMES_LISTED).join(", ");
  const ellipsis = names.length > MAX_NAMES_LISTED ? ", …" : "";
  return notRunRefusal(error, {
    path: of.path,
    message:
      `${of.path} "${of.found}" is not in the settings; allowed: ${listed}${ellipsis}.`,
  });
}

/**
 * Returns the refusal of a request whose claim has not been read, so that it is
 * not known whether an earlier call with the same idempotency key has run.
 */
function refusalBeforeClaim(
  spec: RequestSpec,
  error: ErrorKind,
  details: Omit<RefusalCause, "error" | "ran">,
): RefusalCause {
  const ran = runStateWithoutClaim(spec, spec.idempotent ?? false);
  return { error, ran, ...details };
}

/**
 * Returns the run state to report for a request that is refused without a
 * claim.
 *
 * @param spec The request.
 * @param idempotent Whether the request may run twice.
 * @returns `MayHaveRun` where an earlier call with the same idempotency key may
 * have run the request, `NotRun` otherwise.
 */
export function runStateWithoutClaim(
  spec: RequestSpec,
  idempotent: boolean,
): RunState {
  const mayHaveRunEarlier = !idempotent && spec.idempotencyKey !== undefined &&
    !spec.firstAttempt;
  return mayHaveRunEarlier ? RunState.MayHaveRun : RunState.NotRun;
}

function notRunRefusal(
  error: ErrorKind,
  details: Omit<RefusalCause, "error" | "ran">,
): RefusalCause {
  return { error, ran: RunState.NotRun, ...details };
}
