/**
 * Runs a fleet whose instances lose and regain their paths to targets, and
 * checks what its callers and targets see.
 *
 * The instances share a process with the targets, as the link of each instance
 * to all targets has to be disturbed separately.
 */

import { setTimeout as pause } from "node:timers/promises";
import { pollUntil } from "@chestnuthatch/platform/poll_until";
import {
  type CallResult,
  sendCall,
} from "@chestnuthatch/platform/standin_caller";
import {
  CALLER_KEY,
  StandinFleet,
} from "@chestnuthatch/platform/standin_fleet";
import { LinkMode } from "@chestnuthatch/platform/standin_link";
import type { StandinTarget } from "@chestnuthatch/platform/standin_target";
import type { PathPlan } from "./path_soak_plan.ts";
import type { PlannedCut } from "./soak_cut_plan.ts";

/** A request that was sent, and its answer. */
interface SentRequest {
  readonly requestId: string;
  readonly path: string;
  /** Index of the instance that it was sent to. */
  readonly instance: number;
  /** Time since the start of the load. */
  readonly atMs: number;
  readonly result: CallResult;
}

/** Requests and targets of a run. */
export interface PathOutcome {
  readonly plan: PathPlan;
  readonly requests: readonly SentRequest[];
  /** Ids of the requests that targets ran, with repetitions. */
  readonly ranIds: readonly string[];
  /** Exits of targets because of their rejections. */
  readonly overloadExits: number;
  readonly targetCount: number;
  /** Index of the instance that was killed, if one was. */
  readonly killed?: number;
}

const STREAM_HEADERS = { "X-Token-Counts": "100,8" };
const HEADERS: Readonly<Record<string, Record<string, string>>> = {
  "/plan/": STREAM_HEADERS,
  "/note/": STREAM_HEADERS,
  "/ticket/": {},
  "/status/": {},
};
const PATHS = Object.keys(HEADERS);
const AT_MOST_ONCE_PATHS: ReadonlySet<string> = new Set(["/note/", "/ticket/"]);

/** Statuses that promise that a request was not and will not be run. */
const NOT_RUN_STATUSES: ReadonlySet<number> = new Set([408, 421, 429, 503]);
const STATUS_OK = 200;
const RETRY_PAUSE_MS = 20;
const RESTART_DELAY_MS = 1000;

/** Time from the start of a cut from which the service is compared. */
const SETTLING_MS = 3000;
/** Requests at isolated instances that may fail in any case, and share. */
const FAILURE_SLACK = 11;
const FAILURE_SHARE = 1 / 50;
const MIN_SERVICE_RATIO = 2 / 3;

/** Exits that fragile targets may have: a number, and a share of them. */
const EXIT_SLACK = 2;
const EXIT_SHARE = 0.1;

/**
 * Runs a plan.
 *
 * @param plan Fleet, load and faults.
 * @returns What callers and targets saw.
 */
export async function runPaths(plan: PathPlan): Promise<PathOutcome> {
  const fleet = new StandinFleet(plan);
  try {
    await startFleet(fleet, plan);
    return await runLoad(fleet, plan);
  } finally {
    fleet.close();
  }
}

/**
 * Checks a run.
 *
 * @param outcome What callers and targets saw.
 * @returns Descriptions of faults; empty if there are none.
 */
export function findPathFaults(outcome: PathOutcome): string[] {
  return [
    ...findRequestFaults(outcome),
    ...outcome.plan.cuts.flatMap((cut) => findServiceFaults(outcome, cut)),
    ...findExitFaults(outcome),
  ];
}

async function startFleet(fleet: StandinFleet, plan: PathPlan): Promise<void> {
  await fleet.startStoreAndTargets();
  fleet.configure();
  await fleet.startInstances();
  for (const target of fleet.targets) {
    target.maxRejectionsPerS = plan.maxRejectionsPerS;
    target.capacity = plan.maxRejectionsPerS === undefined ? Infinity : 4;
    target.onExit = () => void restartLater(target);
  }
  await pollUntil(
    "all instances are ready, and members of each other's view",
    () =>
      fleet.gateways.every((gateway) =>
        gateway.isReady &&
        gateway.board.members.alive(performance.now()).length ===
          plan.instances
      ),
  );
}

async function restartLater(target: StandinTarget): Promise<void> {
  await pause(RESTART_DELAY_MS);
  await target.restart(target.id);
}

async function runLoad(
  fleet: StandinFleet,
  plan: PathPlan,
): Promise<PathOutcome> {
  const startedAtMs = performance.now();
  const requests: SentRequest[] = [];
  const killed = plan.killAtMs === undefined ? undefined : plan.seed %
    plan.instances;
  const callers = fleet.gateways.flatMap((_, instance) =>
    Array.from(
      { length: plan.callers },
      (_, caller) =>
        runCaller(fleet, { instance, caller, plan, startedAtMs, requests }),
    )
  );
  const faults = [
    ...plan.cuts.map((cut) => injectCut(fleet, cut)),
    ...plan.pauses.map(async ({ atMs, forMs, index }) => {
      await pause(atMs);
      fleet.targets[index % fleet.targets.length]!.pauseFor(forMs);
    }),
    killLater(fleet, { killed, atMs: plan.killAtMs }),
  ];
  await Promise.all([...callers, ...faults]);
  return {
    plan,
    requests,
    ranIds: fleet.targets.flatMap(({ ranIds }) => ranIds),
    overloadExits: fleet.targets
      .reduce((sum, { overloadExits }) => sum + overloadExits, 0),
    targetCount: fleet.targets.length,
    killed,
  };
}

