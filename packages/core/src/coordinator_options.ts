/** Options that disable parts of the placement policy for comparison runs. */

/** Options of the coordinator and of the target controller. */
export interface CoordinatorOptions {
  /** Whether predicted service times account for cached prompt prefixes. */
  readonly affinity: boolean;
}

/** Options in force unless others are given: the whole policy is enabled. */
export const DEFAULT_COORDINATOR_OPTIONS: CoordinatorOptions = {
  affinity: true,
};
