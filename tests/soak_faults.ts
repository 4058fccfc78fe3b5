/** Injects the faults of the soak and ends them. */

import { setTimeout as pause } from "node:timers/promises";
import { LinkMode } from "@chestnuthatch/platform/standin_link";
import { TargetBehavior } from "@chestnuthatch/platform/target_behavior";
import { type SoakFleet, type SoakTarget, startAll } from "./soak_fleet.ts";
import type { SoakInstance, TimeSpan } from "./soak_instance.ts";
import { type PlannedFault, SoakFault } from "./soak_plan.ts";
import type { PlannedCut } from "./soak_cut_plan.ts";
import type { PlannedAnswerEnd } from "./soak_answer_end_plan.ts";
import {
  InstanceDisturbance,
  type PlannedSilence,
} from "./soak_silence_plan.ts";

/** A fault, and the parts of the fleet that it concerns. */
interface FaultContext {
  readonly fleet: SoakFleet;
  readonly fault: PlannedFault;
  readonly instance: SoakInstance;
  /** Several instances: at most half of the fleet, but at least one. */
  readonly several: readonly SoakInstance[];
  readonly target: SoakTarget;
}

const SLOW_LINK_MS = 60;

/**
 * Interval of restarts or versions in a series: shorter than a restart takes,
 * or a version until it is in force.
 */
const SERIES_GAP_MS = 150;

/** Largest share of a fleet that a fault of several instances concerns. */
const SEVERAL_SHARE = 0.5;

const FAULT_ACTIONS: Readonly<
  Record<SoakFault, (context: FaultContext) => Promise<void>>
> = {
  [SoakFault.InstanceKilled]: ({ instance, fault }) =>
    killFor([instance], fault),
  [SoakFault.AllInstancesKilled]: ({ fleet, fault }) =>
    killFor(fleet.instances, fault),
  [SoakFault.InstancePaused]: ({ instance, fault }) =>
    pauseFor(instance, fault.forMs),
  [SoakFault.InstanceRestarted]: ({ instance, fault }) =>
    restartInstance(instance, fault),
  [SoakFault.InstanceReloaded]: async ({ instance, fault }) => {
    await Promise.resolve(changeAndReload(instance, fault.forMs));
  },
  [SoakFault.InstanceReloadedWhileStopping]: async (context) => {
    const { fleet, instance, fault } = context;
    const restart = restartInstance(instance, fault);
    await pause(fault.forMs);
    changeAndReload(instance, fault.forMs);
    fleet.applyChange(fault.change);
    await pause(fault.forMs);
    changeAndReload(instance, fault.forMs + 1);
    await restart;
  },
  [SoakFault.InstanceStoppedTwice]: async ({ instance, fault }) => {
    const restart = restartInstance(instance, fault);
    await pause(fault.forMs);
    await Promise.all([restart, restartInstance(instance, fault)]);
  },
  [SoakFault.InstancesRestartedTogether]: async ({ several, fault }) => {
    await Promise.all(several.map((instance) => instance.stop()));
    await startAll(several, fault.clockSkewMs);
  },
  [SoakFault.InstancesRestartedInTurn]: async ({ several, fault }) => {
    await Promise.all(several.map(async (instance, index) => {
      await pause(index * SERIES_GAP_MS);
      await restartInstance(instance, fault);
    }));
  },
  [SoakFault.TargetLinkReset]: (context) =>
    recordTargetFault(context, () => context.target.relay.reset()),
  [SoakFault.TargetLinkCut]: (context) =>
    disturbTargetFor(context, () => context.target.relay.cut()),
  [SoakFault.TargetLinkSilent]: (context) =>
    disturbTargetFor(context, () => context.target.relay.freeze()),
  [SoakFault.TargetAnswersHeld]: (context) =>
    disturbTargetFor(context, () => context.target.relay.holdInbound()),
  [SoakFault.TargetRequestsHeld]: (context) =>
    disturbTargetFor(context, () => context.target.relay.holdOutbound()),
  [SoakFault.TargetLinkSlow]: async ({ target, fault }) => {
    target.relay.setDelay(SLOW_LINK_MS);
    await pause(fault.forMs);
    target.relay.setDelay(0);
  },
  [SoakFault.TargetMisbehaves]: (context) =>
    recordTargetFault(context, async () => {
      const { target } = context.target;
      target.behavior = context.fault.behavior;
      await pause(context.fault.forMs);
      target.behavior = TargetBehavior.Serve;
    }),
  [SoakFault.TargetLeaves]: async ({ fleet, target }) => {
    await Promise.resolve(fleet.markLeaving(target));
  },
  [SoakFault.StoreLinkReset]: async ({ fleet }) => {
    await fleet.store.resetLink();
  },
  [SoakFault.StoreLinkCut]: async ({ fleet, fault }) => {
    await recordSpan(fleet.storeFaultSpans, async () => {
      await fleet.store.cutLink();
      await pause(fault.forMs);
      await fleet.store.healLink();
    });
  },
  [SoakFault.StoreLinkSilent]: async ({ fleet, fault }) => {
    await recordSpan(fleet.storeFaultSpans, async () => {
      await fleet.store.freezeLink();
      await pause(fault.forMs);
      await fleet.store.healLink();
    });
  },
  [SoakFault.StoreBusy]: async ({ fleet, fault }) => {
    await recordSpan(fleet.storeFaultSpans, async () => {
      await fleet.store.rejectCalls();
      await pause(fault.forMs);
      await fleet.store.serveCalls();
    });
  },
  [SoakFault.StoreHistoryLost]: async ({ fleet }) => {
    await fleet.store.discardHistory();
  },
  [SoakFault.ConfigurationChanged]: async ({ fleet, fault }) => {
    await Promise.resolve(fleet.applyChange(fault.change));
  },
  [SoakFault.ConfigurationsInSeries]: async ({ fleet, fault }) => {
    for (let version = 0; version < fault.count; version++) {
      if (version % 2 === 0) {
        fleet.applyChange(fault.change);
      } else {
        fleet.configure();
      }
      await pause(SERIES_GAP_MS);
    }
  },
};

