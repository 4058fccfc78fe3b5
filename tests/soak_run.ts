/** Plays one seed of the soak and checks it. */

import { setTimeout as pause } from "node:timers/promises";
import { StoreMode } from "@chestnuthatch/platform/standin_store";
import { TargetConduct } from "@chestnuthatch/platform/standin_target";
import {
  CALL_KINDS,
  type CallKind,
  type CallRecord,
  SoakCallers,
} from "./soak_callers.ts";
import { type BrokenPromise, brokenPromises } from "./soak_checks.ts";
import { SoakFleet, type SoakTarget } from "./soak_fleet.ts";
import type { SoakInstance } from "./soak_instance.ts";
import { type PlannedFault, SoakFault, type SoakPlan } from "./soak_plan.ts";
import { waitFor } from "./wait_for.ts";

/** What came of a seed. */
export interface SoakOutcome {
  readonly calls: number;
  readonly whole: number;
  readonly refused: number;
  readonly broken: readonly BrokenPromise[];
  /** What the instances logged, by their ids. */
  readonly logs: ReadonlyMap<string, readonly string[]>;
}

/** What a fault needs to know. */
interface FaultScene {
  readonly fleet: SoakFleet;
  readonly fault: PlannedFault;
  readonly instance: SoakInstance;
  readonly target: SoakTarget;
}

const SLOW_LINK_MS = 60;
const STATUS_OK = 200;

/** How each fault begins and ends. */
const FAULTS: Readonly<
  Record<SoakFault, (scene: FaultScene) => Promise<void>>
> = {
  [SoakFault.InstanceKilled]: (scene) => killedFor(scene, [scene.instance]),
  [SoakFault.AllInstancesKilled]: (scene) =>
    killedFor(scene, scene.fleet.instances),
  [SoakFault.InstancePaused]: async ({ instance, fault }) => {
    if (instance.runs) {
      await instance.pause();
      await pause(fault.forMs);
      instance.resume();
    }
  },
  [SoakFault.InstanceRestarted]: async ({ instance, fault }) => {
    await instance.stop();
    await instance.start(fault.clockSkewMs);
  },
  [SoakFault.InstanceReloaded]: async ({ instance }) => {
    await Promise.resolve(instance.reload());
  },
  [SoakFault.TargetLinkReset]: async ({ target }) => {
    await Promise.resolve(target.relay.reset());
  },
  [SoakFault.TargetLinkCut]: async ({ target, fault }) => {
    await target.relay.cut();
    await pause(fault.forMs);
    await target.relay.heal();
  },
  [SoakFault.TargetLinkSilent]: (scene) =>
    heldFor(scene, () => scene.target.relay.freeze()),
  [SoakFault.TargetAnswersHeld]: (scene) =>
    heldFor(scene, () => scene.target.relay.holdInbound()),
  [SoakFault.TargetRequestsHeld]: (scene) =>
    heldFor(scene, () => scene.target.relay.holdOutbound()),
  [SoakFault.TargetLinkSlow]: async ({ target, fault }) => {
    target.relay.setDelay(SLOW_LINK_MS);
    await pause(fault.forMs);
    target.relay.setDelay(0);
  },
  [SoakFault.TargetMisbehaves]: async ({ target, fault }) => {
    target.target.conduct = fault.conduct;
    await pause(fault.forMs);
    target.target.conduct = TargetConduct.Serve;
  },
  [SoakFault.TargetLeaves]: async ({ fleet, target }) => {
    await Promise.resolve(fleet.retire(target));
  },
  [SoakFault.StoreLinkReset]: async ({ fleet }) => {
    await Promise.resolve(fleet.storeRelay.reset());
  },
  [SoakFault.StoreLinkCut]: async ({ fleet, fault }) => {
    await fleet.storeRelay.cut();
    await pause(fault.forMs);
    await fleet.storeRelay.heal();
  },
  [SoakFault.StoreLinkSilent]: async ({ fleet, fault }) => {
    fleet.storeRelay.freeze();
    await pause(fault.forMs);
    await fleet.storeRelay.heal();
  },
  [SoakFault.StoreBusy]: async ({ fleet, fault }) => {
    fleet.store.mode = StoreMode.Busy;
    await pause(fault.forMs);
    fleet.store.mode = StoreMode.Well;
  },
  [SoakFault.StoreForgets]: async ({ fleet }) => {
    await Promise.resolve(fleet.store.forgetHistory());
  },
  [SoakFault.ConfigurationChanged]: async ({ fleet }) => {
    await Promise.resolve(fleet.configure());
  },
};

