/** Which targets of a pool get requests in each phase of a roll-out. */

import { RolloutPhase } from "./rollout.ts";
import type { KnownTarget } from "./target_directory.ts";

/** Targets of a pool that get requests during a roll-out. */
export interface RolloutTargets {
  /** Targets that get the pool's requests. */
  readonly serving: readonly KnownTarget[];
  /** Targets for the next request, if a canary request is due; else none. */
  readonly canary: readonly KnownTarget[];
}

type Split = (targets: VersionedTargets) => RolloutTargets;

/** Usable targets of a pool by software version. */
export interface VersionedTargets {
  readonly old: readonly KnownTarget[];
  readonly new: readonly KnownTarget[];
  /**
   * Those of the new version for a canary request, if one is due; else none.
   */
  readonly canary: readonly KnownTarget[];
}

const NONE: readonly KnownTarget[] = [];

/** A canary version serves alone only if the old one has no usable target. */
const oldBesideCanary: Split = (targets) =>
  targets.old.length > 0
    ? { serving: targets.old, canary: targets.canary }
    : { serving: targets.new, canary: NONE };

const onlyOld: Split = ({ old }) => ({ serving: old, canary: NONE });

/** The old version only serves if the new one has no usable target. */
const newOrOld: Split = (targets) => ({
  serving: targets.new.length > 0 ? targets.new : targets.old,
  canary: NONE,
});

const SPLIT: Readonly<Record<RolloutPhase, Split>> = {
  [RolloutPhase.Pending]: oldBesideCanary,
  [RolloutPhase.Canary]: oldBesideCanary,
  [RolloutPhase.Promoting]: newOrOld,
  [RolloutPhase.Completing]: newOrOld,
  [RolloutPhase.Completed]: newOrOld,
  [RolloutPhase.RollingBack]: onlyOld,
  [RolloutPhase.RolledBack]: onlyOld,
};

/**
 * Selects the targets of a pool that get requests.
 *
 * @param phase Phase of the pool's roll-out.
 * @param targets The pool's usable targets by version.
 * @returns The serving targets, and those for a canary request.
 */
export function splitIn(
  phase: RolloutPhase,
  targets: VersionedTargets,
): RolloutTargets {
  return SPLIT[phase](targets);
}
