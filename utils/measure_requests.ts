/**
 * Measures the processor time of one refused and one answered request, and of
 * an idle instance, in an in-process fleet of instances that pass requests
 * through.
 *
 * Processor time is that of the process with the instances, stand-in targets
 * and store; callers run in a process of their own and open a connection for
 * each request. The time of a request is what the process uses beyond its idle
 * time. The time of an answered request is measured at a load that the targets
 * can serve, and that of a refused one at the given multiple of it, after the
 * answered ones are deducted.
 *
 * Usage: `measure_requests.js [--instances N] [--targets N] [--load N]
 * [--seconds N] [--seed N]`, where a load of 0 measures idle instances only.
 */

import { fork } from "node:child_process";
import { once } from "node:events";
import process from "node:process";
import { setTimeout as sleep } from "node:timers/promises";
import { fileURLToPath } from "node:url";
import { parseArgs } from "node:util";
import {
  type RandomSource,
  seededRandomSource,
} from "@chestnuthatch/core/random_source";
import { sendCall } from "@chestnuthatch/platform/standin_caller";
import {
  CALLER_KEY,
  StandinFleet,
} from "@chestnuthatch/platform/standin_fleet";

/** Wait before measuring, until the fleet has settled. */
const WARMUP_MS = 5000;
const READY_POLL_MS = 50;
const MS_PER_S = 1000;
/** Duration of a call at a target. */
const SERVICE_TIME_MS = 100;
/**
 * Slots of each target while answered requests are measured, so that enough of
 * them are answered within a second.
 */
const ANSWERED_SLOTS = 8;
/** Part of the targets' capacity at which all requests are answered. */
const ANSWERED_LOAD = 0.3;
/** Wait until the last requests of a load have ended. */
const DRAIN_MS = 3000;
const STATUS_OK = 200;
/** Statuses that say a call was refused and did not run. */
const REFUSAL_STATUSES = new Set([429, 503]);
/** Argument that marks the process of the callers. */
const CALLERS_ROLE = "--callers";

/** A load that the process of the callers sends. */
interface Load {
  readonly addresses: readonly string[];
  readonly ratePerS: number;
  readonly seconds: number;
  readonly seed: number;
}

/** Number of requests of a load, by result. */
interface LoadCounts {
  answered: number;
  refused: number;
  failed: number;
}

/** Counts of a load, and the processor time that it took, idle time excluded. */
interface LoadCost extends LoadCounts {
  readonly cpuMs: number;
}

async function main(): Promise<void> {
  const { values } = parseArgs({
    options: {
      instances: { type: "string", default: "6" },
      targets: { type: "string", default: "8" },
      load: { type: "string", default: "10" },
      seconds: { type: "string", default: "20" },
      seed: { type: "string", default: "1" },
    },
  });
  const instances = Number(values.instances);
  const targets = Number(values.targets);
  const load = Number(values.load);
  const seconds = Number(values.seconds);
  const seed = Number(values.seed);
  const size = { instances, targets };
  const fleet = await startFleet({ ...size, slots: 1 });
  const idleMsPerS = await measureIdle(seconds);
  console.log(JSON.stringify({
    ...size,
    idleMsPerSPerInstance: round(idleMsPerS / instances),
  }));
  if (load === 0) {
    fleet.close();
  } else {
    const ratePerS = load * targets * MS_PER_S / SERVICE_TIME_MS;
    const overload = { fleet, ratePerS, seconds, seed };
    // Compiles the code on the path of a request before it is measured.
    await measureLoad(overload, idleMsPerS);
    const overloadCost = await measureLoad(overload, idleMsPerS);
    fleet.close();
    const answeredMs = await measureAnswered({ ...size, seconds, seed });
    const refusedMs =
      (overloadCost.cpuMs - overloadCost.answered * answeredMs) /
      overloadCost.refused;
    console.log(JSON.stringify({ load, ...overloadCost }));
    console.log(JSON.stringify({
      answeredMs: round(answeredMs),
      refusedMs: round(refusedMs),
    }));
  }
}

