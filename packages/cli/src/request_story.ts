/** Merges what several instances remember of one request. */

import type { DecisionEntry } from "@chestnuthatch/core/decision_log";
import type { InstanceStory } from "./instance_reads.ts";

/** One step of a request, as one instance noted it. */
export interface StoryStep {
  readonly instanceId: string;
  /** Since that instance's first step; clocks are never compared. */
  readonly sinceFirstMs: number;
  readonly by: string;
  readonly text: string;
}

/** The story of one request. */
export interface MergedStory {
  readonly requestId: string;
  /** Who took it from its caller; absent where that instance was not found. */
  readonly holderId?: string;
  readonly holder?: InstanceStory["story"];
  readonly steps: readonly StoryStep[];
}

/**
 * Merges stories. The holder's steps keep their order. Another instance's
 * steps stand before the holder's step that first names that instance, which
 * it took on that instance's word.
 *
 * @param requestId The request.
 * @param stories What instances remember of it.
 * @returns One story.
 */
export function mergeStories(
  requestId: string,
  stories: readonly InstanceStory[],
): MergedStory {
  const holder = stories.find(({ story }) => story.state !== undefined);
  const others = stories.filter((story) => story !== holder);
  let steps = holder === undefined ? [] : stepsOf(holder);
  for (const other of others) {
    steps = withSteps(steps, other);
  }
  return {
    requestId,
    holderId: holder?.instanceId,
    holder: holder?.story,
    steps,
  };
}

function stepsOf({ instanceId, story }: InstanceStory): StoryStep[] {
  const firstAtMs = story.decisions.at(0)?.atMs ?? 0;
  return story.decisions.map(({ atMs, by, text }: DecisionEntry) => ({
    instanceId,
    sinceFirstMs: atMs - firstAtMs,
    by,
    text,
  }));
}

function withSteps(
  steps: readonly StoryStep[],
  other: InstanceStory,
): StoryStep[] {
  const naming = steps.findIndex(({ instanceId, text }) =>
    instanceId !== other.instanceId && text.includes(other.instanceId)
  );
  const at = naming < 0 ? steps.length : naming;
  return [...steps.slice(0, at), ...stepsOf(other), ...steps.slice(at)];
}
