/**
 * Runs a fleet in which parts of prompts crash each target that begins to
 * answer a request with them. Sound requests share their workspace and their
 * other parts with the crashing ones.
 *
 * The instances share a process with the targets, so that the times at which
 * requests reach targets can be compared with those of the crashes.
 */

import { setTimeout as pause } from "node:timers/promises";
import { pollUntil } from "@chestnuthatch/platform/poll_until";
import { sendCall } from "@chestnuthatch/platform/standin_caller";
import {
  CALLER_KEY,
  StandinFleet,
} from "@chestnuthatch/platform/standin_fleet";
import type {
  ReceivedRequest,
  StandinTarget,
} from "@chestnuthatch/platform/standin_target";
import {
  type CrashingPart,
  type CrashingPartsPlan,
  FleetFault,
  PartPosition,
} from "./crashing_parts_plan.ts";
import { Draw } from "./soak_draw.ts";

/** A sound request that was sent, and how it ended. */
interface SoundRequest {
  /** Time since the start of the load. */
  readonly atMs: number;
  readonly status: number;
  readonly isServed: boolean;
}

/** Runs and crashes of the requests with one crashing part. */
export interface PartOutcome {
  readonly part: CrashingPart;
  /** Times of the crashes since the start of the load. */
  readonly crashesAtMs: readonly number[];
  /** Times at which requests with the part reached targets. */
  readonly reachedAtMs: readonly number[];
}

/** Requests, targets and log of a run. */
export interface CrashingPartsOutcome {
  readonly plan: CrashingPartsPlan;
  readonly parts: readonly PartOutcome[];
  readonly sound: readonly SoundRequest[];
  readonly logLines: readonly string[];
}

const PATH = "/plan/of-a-field";
const SHARED_PART = "shared";
const PROMPT_HEADER = "x-prompt-prefix";
const STATUS_OK = 200;
const MS_PER_S = 1000;
const SOUND_PAUSE_MS = 40;
const CALLER_RETRY_DELAY_MS = 300;
const SLOTS = 8;

/** Crashes after which requests with a part are bounded. */
const BOUNDING_CRASHES = 5;
/** Time after that crash from which they are bounded. */
const BOUND_FROM_MS = 3000;
/** Requests with the part that may still reach targets. */
const MAX_REQUESTS_AFTER = 3;
/** Time after the bounding crash from which sound requests are compared. */
const SOUND_FROM_MS = 6000;
/** Least ratio of the share of served sound requests, during and before. */
const MIN_SOUND_RATIO = 0.5;
/** Least number of sound requests in each of the compared periods. */
const MIN_SOUND_REQUESTS = 20;

/**
 * Runs a plan.
 *
 * @param plan Fleet, load and faults.
 * @returns What callers and targets saw.
 */
export async function runCrashingParts(
  plan: CrashingPartsPlan,
): Promise<CrashingPartsOutcome> {
  const run = new CrashingPartsRun(plan);
  try {
    return await run.run();
  } finally {
    run.close();
  }
}

/**
 * Checks a run.
 *
 * @param outcome What callers and targets saw.
 * @returns Descriptions of faults; empty if there are none.
 */
export function findCrashingPartsFaults(
  outcome: CrashingPartsOutcome,
): string[] {
  return [
    ...outcome.parts.flatMap(findRequestsAfterBound),
    ...findSoundFaults(outcome),
  ];
}

/** Local time from which the rules on a part hold; undefined without crashes. */
function boundingCrashMs({ crashesAtMs }: PartOutcome): number | undefined {
  return crashesAtMs[Math.min(BOUNDING_CRASHES, crashesAtMs.length) - 1];
}

function findRequestsAfterBound(outcome: PartOutcome): string[] {
  const { part, crashesAtMs, reachedAtMs } = outcome;
  if (crashesAtMs.length < BOUNDING_CRASHES) {
    return [];
  }
  const fromMs = boundingCrashMs(outcome)! + BOUND_FROM_MS;
  const late = reachedAtMs.filter((atMs) => atMs > fromMs).length;
  return late > MAX_REQUESTS_AFTER
    ? [
      `${late} requests with ${part.id} reached targets too late; ` +
      `${crashesAtMs.length} crashes`,
    ]
    : [];
}