/**
 * Injects a fault at its start time.
 *
 * @param fleet Fleet to disturb.
 * @param fault The fault.
 * @returns Settles once the fault is over.
 */
export async function injectFault(
  fleet: SoakFleet,
  fault: PlannedFault,
): Promise<void> {
  await pause(fault.atMs);
  const { instances, targets } = fleet;
  const first = fault.index % instances.length;
  const maxCount = Math.max(1, Math.floor(instances.length * SEVERAL_SHARE));
  const rotated = [...instances.slice(first), ...instances.slice(0, first)];
  await FAULT_ACTIONS[fault.fault]({
    fleet,
    fault,
    instance: instances[first]!,
    several: rotated.slice(0, Math.min(fault.count, maxCount)),
    target: targets[fault.index % targets.length]!,
  });
}

const DISTURBANCE_ACTIONS: Readonly<
  Record<
    InstanceDisturbance,
    (instance: SoakInstance, forMs: number) => Promise<void>
  >
> = {
  [InstanceDisturbance.Nothing]: () => Promise.resolve(),
  [InstanceDisturbance.Killed]: (instance, forMs) =>
    killFor([instance], { forMs, clockSkewMs: 0 }),
  [InstanceDisturbance.Paused]: pauseFor,
};

/**
 * Makes connections to the store fall silent, writes versions of the
 * configuration, and disturbs an instance.
 *
 * @param fleet Fleet to disturb.
 * @param silence The connections, versions and disturbance, with their times.
 * @returns Settles once the disturbance is over and all versions are written.
 */
