/** Applies uneven load to a fleet of the soak. */

import { setTimeout as pause } from "node:timers/promises";
import { CALL_KINDS, type SoakCallers } from "./soak_callers.ts";
import { Draw } from "./soak_draw.ts";
import type { SoakFleet } from "./soak_fleet.ts";
import type { SoakInstance } from "./soak_instance.ts";
import { drawLoadHeader, type PlannedLoads } from "./soak_loads_plan.ts";
import type { SoakPlan } from "./soak_plan.ts";

const MS_PER_S = 1000;
const COORDINATOR_LINE = /"coordinatorId":"([^"]+)".*"coordinator changed"/;

/** Kinds of the calls of a surge: streams that compete for the same slots. */
const SURGE_KINDS = CALL_KINDS.filter(({ events }) => events > 0);

/**
 * Sends the targets' reports and the workspaces' calls, and crashes targets
 * while the coordinator is killed.
 *
 * @param plan Plan of the seed.
 * @param fleet Fleet to load.
 * @param callers Sender of the calls.
 * @returns Settles once the load and the crash are over.
 */
export async function applyLoads(
  { loads, lengthMs, seed }: SoakPlan,
  fleet: SoakFleet,
  callers: SoakCallers,
): Promise<void> {
  if (loads === undefined) {
    return;
  }
  const endMs = performance.now() + lengthMs;
  const sendings = loads.workspaces.map(async (workspace, index) => {
    const { key, callsPerS, surge } = workspace;
    const draw = new Draw(seed + index);
    const surgeAtMs = performance.now() + surge.atMs;
    for (let nowMs; (nowMs = performance.now()) < endMs;) {
      const inSurge = nowMs >= surgeAtMs && nowMs < surgeAtMs + surge.forMs;
      const kind = draw.oneOf(inSurge ? SURGE_KINDS : CALL_KINDS);
      void callers.send({ ...kind, key }, draw.oneOf(fleet.instances));
      await pause(MS_PER_S / (inSurge ? surge : { callsPerS }).callsPerS);
    }
  });
  await Promise.all([
    ...sendings,
    reportLoads(fleet, new Draw(seed), endMs),
    injectCrash(fleet, loads.crash),
  ]);
}

async function reportLoads(
  { targets }: SoakFleet,
  draw: Draw,
  endMs: number,
): Promise<void> {
  while (performance.now() < endMs) {
    for (const { target } of targets) {
      target.signalHeaders = {
        ...target.signalHeaders,
        "X-Server-Load": drawLoadHeader(draw),
      };
    }
    await pause(draw.between(100, 300));
  }
}

async function injectCrash(
  { instances, targets }: SoakFleet,
  { atMs, forMs, index, count }: PlannedLoads["crash"],
): Promise<void> {
  await pause(atMs);
  const coordinator = findCoordinator(instances);
  const crashes = Array.from({ length: count }, async (_, offset) => {
    const target = targets[(index + offset) % targets.length]!;
    const span = { fromMs: performance.now(), untilMs: Infinity };
    target.faultSpans.push(span);
    await target.relay.cut();
    await pause(forMs);
    await target.relay.heal();
    span.untilMs = performance.now();
  });
  await coordinator.kill();
  await Promise.all(crashes);
  await coordinator.start(0);
}

/** Finds the instance that most others selected as coordinator last. */
function findCoordinator(instances: readonly SoakInstance[]): SoakInstance {
  const selectedIds = instances.map(({ logLines }) => {
    const line = logLines.findLast((each) => COORDINATOR_LINE.test(each));
    return COORDINATOR_LINE.exec(line ?? "")?.[1];
  });
  const votesFor = (instanceId: string) =>
    selectedIds.filter((id) => id === instanceId).length;
  return [...instances].sort((a, b) => votesFor(b.id) - votesFor(a.id))[0]!;
}