function findSoundFaults({ plan, parts, sound }: CrashingPartsOutcome) {
  const firstMs = Math.min(...plan.parts.map(({ fromMs }) => fromMs));
  const settledMs = Math.max(
    firstMs,
    ...parts.flatMap((part) => boundingCrashMs(part) ?? []),
  ) + SOUND_FROM_MS;
  const before = sound.filter(({ atMs }) => atMs < firstMs);
  const during = sound.filter(({ atMs }) => atMs >= settledMs);
  const isComparable = before.length >= MIN_SOUND_REQUESTS &&
    during.length >= MIN_SOUND_REQUESTS;
  const ratio = servedShare(during) / servedShare(before);
  return isComparable && ratio < MIN_SOUND_RATIO
    ? [`sound requests are served ${ratio.toFixed(2)} times as often`]
    : [];
}

/**
 * Computes how many of some sound requests were served.
 *
 * @param sound Sound requests.
 * @returns Their share, from 0 to 1.
 */
export function servedShare(sound: readonly SoundRequest[]): number {
  return sound.filter(({ isServed }) => isServed).length /
    Math.max(1, sound.length);
}

/** The fleet and the state of one run. */
class CrashingPartsRun {
  readonly #plan: CrashingPartsPlan;
  readonly #fleet: StandinFleet;
  readonly #draw: Draw;
  readonly #sound: SoundRequest[] = [];
  readonly #crashesAtMs = new Map<string, number[]>();
  /** Restarts of engines that have exited. */
  readonly #restarts = new Map<StandinTarget, NodeJS.Timeout>();
  /** Session part that each sound caller uses at present. */
  readonly #sessions: string[] = [];
  #startedAtMs = 0;
  #calls = 0;
  #restartCount = 0;
  #isOver = false;

