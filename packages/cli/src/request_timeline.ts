/** Merges the records of several instances about one request. */

import type { DecisionEntry } from "@chestnuthatch/core/decision_log";
import type { InstanceExplanation } from "./instance_queries.ts";

/** One step in the processing of a request, recorded by one instance. */
export interface TimelineStep {
  readonly instanceId: string;
  /**
   * Milliseconds since the first step of the same instance. Clocks of different
   * instances are never compared.
   */
  readonly sinceFirstMs: number;
  /** Name of the controller that recorded the step. */
  readonly by: string;
  readonly text: string;
}

/** Steps of one request across instances; printed as JSON. */
export interface RequestTimeline {
  readonly requestId: string;
  /** Instance that accepted it from its caller; absent if it was not found. */
  readonly holderId?: string;
  /** Record of the holder; absent if it was not found. */
  readonly holder?: InstanceExplanation["explanation"];
  readonly steps: readonly TimelineStep[];
}

/**
 * Merges explanations of a request into one timeline. The steps of the holder
 * keep their order. The steps of another instance are inserted before the
 * holder's first step that names that instance, since that step resulted from
 * a message of that instance.
 *
 * @param requestId Id of the request.
 * @param explanations Records of the request, one for each instance.
 * @returns The timeline.
 */
export function mergeExplanations(
  requestId: string,
  explanations: readonly InstanceExplanation[],
): RequestTimeline {
  const holder = explanations.find(({ explanation }) =>
    explanation.state !== undefined
  );
  const others = explanations.filter((explanation) => explanation !== holder);
  let steps = holder === undefined ? [] : timelineSteps(holder);
  for (const other of others) {
    steps = insertSteps(steps, other);
  }
  return {
    requestId,
    holderId: holder?.instanceId,
    holder: holder?.explanation,
    steps,
  };
}

function timelineSteps(
  { instanceId, explanation }: InstanceExplanation,
): TimelineStep[] {
  const firstAtMs = explanation.decisions.at(0)?.atMs ?? 0;
  return explanation.decisions.map(({ atMs, by, text }: DecisionEntry) => ({
    instanceId,
    sinceFirstMs: atMs - firstAtMs,
    by,
    text,
  }));
}

function insertSteps(
  steps: readonly TimelineStep[],
  other: InstanceExplanation,
): TimelineStep[] {
  const namingIndex = steps.findIndex(({ instanceId, text }) =>
    instanceId !== other.instanceId && text.includes(other.instanceId)
  );
  const insertIndex = namingIndex < 0 ? steps.length : namingIndex;
  return [
    ...steps.slice(0, insertIndex),
    ...timelineSteps(other),
    ...steps.slice(insertIndex),
  ];
}