export async function injectSilence(
  fleet: SoakFleet,
  silence: PlannedSilence,
): Promise<void> {
  const { atMs, share, versionsAfterMs, disturbance, index, forMs } = silence;
  await pause(atMs);
  await fleet.store.silenceLink(share);
  const versions = versionsAfterMs.map(async (afterMs) => {
    await pause(afterMs);
    fleet.configure();
  });
  const instance = fleet.instances[index % fleet.instances.length]!;
  await Promise.all([
    ...versions,
    DISTURBANCE_ACTIONS[disturbance](instance, forMs),
  ]);
}

/**
 * Makes a target end its answers in another way for a time.
 *
 * @param fleet Fleet to disturb.
 * @param planned The target, the way and the time.
 * @returns Settles once the target ends answers as before.
 */
export async function injectAnswerEnd(
  fleet: SoakFleet,
  { pool, atMs, forMs, index, behavior, isUnframed }: PlannedAnswerEnd,
): Promise<void> {
  const targets = fleet.targets.filter((other) => other.pool === pool);
  const { target, relay, faultSpans } = targets[index % targets.length]!;
  await pause(atMs);
  // A regular close of a cut link would complete an answer without framing.
  relay.resetsOnCut = true;
  await recordSpan(faultSpans, async () => {
    Object.assign(target, { behavior, isUnframed });
    await pause(forMs);
    Object.assign(target, {
      behavior: TargetBehavior.Serve,
      isUnframed: false,
    });
  });
}

/**
 * Cuts instances off from all targets for a time. Where cuts overlap, the end
 * of the first one ends both.
 *
 * @param fleet Fleet to disturb.
 * @param cut The instances, the way and the time.
 * @returns Settles once the instances reach the targets again.
 */
export async function injectCut(
  fleet: SoakFleet,
  { atMs, forMs, mode, instances }: PlannedCut,
): Promise<void> {
  const cutOff = instances.map((index) => fleet.instances[index]!);
  await pause(atMs);
  cutOff.forEach((instance) => instance.setLinkMode(mode));
  await pause(forMs);
  cutOff.forEach((instance) => instance.setLinkMode(LinkMode.Open));
}

/**
 * Changes one number in the settings, and signals the process to reload them.
 */
function changeAndReload(
  instance: SoakInstance,
  retryBudgetSlack: number,
): void {
  instance.changeSettings({
    "bounds.retryBudgetSlack": String(retryBudgetSlack),
  });
  instance.reload();
}

async function restartInstance(
  instance: SoakInstance,
  { clockSkewMs }: PlannedFault,
): Promise<void> {
  await instance.stop();
  await instance.start(clockSkewMs);
}

async function killFor(
  instances: readonly SoakInstance[],
  { forMs, clockSkewMs }: Pick<PlannedFault, "forMs" | "clockSkewMs">,
): Promise<void> {
  await Promise.all(instances.map((instance) => instance.kill()));
  await pause(forMs);
  await startAll(instances, clockSkewMs);
}

async function pauseFor(
  instance: SoakInstance,
  forMs: number,
): Promise<void> {
  if (instance.isRunning) {
    await instance.pause();
    await pause(forMs);
    instance.resume();
  }
}

async function disturbTargetFor(
  context: FaultContext,
  disturb: () => Promise<void> | void,
): Promise<void> {
  await recordTargetFault(context, async () => {
    await disturb();
    await pause(context.fault.forMs);
    await context.target.relay.heal();
  });
}

/** Runs a fault of a target or its link, and records its time span. */
function recordTargetFault(
  { target }: FaultContext,
  runFault: () => Promise<void> | void,
): Promise<void> {
  return recordSpan(target.faultSpans, runFault);
}

/** Runs a fault, and records its time span. */
async function recordSpan(
  spans: TimeSpan[],
  runFault: () => Promise<void> | void,
): Promise<void> {
  const span = { fromMs: performance.now(), untilMs: Infinity };
  spans.push(span);
  await runFault();
  span.untilMs = performance.now();
}
