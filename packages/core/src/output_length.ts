/**
 * Learns how long answers are: by workspace, tier and pool, and by the size of
 * the prompt and of the answer asked for, since one tier may hold short
 * questions and long documents.
 */

import type { RequestsSection } from "./blackboard.ts";
import type { RequestSpec } from "./request.ts";

/** The quantile that is learned: three answers of four are no longer. */
const QUANTILE = 0.75;
/** How far one answer moves the estimate, as a share of the estimate. */
const STEP_SHARE = 0.05;
const MAX_SCOPES = 5000;

/** What an answer's length is learned by. */
export type LengthScope =
  & Pick<RequestSpec, "workspace" | "tier" | "pool" | "promptTokens">
  & { readonly maxOutputTokens: number };

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
 * @param fallbackTokens What the settings expect.
 * @returns Tokens, at least 1 and at most the bound.
 */
export function expectedOutputLength(
  requests: RequestsSection,
  scope: LengthScope,
  fallbackTokens: number,
): number {
  const learned = requests.learnedOutputTokens.get(lengthKey(scope)) ??
    fallbackTokens;
  return Math.max(1, Math.min(Math.round(learned), scope.maxOutputTokens));
}

function lengthKey(scope: LengthScope): string {
  const promptClass = Math.ceil(Math.log2(scope.promptTokens + 1) / 2);
  const answerClass = Math.ceil(Math.log2(scope.maxOutputTokens + 1));
  const owner = `${scope.workspace}/${scope.tier}/${scope.pool}`;
  return `${owner}/${promptClass}/${answerClass}`;
}
