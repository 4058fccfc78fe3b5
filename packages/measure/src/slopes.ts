/** The scheduler's own costs by size: bytes, processor time and memory. */

import { capacityPerSecond } from "./capacity.ts";
import { SchedulerVariant, Simulation } from "./simulation.ts";
import { measureMemory, type MemoryCosts } from "./memory_costs.ts";
import { createScaledPlan, type FleetSize } from "./scaled_plan.ts";
import { formatTable } from "./text_table.ts";
import { createWorkItems } from "./work_item_generator.ts";

/** Costs of control at one size. */
export interface SizeCosts extends FleetSize {
  readonly requests: number;
  readonly requestsPerNodeSecond: number;
  readonly idleBytesPerNodeSecond: number;
  readonly loadedBytesPerNodeSecond: number;
  /** What load adds to the idle bytes, for each request. */
  readonly bytesPerRequest: number;
  readonly idleCoreMsPerNodeSecond: number;
  readonly loadedCoreMsPerNodeSecond: number;
  readonly coreMsPerRequest: number;
}

/** Everything measured. */
export interface Slopes {
  readonly byInstances: readonly SizeCosts[];
  readonly byTargets: readonly SizeCosts[];
  readonly memory: MemoryCosts;
}

interface ControlUsage {
  readonly bytes: number;
  readonly coreMs: number;
  readonly requests: number;
}

const INSTANCE_COUNTS = [4, 8, 16, 32, 64, 128];
const TARGET_COUNTS = [12, 24, 48, 96, 192];
const TARGET_SWEEP_INSTANCES = 8;
const TARGETS_PER_INSTANCE = 1.5;
/** Callers come once the instances have found one another. */
const LOAD_START_MS = 3000;
const WARM_UP_DURATION_MS = 10_000;
const MEASURED_DURATION_MS = 10_000;
const MS_PER_SECOND = 1000;
const LOAD_RATIO = 0.5;
const SEED = 1;

/**
 * Measures costs over sizes.
 *
 * @param print Takes the lines of the report.
 * @param maxInstances Leaves larger fleets out.
 * @returns Everything measured.
 */
export function measureSlopes(
  print: (line: string) => void,
  maxInstances: number,
): Slopes {
  const memory = measureMemory();
  printMemory(print, memory);
  const byTargets = TARGET_COUNTS.map((targets) =>
    measureSizeCosts({ instances: TARGET_SWEEP_INSTANCES, targets })
  );
  printCosts(print, byTargets);
  const byInstances = INSTANCE_COUNTS.filter((count) => count <= maxInstances)
    .map((instances) =>
      measureSizeCosts({ instances, targets: instances * TARGETS_PER_INSTANCE })
    );
  printCosts(print, byInstances);
  return { byInstances, byTargets, memory };
}

function measureSizeCosts(size: FleetSize): SizeCosts {
  const idle = measureUsage(size, 0);
  const loaded = measureUsage(size, LOAD_RATIO);
  const nodeSeconds = size.instances * MEASURED_DURATION_MS / MS_PER_SECOND;
  return {
    ...size,
    requests: loaded.requests,
    requestsPerNodeSecond: loaded.requests / nodeSeconds,
    idleBytesPerNodeSecond: idle.bytes / nodeSeconds,
    loadedBytesPerNodeSecond: loaded.bytes / nodeSeconds,
    bytesPerRequest: (loaded.bytes - idle.bytes) / loaded.requests,
    idleCoreMsPerNodeSecond: idle.coreMs / nodeSeconds,
    loadedCoreMsPerNodeSecond: loaded.coreMs / nodeSeconds,
    coreMsPerRequest: (loaded.coreMs - idle.coreMs) / loaded.requests,
  };
}

/** Load begins during the warm-up: the measured time is in full swing. */
function measureUsage(size: FleetSize, loadRatio: number): ControlUsage {
  const plan = createScaledPlan(size);
  const simulation = new Simulation({
    plan,
    variant: SchedulerVariant.Scheduler,
    seed: SEED,
    useAffinity: true,
  });
  simulation.start();
  const endMs = WARM_UP_DURATION_MS + MEASURED_DURATION_MS;
  const ratePerSecond = loadRatio * capacityPerSecond(plan, undefined);
  const items = createWorkItems({
    deployment: plan.deployment,
    seed: SEED,
    durationMs: endMs,
    phases: [{ fromMs: LOAD_START_MS, ratePerSecond }],
  }, plan);
  simulation.scheduleItems(items);
  simulation.queue.runUntil(WARM_UP_DURATION_MS);
  const before = {
    bytes: simulation.controlCosts.bytes,
    coreMs: simulation.controlCosts.coreMs,
  };
  simulation.queue.runUntil(endMs);
  return {
    bytes: simulation.controlCosts.bytes - before.bytes,
    coreMs: simulation.controlCosts.coreMs - before.coreMs,
    requests: items.filter(({ atMs }) => atMs >= WARM_UP_DURATION_MS).length,
  };
}

function printMemory(
  print: (line: string) => void,
  memory: MemoryCosts,
): void {
  const rows = Object.entries(memory).map(([what, bytes]) => ({
    memory: what,
    bytes: Math.round(bytes),
  }));
  formatTable(rows).forEach(print);
  print("");
}

function printCosts(
  print: (line: string) => void,
  costs: readonly SizeCosts[],
): void {
  const rows = costs.map((cost) => ({
    instances: cost.instances,
    targets: cost.targets,
    "requests/node/s": cost.requestsPerNodeSecond.toFixed(1),
    "idle bytes/node/s": Math.round(cost.idleBytesPerNodeSecond),
    "loaded bytes/node/s": Math.round(cost.loadedBytesPerNodeSecond),
    "bytes/request": Math.round(cost.bytesPerRequest),
    "idle core ms/node/s": cost.idleCoreMsPerNodeSecond.toFixed(2),
    "loaded core ms/node/s": cost.loadedCoreMsPerNodeSecond.toFixed(2),
    "core ms/request": cost.coreMsPerRequest.toFixed(2),
  }));
  formatTable(rows).forEach(print);
  print("");
}
