/** Runs one seed of the soak and checks it. */

import { type CallRecord, SoakCallers } from "./soak_callers.ts";
import { type BrokenPromise, findBrokenPromises } from "./soak_checks.ts";
import {
  injectAnswerEnd,
  injectCut,
  injectFault,
  injectSilence,
} from "./soak_faults.ts";
import { SoakFleet } from "./soak_fleet.ts";
import type { SoakPlan } from "./soak_plan.ts";
import { applyLoads } from "./soak_loads.ts";
import { findUnrecovered, isServed } from "./soak_recovery.ts";
import { findExcessRepeats } from "./soak_repeats.ts";
import { SoakRollout } from "./soak_rollout.ts";
import { SoakSignals } from "./soak_signals.ts";
import { addVersion, countTakenUp, findMixedStreams } from "./soak_streams.ts";
import { SoakVersions } from "./soak_versions.ts";

/** Counts of a seed's calls by result, with broken promises and logs. */
export interface SoakOutcome {
  readonly calls: number;
  readonly wholeAnswers: number;
  readonly refused: number;
  /** Calls without any answer, each of them excused or reported in `broken`. */
  readonly unanswered: number;
  /** Attempts that took a broken stream up, and those that went on. */
  readonly takenUp: number;
  readonly wentOn: number;
  readonly broken: readonly BrokenPromise[];
  /** Log lines of the instances, by id. */
  readonly logs: ReadonlyMap<string, readonly string[]>;
}

/**
 * Runs a seed.
 *
 * @param plan Fleet, load and faults of the seed.
 * @returns Results of its calls and checks.
 */
export async function runSoak(plan: SoakPlan): Promise<SoakOutcome> {
  const fleet = new SoakFleet();
  const callers = new SoakCallers(plan.seed);
  let versions: SoakVersions | undefined;
  try {
    await fleet.start(plan);
    const rollout = plan.rollout && new SoakRollout(fleet, plan.rollout);
    const signals = new SoakSignals(fleet, plan.signals);
    versions = new SoakVersions(fleet);
    const faults = Promise.all([
      ...plan.faults.map((fault) => injectFault(fleet, fault)),
      ...plan.silences.map((silence) => injectSilence(fleet, silence)),
      ...plan.versions.map((version) => addVersion(fleet, version)),
      ...plan.streamEnds.map((end) => injectAnswerEnd(fleet, end)),
      ...plan.cuts.map((cut) => injectCut(fleet, cut)),
      rollout?.run(),
      signals.run(),
      applyLoads(plan, fleet, callers),
    ]);
    await callers.run(plan, fleet, faults);
    await faults;
    await callers.waitUntilSettled();
    const { records } = callers;
    const { targets, instances, minimums } = fleet;
    const broken = findBrokenPromises({
      records,
      targets,
      instances,
      minimums,
    });
    broken.push(...signals.findBroken(records));
    broken.push(...findMixedStreams(records));
    broken.push(...findExcessRepeats(plan, { records, targets }));
    broken.push(...await versions.findLateVersions());
    broken.push(...await findUnrecovered(fleet, callers));
    broken.push(...(rollout?.findBroken() ?? []));
    return {
      calls: records.length,
      wholeAnswers: records.filter(isServed).length,
      refused: records.filter(isRefused).length,
      ...countTakenUp(records),
      unanswered: records.filter(({ result }) => result!.status === 0).length,
      broken,
      logs: new Map(fleet.instances.map(({ id, logLines }) => [id, logLines])),
    };
  } finally {
    callers.close();
    versions?.close();
    await fleet.close();
  }
}

function isRefused({ result }: CallRecord): boolean {
  return result?.status === 429 || result?.status === 503;
}