/**
 * Plays a seed.
 *
 * @param plan The seed, planned.
 * @returns What came of it.
 */
export async function playSoak(plan: SoakPlan): Promise<SoakOutcome> {
  const fleet = new SoakFleet();
  const callers = new SoakCallers(plan.seed);
  try {
    await fleet.start(plan);
    const faults = Promise.all(plan.faults.map((f) => inflict(fleet, f)));
    await callers.run(plan, fleet.instances);
    await faults;
    await callers.settled();
    const { records } = callers;
    const broken = brokenPromises({ records, targets: fleet.targets });
    broken.push(...await notRecovered(fleet, callers));
    return {
      calls: records.length,
      whole: records.filter(isServed).length,
      refused: records.filter(isRefused).length,
      broken,
      logs: new Map(fleet.instances.map(({ id, lines }) => [id, lines])),
    };
  } finally {
    callers.close();
    await fleet.end();
  }
}

async function inflict(fleet: SoakFleet, fault: PlannedFault): Promise<void> {
  await pause(fault.atMs);
  const instance = fleet.instances[fault.index % fleet.instances.length]!;
  const target = fleet.targets[fault.index % fleet.targets.length]!;
  await FAULTS[fault.fault]({ fleet, fault, instance, target });
}

async function killedFor(
  { fault }: FaultScene,
  instances: readonly SoakInstance[],
): Promise<void> {
  await Promise.all(instances.map((instance) => instance.kill()));
  await pause(fault.forMs);
  await Promise.all(
    instances.map((instance) => instance.start(fault.clockSkewMs)),
  );
}

async function heldFor(
  { target, fault }: FaultScene,
  hold: () => void,
): Promise<void> {
  hold();
  await pause(fault.forMs);
  await target.relay.heal();
}

/**
 * Once all faults are over, every instance serves every kind of call again, and
 * no target that is leaving gets any.
 */
async function notRecovered(
  fleet: SoakFleet,
  callers: SoakCallers,
): Promise<BrokenPromise[]> {
  let instanceId = "";
  try {
    await fleet.allReady();
    for (const instance of fleet.instances) {
      instanceId = instance.id;
      for (const kind of CALL_KINDS) {
        await waitFor(
          `${kind.path} to be served by ${instanceId}`,
          () => isServedWell({ fleet, callers, instance, kind }),
        );
      }
    }
    return [];
  } catch (error) {
    const promise = "serves again once faults are over";
    return [{ promise, requestId: "", instanceId, detail: String(error) }];
  }
}

async function isServedWell(
  of: {
    fleet: SoakFleet;
    callers: SoakCallers;
    instance: SoakInstance;
    kind: CallKind;
  },
): Promise<boolean> {
  const { fleet, callers, instance, kind } = of;
  const seenByLeaving = () =>
    fleet.targets.filter(({ leavingAtMs }) => leavingAtMs !== undefined)
      .map(({ target }) => target.seen.length).join();
  const before = seenByLeaving();
  const record = await callers.send(kind, instance);
  return isServed(record) && seenByLeaving() === before;
}

function isServed({ result }: CallRecord): boolean {
  return result?.status === STATUS_OK && result.whole;
}

function isRefused({ result }: CallRecord): boolean {
  return result?.status === 429 || result?.status === 503;
}
