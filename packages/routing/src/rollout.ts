/**
 * Roll-outs (progressive deployments) of a new software version of a pool's
 * targets: orders, phases and the states that operators see.
 */

/** Phases of a roll-out. */
export enum RolloutPhase {
  /** The order is known, but no target of the new version. */
  Pending = "pending",
  /** A small part of the pool's requests goes to the new version. */
  Canary = "canary",
  /** All new work goes to the new version; targets of the old one drain. */
  Promoting = "promoting",
  /** The success is being written; old targets may stop once it is. */
  Completing = "completing",
  /** The success is written to the store. */
  Completed = "completed",
  /** The new version gets no more work; the failure is being written. */
  RollingBack = "rolling_back",
  /** The failure is written to the store. */
  RolledBack = "rolled_back",
}

/** An operator's order to move a pool to another version. */
export interface RolloutOrder {
  readonly pool: string;
  /** The new software version. */
  readonly version: string;
  /** Time from the order within which the roll-out should complete. */
  readonly withinMs: number;
  /**
   * Version of the store's row with the order; later orders have higher ones.
   */
  readonly rowVersion: number;
}

/** How the newest order of a version ended, before a later order. */
export interface EarlierOrder
  extends Pick<RolloutOrder, "version" | "rowVersion"> {
  readonly phase: RolloutPhase;
}

/** A roll-out's order and phase, as instances exchange and store them. */
export interface RolloutUpdate extends RolloutOrder {
  readonly phase: RolloutPhase;
  /** Time since the order. */
  readonly ageMs: number;
  /** Earlier orders of other versions for the pool; absent if there are none. */
  readonly earlier?: readonly EarlierOrder[];
}

/** State of a roll-out as operators see it. */
export enum RolloutState {
  Running = "running",
  Completed = "completed",
  RolledBack = "rolled_back",
}

/** State that operators see in each phase. */
export const STATE_OF: Readonly<Record<RolloutPhase, RolloutState>> = {
  [RolloutPhase.Pending]: RolloutState.Running,
  [RolloutPhase.Canary]: RolloutState.Running,
  [RolloutPhase.Promoting]: RolloutState.Running,
  [RolloutPhase.Completing]: RolloutState.Completed,
  [RolloutPhase.Completed]: RolloutState.Completed,
  [RolloutPhase.RollingBack]: RolloutState.RolledBack,
  [RolloutPhase.RolledBack]: RolloutState.RolledBack,
};

/** Phase of a roll-out whose state was read from the store; none if it runs. */
export const WRITTEN_PHASE: Readonly<
  Record<RolloutState, RolloutPhase | undefined>
> = {
  [RolloutState.Running]: undefined,
  [RolloutState.Completed]: RolloutPhase.Completed,
  [RolloutState.RolledBack]: RolloutPhase.RolledBack,
};

/**
 * Order of the phases. A roll-out only moves to a phase with a higher number,
 * so that instances converge whatever the order of updates.
 */
const PHASE_ORDER: Readonly<Record<RolloutPhase, number>> = {
  [RolloutPhase.Pending]: 0,
  [RolloutPhase.Canary]: 1,
  [RolloutPhase.Promoting]: 2,
  [RolloutPhase.Completing]: 3,
  [RolloutPhase.RollingBack]: 3,
  [RolloutPhase.Completed]: 4,
  [RolloutPhase.RolledBack]: 4,
};

/**
 * Compares phases by the order in which a roll-out goes through them.
 *
 * @param phase A phase.
 * @param other The phase to compare it with.
 * @returns Whether `phase` comes after `other`.
 */
export function isLater(phase: RolloutPhase, other: RolloutPhase): boolean {
  return PHASE_ORDER[phase] > PHASE_ORDER[other];
}

/**
 * @param phase A phase.
 * @returns Whether the phase is the last one, in which the outcome is written.
 */
export function isFinal(phase: RolloutPhase): boolean {
  return PHASE_ORDER[phase] === PHASE_ORDER[RolloutPhase.Completed];
}