async function measureAnswered(
  of: { instances: number; targets: number; seconds: number; seed: number },
): Promise<number> {
  const { instances, targets, seconds, seed } = of;
  const fleet = await startFleet({ instances, targets, slots: ANSWERED_SLOTS });
  const idleMsPerS = await measureIdle(seconds);
  const capacityPerS = targets * ANSWERED_SLOTS * MS_PER_S / SERVICE_TIME_MS;
  const ratePerS = capacityPerS * ANSWERED_LOAD;
  const cost = await measureLoad(
    { fleet, ratePerS, seconds, seed },
    idleMsPerS,
  );
  fleet.close();
  console.log(JSON.stringify({ load: ANSWERED_LOAD, ...cost }));
  return cost.cpuMs / cost.answered;
}

/** Starts a fleet, and waits until it has settled. */
async function startFleet(
  of: { instances: number; targets: number; slots: number },
): Promise<StandinFleet> {
  const { instances, targets: desks, slots } = of;
  const fleet = new StandinFleet({
    instances,
    engines: 1,
    desks,
    serviceTimeMs: SERVICE_TIME_MS,
    slots,
  });
  await fleet.startStoreAndTargets();
  fleet.configure();
  await fleet.startInstances();
  while (!fleet.gateways.every(({ isReady }) => isReady)) {
    await sleep(READY_POLL_MS);
  }
  await sleep(WARMUP_MS);
  return fleet;
}

async function measureIdle(seconds: number): Promise<number> {
  const before = process.cpuUsage();
  await sleep(seconds * MS_PER_S);
  return cpuMsSince(before) / seconds;
}

async function measureLoad(
  of: { fleet: StandinFleet; ratePerS: number; seconds: number; seed: number },
  idleMsPerS: number,
): Promise<LoadCost> {
  const { fleet, ...load } = of;
  const addresses = fleet.gateways.map(({ callerAddress }) => callerAddress);
  const callers = fork(fileURLToPath(import.meta.url), [CALLERS_ROLE], {
    execArgv: [],
  });
  await once(callers, "message");
  const cpuBefore = process.cpuUsage();
  const beganAtMs = performance.now();
  callers.send({ ...load, addresses });
  const [counts] = await once(callers, "message") as [LoadCounts];
  const durationS = (performance.now() - beganAtMs) / MS_PER_S;
  const cpuMs = cpuMsSince(cpuBefore) - durationS * idleMsPerS;
  callers.disconnect();
  return { ...counts, cpuMs: round(cpuMs) };
}

/** Sends the load that the parent process orders, and reports the counts. */
async function runCallers(): Promise<void> {
  process.send!("ready");
  const [load] = await once(process, "message") as [Load];
  process.send!(await sendLoad(load));
}

async function sendLoad(load: Load): Promise<LoadCounts> {
  const { addresses, ratePerS, seconds, seed } = load;
  const random = seededRandomSource(seed);
  const counts: LoadCounts = { answered: 0, refused: 0, failed: 0 };
  const inFlight: Promise<void>[] = [];
  const beganAtMs = performance.now();
  const callCount = Math.round(ratePerS * seconds);
  let dueAtMs = beganAtMs;
  for (let i = 0; i < callCount; i++) {
    dueAtMs += exponential(random) * MS_PER_S / ratePerS;
    const waitMs = dueAtMs - performance.now();
    if (waitMs > 0) {
      await sleep(waitMs);
    }
    const address = addresses[Math.floor(random.next() * addresses.length)]!;
    inFlight.push(sendOne(`measure-${seed}-${i}`, address, counts));
  }
  await Promise.all(inFlight);
  await sleep(DRAIN_MS);
  return counts;
}

async function sendOne(
  requestId: string,
  address: string,
  counts: LoadCounts,
): Promise<void> {
  const { status, isWhole } = await sendCall({
    address,
    path: "/ticket/",
    requestId,
    key: CALLER_KEY,
  });
  if (status === STATUS_OK && isWhole) {
    counts.answered++;
  } else if (REFUSAL_STATUSES.has(status)) {
    counts.refused++;
  } else {
    counts.failed++;
  }
}

/** Distance of two arrivals of a Poisson process, relative to the mean. */
function exponential(random: RandomSource): number {
  return -Math.log(1 - random.next());
}

function cpuMsSince(before: NodeJS.CpuUsage): number {
  const { user, system } = process.cpuUsage(before);
  return (user + system) / MS_PER_S;
}

function round(value: number): number {
  return Math.round(value * 1000) / 1000;
}

await (process.argv.includes(CALLERS_ROLE) ? runCallers() : main());
