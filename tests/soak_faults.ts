/** How each fault of the soak begins and ends. */

import { setTimeout as pause } from "node:timers/promises";
import { TargetConduct } from "@chestnuthatch/platform/standin_target";
import { type SoakFleet, type SoakTarget, startAll } from "./soak_fleet.ts";
import type { SoakInstance, Span } from "./soak_instance.ts";
import { type PlannedFault, SoakFault } from "./soak_plan.ts";
import { DuringSilence, type PlannedSilence } from "./soak_silence_plan.ts";

/** What a fault needs to know. */
interface FaultScene {
  readonly fleet: SoakFleet;
  readonly fault: PlannedFault;
  readonly instance: SoakInstance;
  /** Several instances, never all of a fleet. */
  readonly several: readonly SoakInstance[];
  readonly target: SoakTarget;
}

const SLOW_LINK_MS = 60;

/** Time between two restarts or versions of a series: shorter than either. */
const SERIES_GAP_MS = 150;

/** Several instances are so many of a fleet at most. */
const SEVERAL_SHARE = 0.5;

const FAULTS: Readonly<
  Record<SoakFault, (scene: FaultScene) => Promise<void>>
> = {
  [SoakFault.InstanceKilled]: ({ instance, fault }) =>
    killedFor([instance], fault),
  [SoakFault.AllInstancesKilled]: ({ fleet, fault }) =>
    killedFor(fleet.instances, fault),
  [SoakFault.InstancePaused]: ({ instance, fault }) =>
    pausedFor(instance, fault.forMs),
  [SoakFault.InstanceRestarted]: ({ instance, fault }) =>
    restarted(instance, fault),
  [SoakFault.InstanceReloaded]: async ({ instance, fault }) => {
    await Promise.resolve(reloaded(instance, fault.forMs));
  },
  [SoakFault.InstanceReloadedWhileStopping]: async (scene) => {
    const { fleet, instance, fault } = scene;
    const restart = restarted(instance, fault);
    await pause(fault.forMs);
    reloaded(instance, fault.forMs);
    fleet.change(fault.change);
    await pause(fault.forMs);
    reloaded(instance, fault.forMs + 1);
    await restart;
  },
  [SoakFault.InstanceAskedTwice]: async ({ instance, fault }) => {
    const restart = restarted(instance, fault);
    await pause(fault.forMs);
    await Promise.all([restart, restarted(instance, fault)]);
  },
  [SoakFault.InstancesRestartedTogether]: async ({ several, fault }) => {
    await Promise.all(several.map((instance) => instance.stop()));
    await startAll(several, fault.clockSkewMs);
  },
  [SoakFault.InstancesRestartedInTurn]: async ({ several, fault }) => {
    await Promise.all(several.map(async (instance, index) => {
      await pause(index * SERIES_GAP_MS);
      await restarted(instance, fault);
    }));
  },
  [SoakFault.TargetLinkReset]: (scene) =>
    harmed(scene, () => scene.target.relay.reset()),
  [SoakFault.TargetLinkCut]: (scene) =>
    harmedFor(scene, () => scene.target.relay.cut()),
  [SoakFault.TargetLinkSilent]: (scene) =>
    harmedFor(scene, () => scene.target.relay.freeze()),
  [SoakFault.TargetAnswersHeld]: (scene) =>
    harmedFor(scene, () => scene.target.relay.holdInbound()),
  [SoakFault.TargetRequestsHeld]: (scene) =>
    harmedFor(scene, () => scene.target.relay.holdOutbound()),
  [SoakFault.TargetLinkSlow]: async ({ target, fault }) => {
    target.relay.setDelay(SLOW_LINK_MS);
    await pause(fault.forMs);
    target.relay.setDelay(0);
  },
  [SoakFault.TargetMisbehaves]: (scene) =>
    harmed(scene, async () => {
      const { target } = scene.target;
      target.conduct = scene.fault.conduct;
      await pause(scene.fault.forMs);
      target.conduct = TargetConduct.Serve;
    }),
  [SoakFault.TargetLeaves]: async ({ fleet, target }) => {
    await Promise.resolve(fleet.retire(target));
  },
  [SoakFault.StoreLinkReset]: async ({ fleet }) => {
    await fleet.store.resetLink();
  },
  [SoakFault.StoreLinkCut]: async ({ fleet, fault }) => {
    await noted(fleet.storeHarmed, async () => {
      await fleet.store.cutLink();
      await pause(fault.forMs);
      await fleet.store.healLink();
    });
  },
  [SoakFault.StoreLinkSilent]: async ({ fleet, fault }) => {
    await noted(fleet.storeHarmed, async () => {
      await fleet.store.freezeLink();
      await pause(fault.forMs);
      await fleet.store.healLink();
    });
  },
  [SoakFault.StoreBusy]: async ({ fleet, fault }) => {
    await noted(fleet.storeHarmed, async () => {
      await fleet.store.rejectCalls();
      await pause(fault.forMs);
      await fleet.store.serveCalls();
    });
  },
  [SoakFault.StoreForgets]: async ({ fleet }) => {
    await fleet.store.forgetHistory();
  },
  [SoakFault.ConfigurationChanged]: async ({ fleet, fault }) => {
    await Promise.resolve(fleet.change(fault.change));
  },
  [SoakFault.ConfigurationsInSeries]: async ({ fleet, fault }) => {
    for (let version = 0; version < fault.count; version++) {
      if (version % 2 === 0) {
        fleet.change(fault.change);
      } else {
        fleet.configure();
      }
      await pause(SERIES_GAP_MS);
    }
  },
};

