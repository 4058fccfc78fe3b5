/** What can be switched off in placement, so that its worth can be measured. */

/** Switches of the coordinator's and the target controller's policy. */
export interface CoordinatorOptions {
  /** Whether cached prompt prefixes count in predictions. */
  readonly affinity: boolean;
}

/** What holds where nothing else is said. */
export const DEFAULT_COORDINATOR_OPTIONS: CoordinatorOptions = {
  affinity: true,
};
