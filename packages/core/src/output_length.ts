/** Learns how long answers are, by workspace, tier and pool. */

import type { RequestsSection } from "./blackboard.ts";
import type { RequestSpec } from "./request.ts";

/** The quantile that is learned: three answers of four are no longer. */
const QUANTILE = 0.75;
/** How far one answer moves the estimate, as a share of the estimate. */
const STEP_SHARE = 0.05;
const MAX_SCOPES = 5000;

type LengthScope = Pick<RequestSpec, "workspace" | "tier" | "pool">;

/**
 * Moves the learned quantile by one answer.
 *
 * @param requests The section that holds the estimates.
 * @param scope Where the answer belongs.
 * @param outputTokens Its length.
 */
export function learnOutputLength(
  requests: RequestsSection,
  scope: LengthScope,
  outputTokens: number,
): void {
  const { learnedOutputTokens } = requests;
  const key = lengthKey(scope);
  const estimate = learnedOutputTokens.get(key) ?? outputTokens;
  const step = Math.max(1, estimate * STEP_SHARE);
  const moved = outputTokens > estimate
    ? estimate + step * QUANTILE
    : estimate - step * (1 - QUANTILE);
  if (learnedOutputTokens.size < MAX_SCOPES || learnedOutputTokens.has(key)) {
    learnedOutputTokens.set(key, Math.max(1, moved));
  }
}

/**
 * Tells how long an answer is expected to be.
 *
 * @param requests The section that holds the estimates.
 * @param scope Where the request belongs.
 * @param fallback The settings' expectation and the request's own bound.
 * @returns Tokens, at least 1 and at most the bound.
 */
export function expectedOutputLength(
  requests: RequestsSection,
  scope: LengthScope,
  fallback: { expectedOutputTokens: number; maxOutputTokens: number },
): number {
  const learned = requests.learnedOutputTokens.get(lengthKey(scope)) ??
    fallback.expectedOutputTokens;
  return Math.max(1, Math.min(Math.round(learned), fallback.maxOutputTokens));
}

function lengthKey(scope: LengthScope): string {
  return `${scope.workspace}/${scope.tier}/${scope.pool}`;
}