async function killLater(
  fleet: StandinFleet,
  { killed, atMs }: { killed?: number; atMs?: number },
): Promise<void> {
  if (killed !== undefined) {
    await pause(atMs);
    fleet.gateways[killed]!.kill();
  }
}

async function injectCut(fleet: StandinFleet, cut: PlannedCut): Promise<void> {
  const links = cut.instances.map((index) => fleet.targetLinks[index]!);
  await pause(cut.atMs);
  links.forEach((link) => link.set(cut.mode));
  await pause(cut.forMs);
  links.forEach((link) => link.set(LinkMode.Open));
}

interface CallerOptions {
  readonly instance: number;
  readonly caller: number;
  readonly plan: PathPlan;
  readonly startedAtMs: number;
  readonly requests: SentRequest[];
}

/** Sends requests of all kinds in turn until the load ends. */
async function runCaller(
  fleet: StandinFleet,
  { instance, caller, plan, startedAtMs, requests }: CallerOptions,
): Promise<void> {
  const elapsedMs = () => performance.now() - startedAtMs;
  for (let count = caller; elapsedMs() < plan.lengthMs; count++) {
    const path = PATHS[count % PATHS.length]!;
    const requestId = `i${instance}c${caller}n${count}`;
    const atMs = elapsedMs();
    const result = await sendCall({
      address: fleet.gateways[instance]!.callerAddress,
      path,
      requestId,
      key: CALLER_KEY,
      headers: { "X-Deadline-Ms": "4000", ...HEADERS[path] },
    });
    requests.push({ requestId, path, instance, atMs, result });
    if (result.status !== STATUS_OK) {
      await pause(RETRY_PAUSE_MS);
    }
  }
}

function findRequestFaults({ requests, ranIds }: PathOutcome): string[] {
  const runCounts = new Map<string, number>();
  for (const id of ranIds) {
    runCounts.set(id, (runCounts.get(id) ?? 0) + 1);
  }
  return requests.flatMap(({ requestId, path, result }) => {
    const runs = runCounts.get(requestId) ?? 0;
    const { status, isWhole, body } = result;
    const isPlain = !HEADERS[path]!["X-Token-Counts"];
    const faults: string[] = [];
    if (AT_MOST_ONCE_PATHS.has(path) && runs > 1) {
      faults.push(`${requestId} ran ${runs} times`);
    }
    const mustNotRun = AT_MOST_ONCE_PATHS.has(path) &&
      NOT_RUN_STATUSES.has(status);
    if (mustNotRun && runs > 0) {
      faults.push(`${requestId} ran, answered ${status}`);
    }
    if (status === STATUS_OK && isWhole) {
      const isOwn = isPlain
        ? body.includes(requestId)
        : body.split("\n\n").length === 9;
      if (!isOwn || runs === 0) {
        faults.push(`${requestId} got a wrong answer`);
      }
    }
    return faults;
  });
}

/** Compares the service of isolated instances with that of the others. */
function findServiceFaults(
  { requests, killed, plan }: PathOutcome,
  cut: PlannedCut,
): string[] {
  const fromMs = cut.atMs + SETTLING_MS;
  const untilMs = Math.min(cut.atMs + cut.forMs, plan.lengthMs);
  const during = requests.filter(({ atMs, instance }) =>
    atMs >= fromMs && atMs < untilMs && instance !== killed
  );
  const isolated = during.filter(({ instance }) =>
    cut.instances.includes(instance)
  );
  const others = during.filter(({ instance }) =>
    plan.cuts.every(({ instances }) => !instances.includes(instance))
  );
  const failed = isolated.filter(({ result }) => !isServed(result)).length;
  const servedShare = 1 - failed / Math.max(1, isolated.length);
  const otherShare = others.filter(({ result }) => isServed(result)).length /
    Math.max(1, others.length);
  const isWorse = servedShare < MIN_SERVICE_RATIO * otherShare &&
    failed > FAILURE_SLACK + FAILURE_SHARE * isolated.length;
  return isWorse
    ? [`isolated instances failed ${failed} of ${isolated.length} requests`]
    : [];
}

function isServed({ status, isWhole }: CallResult): boolean {
  return status === STATUS_OK && isWhole;
}

function findExitFaults(
  { overloadExits, targetCount }: PathOutcome,
): string[] {
  return overloadExits > EXIT_SLACK + EXIT_SHARE * targetCount
    ? [`${overloadExits} exits of ${targetCount} targets after rejections`]
    : [];
}
