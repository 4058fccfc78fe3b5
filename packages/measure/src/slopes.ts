/** Bytes, CPU time and memory that the scheduler uses, by size of the fleet. */

import { capacityPerSecond } from "./capacity.ts";
import { SchedulerVariant, Simulation } from "./simulation.ts";
import { measureMemory, type MemoryCosts } from "./memory_costs.ts";
import { createScaledPlan, type FleetSize } from "./scaled_plan.ts";
import { formatTable } from "./text_table.ts";
import { createWorkItems } from "./work_item_generator.ts";

/** Costs of coordination in a fleet of one size. */
export interface SizeCosts extends FleetSize {
  /** Number of requests in the measured time under load. */
  readonly requests: number;
  /** Requests per second and instance. */
  readonly requestsPerNodeSecond: number;
  /** Bytes sent between instances without load, per second and instance. */
  readonly idleBytesPerNodeSecond: number;
  /** Bytes sent between instances under load, per second and instance. */
  readonly loadedBytesPerNodeSecond: number;
  /** Bytes that load adds to those without load, per request. */
  readonly bytesPerRequest: number;
  /** Time in the cores without load, per second and instance. */
  readonly idleCoreMsPerNodeSecond: number;
  /** Time in the cores under load, per second and instance. */
  readonly loadedCoreMsPerNodeSecond: number;
  /** Time in the cores that load adds to that without load, per request. */
  readonly coreMsPerRequest: number;
}

/** Costs by number of instances and by number of targets, and memory. */
export interface Slopes {
  readonly byInstances: readonly SizeCosts[];
  readonly byTargets: readonly SizeCosts[];
  readonly memory: MemoryCosts;
}

/** Bytes between instances, time in the cores and requests, as measured. */
interface ControlUsage {
  readonly bytes: number;
  readonly coreMs: number;
  readonly requests: number;
}

const INSTANCE_COUNTS = [4, 8, 16, 32, 64, 128];
const TARGET_COUNTS = [12, 24, 48, 96, 192];
const TARGET_SWEEP_INSTANCES = 8;
const TARGETS_PER_INSTANCE = 1.5;
/** Start of the load; by then the instances are connected to each other. */
const LOAD_START_MS = 3000;
const WARM_UP_DURATION_MS = 10_000;
const MEASURED_DURATION_MS = 10_000;
const MS_PER_SECOND = 1000;
const LOAD_RATIO = 0.5;
const SEED = 1;

/**
 * Measures the scheduler's costs in fleets of several sizes.
 *
 * @param print Prints a line of the report.
 * @param maxInstances Number of instances above which fleets are left out.
 * @returns Costs by number of instances and of targets, and memory.
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

/** Measures after a warm-up, during which the load has become steady. */
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
  const rows = Object.entries(memory).map(([name, bytes]) => ({
    memory: name,
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