/**
 * Plays a fault at its time.
 *
 * @param fleet Whom it strikes.
 * @param fault The fault.
 * @returns Once it is over.
 */
export async function inflict(
  fleet: SoakFleet,
  fault: PlannedFault,
): Promise<void> {
  await pause(fault.atMs);
  const { instances, targets } = fleet;
  const first = fault.index % instances.length;
  const most = Math.max(1, Math.floor(instances.length * SEVERAL_SHARE));
  const round = [...instances.slice(first), ...instances.slice(0, first)];
  await FAULTS[fault.fault]({
    fleet,
    fault,
    instance: instances[first]!,
    several: round.slice(0, Math.min(fault.count, most)),
    target: targets[fault.index % targets.length]!,
  });
}

const DURING: Readonly<
  Record<
    DuringSilence,
    (instance: SoakInstance, forMs: number) => Promise<void>
  >
> = {
  [DuringSilence.Nothing]: () => Promise.resolve(),
  [DuringSilence.Killed]: (instance, forMs) =>
    killedFor([instance], { forMs, clockSkewMs: 0 }),
  [DuringSilence.Paused]: pausedFor,
};

/**
 * Silences connections to the store at their time, and writes versions.
 *
 * @param fleet Whom it strikes.
 * @param silence What is planned.
 * @returns Once it is over.
 */
export async function inflictSilence(
  fleet: SoakFleet,
  silence: PlannedSilence,
): Promise<void> {
  const { atMs, share, versionsAfterMs, during, index, forMs } = silence;
  await pause(atMs);
  await fleet.store.silenceLink(share);
  const versions = versionsAfterMs.map(async (afterMs) => {
    await pause(afterMs);
    fleet.configure();
  });
  const instance = fleet.instances[index % fleet.instances.length]!;
  await Promise.all([...versions, DURING[during](instance, forMs)]);
}

/** Makes the settings differ by a number, and asks to reload them. */
function reloaded(instance: SoakInstance, retryBudgetSlack: number): void {
  instance.changeSettings({
    "bounds.retryBudgetSlack": String(retryBudgetSlack),
  });
  instance.reload();
}

async function restarted(
  instance: SoakInstance,
  { clockSkewMs }: PlannedFault,
): Promise<void> {
  await instance.stop();
  await instance.start(clockSkewMs);
}

async function killedFor(
  instances: readonly SoakInstance[],
  { forMs, clockSkewMs }: Pick<PlannedFault, "forMs" | "clockSkewMs">,
): Promise<void> {
  await Promise.all(instances.map((instance) => instance.kill()));
  await pause(forMs);
  await startAll(instances, clockSkewMs);
}

async function pausedFor(
  instance: SoakInstance,
  forMs: number,
): Promise<void> {
  if (instance.runs) {
    await instance.pause();
    await pause(forMs);
    instance.resume();
  }
}

async function harmedFor(
  scene: FaultScene,
  harm: () => Promise<void> | void,
): Promise<void> {
  await harmed(scene, async () => {
    await harm();
    await pause(scene.fault.forMs);
    await scene.target.relay.heal();
  });
}

/** Notes the time of a fault of a target or its link. */
function harmed(
  { target }: FaultScene,
  play: () => Promise<void> | void,
): Promise<void> {
  return noted(target.harmed, play);
}

/** Notes the time of a fault. */
async function noted(
  spans: Span[],
  play: () => Promise<void> | void,
): Promise<void> {
  const span = { fromMs: performance.now(), untilMs: Infinity };
  spans.push(span);
  await play();
  span.untilMs = performance.now();
}
