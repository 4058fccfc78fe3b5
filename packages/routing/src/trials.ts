/**
 * Placement of requests on trial. A request with a suspect key runs apart from
 * other suspects, and from new requests while another target is free for them,
 * until its target has begun to answer it. The end of the target's process can
 * then be attributed to it.
 */

import type { CrashKeys, CrashSuspects } from "./crash_suspects.ts";
import type { PlacedWork, PlacedWorkIndex } from "./placed_work_index.ts";
import type { Candidate } from "./target_choice.ts";

/** Time from the first event after which a trial has not crashed its target. */
export const SURVIVAL_MS = 150;

/**
 * Time after which a trial without an answer no longer delays other requests;
 * its target may be silent.
 */
const MAX_TRIAL_MS = 3000;

/** Selects targets for trials, and targets beside which no trial runs. */
export class Trials {
  readonly #suspects: CrashSuspects;
  readonly #placed: PlacedWorkIndex;

  /**
   * @param suspects Suspect keys.
   * @param placed Work placed at the pool's targets.
   */
  constructor(suspects: CrashSuspects, placed: PlacedWorkIndex) {
    this.#suspects = suspects;
    this.#placed = placed;
  }

  /**
   * Selects targets that may run a request with suspect keys. Requests with the
   * same key are tried one at a time.
   *
   * @param keys Keys of the request.
   * @param free Targets with a free slot.
   * @param nowMs Current local time in milliseconds.
   * @returns Targets without another trial; those that process no prompt now if
   * there are any.
   */
  targetsForTrial(
    keys: CrashKeys,
    free: readonly Candidate[],
    nowMs: number,
  ): readonly Candidate[] {
    const pending = this.#pending(nowMs);
    const suspectKeys = new Set(this.#suspects.suspectKeysOf(keys));
    const isTried = pending.some(({ crashKeys }) =>
      this.#suspects.suspectKeysOf(crashKeys).some((key) =>
        suspectKeys.has(key)
      )
    );
    if (isTried) {
      return [];
    }
    const others = withoutTargetsOf(pending, free);
    const quiet = others.filter(({ use }) => use.tokensAhead === 0);
    return quiet.length > 0 ? quiet : others;
  }

  /**
   * Leaves out targets whose trial has not begun to be answered, as requests
   * beside it would be lost with the target.
   *
   * @param candidates Targets that may be given a request.
   * @param nowMs Current local time in milliseconds.
   * @returns The other targets; all if there are no others.
   */
  targetsBesideTrials(
    candidates: readonly Candidate[],
    nowMs: number,
  ): readonly Candidate[] {
    const unanswered = this.#pending(nowMs)
      .filter(({ firstSeen }) => !firstSeen);
    const others = withoutTargetsOf(unanswered, candidates);
    return others.length > 0 ? others : candidates;
  }

  /**
   * Lists requests on trial whose targets have gone on after the first event.
   *
   * @param nowMs Current local time in milliseconds.
   * @returns Keys of the requests.
   */
  survivors(nowMs: number): CrashKeys[] {
    return this.#placed.trials
      .filter(({ firstSeenAtMs = Infinity }) =>
        nowMs - firstSeenAtMs >= SURVIVAL_MS
      )
      .map(({ crashKeys }) => crashKeys!)
      .filter((keys) => this.#suspects.isSuspect(keys));
  }

  #pending(nowMs: number): PlacedWork[] {
    return this.#placed.trials.filter(({ placedAtMs, firstSeenAtMs }) =>
      firstSeenAtMs === undefined
        ? nowMs - placedAtMs < MAX_TRIAL_MS
        : nowMs - firstSeenAtMs < SURVIVAL_MS
    );
  }
}

function withoutTargetsOf(
  work: readonly PlacedWork[],
  candidates: readonly Candidate[],
): readonly Candidate[] {
  if (work.length === 0) {
    return candidates;
  }
  const targetIds = new Set(work.map(({ targetId }) => targetId));
  return candidates.filter(({ target }) => !targetIds.has(target.targetId));
}
