/** What a roll-out makes of the targets of its pool. */

import { RolloutPhase } from "./rollout.ts";
import type { KnownTarget } from "./target_directory.ts";

/** A pool's targets, by what a roll-out makes of them. */
export interface RolloutTargets {
  /** Those that get the pool's requests. */
  readonly serving: readonly KnownTarget[];
  /** Those that get the next canary request, where one is due; else none. */
  readonly canary: readonly KnownTarget[];
}

type Split = (targets: VersionedTargets) => RolloutTargets;

/** A pool's usable targets by version. */
export interface VersionedTargets {
  readonly old: readonly KnownTarget[];
  readonly new: readonly KnownTarget[];
  readonly canary: readonly KnownTarget[];
}

const NONE: readonly KnownTarget[] = [];

/** A version on trial serves alone only where the old one is gone. */
const oldBesideCanary: Split = (targets) =>
  targets.old.length > 0
    ? { serving: targets.old, canary: targets.canary }
    : { serving: targets.new, canary: NONE };

const onlyOld: Split = ({ old }) => ({ serving: old, canary: NONE });

/** Where the one version is gone, the other serves. */
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
 * @param phase How far the roll-out is.
 * @param targets The pool's targets.
 * @returns Those that serve, and those for a canary request.
 */
export function splitIn(
  phase: RolloutPhase,
  targets: VersionedTargets,
): RolloutTargets {
  return SPLIT[phase](targets);
}
