/** Roll-outs of a pool's new software version: what is ordered, and how far it is. */

/** How far a roll-out has come. */
export enum RolloutPhase {
  /** Ordered; no target of the new version is known yet. */
  Pending = "pending",
  /** A small part of the pool's requests goes to the new version. */
  Canary = "canary",
  /** All new work goes to the new version; the old one finishes what it has. */
  Promoting = "promoting",
  /** The outcome is being written, after which old targets may stop any time. */
  Completing = "completing",
  Completed = "completed",
  /** The new version gets nothing more; the outcome is being written. */
  RollingBack = "rolling_back",
  RolledBack = "rolled_back",
}

/** What the operators ordered. */
export interface RolloutOrder {
  readonly pool: string;
  /** Version that the pool's requests are to move to. */
  readonly version: string;
  /** Time from the order within which the roll-out is to be over. */
  readonly withinMs: number;
  /** Version of the row that ordered it; a later order has a higher one. */
  readonly rowVersion: number;
}

/** What one instance tells another, or the fleet recorded, of a roll-out. */
export interface RolloutNews extends RolloutOrder {
  readonly phase: RolloutPhase;
  /** How long ago it was ordered. */
  readonly ageMs: number;
}

/** What is told to the operators. */
export enum RolloutState {
  Running = "running",
  Completed = "completed",
  RolledBack = "rolled_back",
}

/** What the operators are to read in each phase. */
export const STATE_OF: Readonly<Record<RolloutPhase, RolloutState>> = {
  [RolloutPhase.Pending]: RolloutState.Running,
  [RolloutPhase.Canary]: RolloutState.Running,
  [RolloutPhase.Promoting]: RolloutState.Running,
  [RolloutPhase.Completing]: RolloutState.Completed,
  [RolloutPhase.Completed]: RolloutState.Completed,
  [RolloutPhase.RollingBack]: RolloutState.RolledBack,
  [RolloutPhase.RolledBack]: RolloutState.RolledBack,
};

/** Phase in which an outcome is known to be written. */
export const WRITTEN_PHASE: Readonly<
  Record<RolloutState, RolloutPhase | undefined>
> = {
  [RolloutState.Running]: undefined,
  [RolloutState.Completed]: RolloutPhase.Completed,
  [RolloutState.RolledBack]: RolloutPhase.RolledBack,
};

/** A roll-out only ever goes on to a phase of a higher step. */
const STEP: Readonly<Record<RolloutPhase, number>> = {
  [RolloutPhase.Pending]: 0,
  [RolloutPhase.Canary]: 1,
  [RolloutPhase.Promoting]: 2,
  [RolloutPhase.Completing]: 3,
  [RolloutPhase.RollingBack]: 3,
  [RolloutPhase.Completed]: 4,
  [RolloutPhase.RolledBack]: 4,
};

/**
 * @param phase A phase.
 * @param other Another.
 * @returns Whether the first is further on than the second.
 */
export function isFurther(phase: RolloutPhase, other: RolloutPhase): boolean {
  return STEP[phase] > STEP[other];
}

/**
 * @param phase A phase.
 * @returns Whether the outcome is written, so that nothing follows.
 */
export function isFinal(phase: RolloutPhase): boolean {
  return STEP[phase] === STEP[RolloutPhase.Completed];
}
