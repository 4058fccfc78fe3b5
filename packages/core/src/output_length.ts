/**
 * Estimates of output lengths by workspace, tier and pool, and by the size of
 * the prompt and of the requested output, since one tier may serve both short
 * questions and long documents.
 */

import type { RequestsSection } from "./blackboard.ts";
import type { RequestSpec } from "./request.ts";

/** The estimated quantile: three outputs of four are no longer. */
const LEARNED_QUANTILE = 0.75;
/** Step by which one output moves the estimate, as a share of the estimate. */
const STEP_SHARE = 0.05;
/** Bound of the estimates kept; scopes beyond it get none. */
const MAX_SCOPES = 5000;

/** The properties of a request by which its output length is estimated. */
export type OutputLengthScope =
  & Pick<RequestSpec, "workspace" | "tier" | "pool" | "promptTokens">
  & { readonly maxOutputTokens: number };

/**
 * Updates the estimated quantile of a scope with the length of one output.
 *
 * @param requests The section of the blackboard that holds the estimates.
 * @param scope The scope of the ended request.
 * @param outputTokens Length of its output in tokens.
 */
export function recordOutputLength(
  requests: RequestsSection,
  scope: OutputLengthScope,
  outputTokens: number,
): void {
  const { learnedOutputTokens } = requests;
  const key = scopeKeyOf(scope);
  const estimate = learnedOutputTokens.get(key) ?? outputTokens;
  const step = Math.max(1, estimate * STEP_SHARE);
  const updated = outputTokens > estimate
    ? estimate + step * LEARNED_QUANTILE
    : estimate - step * (1 - LEARNED_QUANTILE);
  if (learnedOutputTokens.size < MAX_SCOPES || learnedOutputTokens.has(key)) {
    learnedOutputTokens.set(key, Math.max(1, updated));
  }
}

/**
 * Returns the expected output length of a request.
 *
 * @param requests The section of the blackboard that holds the estimates.
 * @param scope The scope of the request.
 * @param fallbackTokens Expected length by the settings, in tokens, for scopes
 * without an estimate.
 * @returns The number of tokens, from 1 to the request's `maxOutputTokens`.
 */
export function expectedOutputLength(
  requests: RequestsSection,
  scope: OutputLengthScope,
  fallbackTokens: number,
): number {
  const expectedTokens = requests.learnedOutputTokens.get(scopeKeyOf(scope)) ??
    fallbackTokens;
  return Math.max(
    1,
    Math.min(Math.round(expectedTokens), scope.maxOutputTokens),
  );
}

function scopeKeyOf(scope: OutputLengthScope): string {
  const promptSizeClass = Math.ceil(Math.log2(scope.promptTokens + 1) / 2);
  const outputSizeClass = Math.ceil(Math.log2(scope.maxOutputTokens + 1));
  const owner = `${scope.workspace}/${scope.tier}/${scope.pool}`;
  return `${owner}/${promptSizeClass}/${outputSizeClass}`;
}
