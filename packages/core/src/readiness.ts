/** Readiness: whether the load balancer may route callers to this instance. */

import type { Blackboard } from "./blackboard.ts";

/** Whether an instance is ready for callers, with the reasons against it. */
export interface Readiness {
  readonly ready: boolean;
  readonly reasons: string[];
}

/**
 * Determines whether the instance is ready for callers.
 *
 * @param board The instance's state.
 * @returns The readiness; `reasons` is empty when `ready` is true.
 */
export function readinessOf(board: Blackboard): Readiness {
  const { self, settings, members } = board;
  const checks: readonly [boolean, string][] = [
    [settings.inForce === undefined, "no settings in force"],
    [self.leaving, "shutting down"],
    [
      settings.inForce?.drainingInstances.has(self.instanceId) === true,
      "drained by its operators",
    ],
    [
      members.byId.get(self.instanceId)?.listedLeaving === true,
      "listed as leaving by the platform",
    ],
  ];
  const reasons = checks.filter(([applies]) => applies).map(([, text]) => text);
  return { ready: reasons.length === 0, reasons };
}