  constructor(plan: CrashingPartsPlan) {
    this.#plan = plan;
    const { instances, engines } = plan;
    this.#fleet = new StandinFleet({
      instances,
      engines,
      desks: 1,
      slots: SLOTS,
    });
    this.#draw = new Draw(plan.seed);
  }

  async run(): Promise<CrashingPartsOutcome> {
    await this.#start();
    this.#startedAtMs = performance.now();
    const { parts, soundCallers, faults } = this.#plan;
    await Promise.all([
      ...Array.from(
        { length: soundCallers },
        (_, caller) => this.#sendSoundRequests(caller),
      ),
      ...parts.map((part) => this.#sendCrashingRequests(part)),
      ...faults.map(({ fault, atMs, index }) =>
        this.#injectFault(fault, { atMs, index })
      ),
    ]);
    return {
      plan: this.#plan,
      parts: parts.map((part) => ({
        part,
        crashesAtMs: this.#crashesAtMs.get(part.id) ?? [],
        reachedAtMs: this.#reachedAtMs(part),
      })),
      sound: this.#sound,
      logLines: this.#fleet.logLines,
    };
  }

  close(): void {
    this.#isOver = true;
    this.#restarts.forEach((timer) => clearTimeout(timer));
    this.#fleet.close();
  }

  async #start(): Promise<void> {
    const { instances, crashDelayMs } = this.#plan;
    await this.#fleet.startStoreAndTargets();
    this.#fleet.configure();
    await this.#fleet.startInstances();
    for (const engine of this.#fleet.engines) {
      engine.exitDelayMs = crashDelayMs;
      engine.shouldExitOn = (request) => this.#partsIn(request).length > 0;
      engine.onExit = () => this.#onCrash(engine);
    }
    await pollUntil(
      "all instances are ready, and members of each other's view",
      () =>
        this.#fleet.gateways.every(({ isReady, board }) =>
          isReady && board.members.alive(performance.now()).length === instances
        ),
    );
  }

  /** Crashing parts of a request; its last part crashes nothing. */
  #partsIn({ headers }: ReceivedRequest): CrashingPart[] {
    const ids = String(headers[PROMPT_HEADER]).split(",").slice(0, -1)
      .map((entry) => entry.split(":")[0]);
    return this.#plan.parts.filter(({ id }) => ids.includes(id));
  }

  #reachedAtMs(part: CrashingPart): number[] {
    return this.#fleet.engines
      .flatMap(({ receivedRequests }) => receivedRequests)
      .filter((request) => request.ran && this.#partsIn(request).includes(part))
      .map(({ atMs }) => atMs - this.#startedAtMs)
      .sort((a, b) => a - b);
  }

  /** Attributes the crash to the parts of the requests that the target ran. */
  #onCrash(engine: StandinTarget): void {
    const nowMs = this.#elapsedMs();
    const { crashDelayMs } = this.#plan;
    const running = engine.receivedRequests.filter(({ ran, atMs }) =>
      ran && atMs - this.#startedAtMs >= nowMs - 2 * crashDelayMs
    );
    for (const { id } of new Set(running.flatMap((r) => this.#partsIn(r)))) {
      const times = this.#crashesAtMs.get(id) ?? [];
      this.#crashesAtMs.set(id, [...times, nowMs]);
    }
    this.#restartLater(engine);
  }

  #restartLater(engine: StandinTarget): void {
    const restart = async () => {
      this.#restarts.delete(engine);
      const before = engine.id;
      const id = `${before.split(".")[0]}.${++this.#restartCount}`;
      await engine.restart(id);
      this.#fleet.store.put("servers", before);
      this.#fleet.listTarget(engine);
    };
    const timer = setTimeout(() => void restart(), this.#plan.restartDelayMs);
    this.#restarts.set(engine, timer);
  }

  async #injectFault(
    fault: FleetFault,
    { atMs, index }: { atMs: number; index: number },
  ): Promise<void> {
    await pause(atMs);
    const { gateways, engines } = this.#fleet;
    if (fault === FleetFault.InstanceKilled) {
      gateways[index % gateways.length]!.kill();
    } else {
      const engine = engines[index % engines.length]!;
      if (!this.#restarts.has(engine)) {
        engine.close();
        this.#restartLater(engine);
      }
    }
  }

  async #sendSoundRequests(caller: number): Promise<void> {
    const { requestsPerSession, lengthMs } = this.#plan;
    for (let count = 0; this.#elapsedMs() < lengthMs; count++) {
      const session = Math.floor(count / requestsPerSession);
      this.#sessions[caller] = `s${caller}-${session}`;
      const atMs = this.#elapsedMs();
      const parts = [SHARED_PART, this.#sessions[caller]!];
      const { status, isWhole } = await this.#call(parts);
      const isServed = status === STATUS_OK && isWhole;
      this.#sound.push({ atMs, status, isServed });
      await pause(SOUND_PAUSE_MS);
    }
  }

  async #sendCrashingRequests(part: CrashingPart): Promise<void> {
    await pause(part.fromMs);
    const calls: Promise<void>[] = [];
    while (!this.#isOver && this.#elapsedMs() < this.#plan.lengthMs) {
      calls.push(this.#sendCrashingRequest(part));
      await pause(MS_PER_S / part.requestsPerS);
    }
    await Promise.all(calls);
  }

  /** Sends a request like a sound one with the part, and retries it once. */
  async #sendCrashingRequest({ id, position }: CrashingPart): Promise<void> {
    const session = this.#draw.oneOf(this.#sessions);
    const parts = {
      [PartPosition.First]: [id, SHARED_PART, session],
      [PartPosition.Middle]: [SHARED_PART, id, session],
    }[position];
    const { status } = await this.#call(parts);
    if (status !== STATUS_OK) {
      await pause(CALLER_RETRY_DELAY_MS);
      await this.#call(parts);
    }
  }

  /** Sends a request through any running instance, with a last part of its own. */
  #call(parts: readonly string[]) {
    const requestId = `request-${this.#calls++}`;
    const own = `own-${requestId}`;
    return sendCall({
      address: this.#draw.oneOf(this.#runningAddresses()),
      path: PATH,
      requestId,
      key: CALLER_KEY,
      body: requestId,
      headers: {
        "X-Token-Counts": "300,8",
        "X-Prompt-Prefix": [...parts, own].map((id) => `${id}:60`).join(),
        "X-Deadline-Ms": "4000",
      },
    });
  }

  #runningAddresses(): string[] {
    const { gateways } = this.#fleet;
    const killed = new Set(
      this.#plan.faults
        .filter(({ fault, atMs }) =>
          fault === FleetFault.InstanceKilled && atMs <= this.#elapsedMs()
        )
        .map(({ index }) => index % gateways.length),
    );
    return gateways.filter((_, index) => !killed.has(index))
      .map(({ callerAddress }) => callerAddress);
  }

  #elapsedMs(): number {
    return performance.now() - this.#startedAtMs;
  }
}
