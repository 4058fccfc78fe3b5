/**
 * Runs a fleet in which one request, or one part of prompts, ends every target
 * that starts to run it. Instances are separate processes, and ended targets start again with new ids.
 * The request is sent again through all instances, beside other requests, while
 * instances are killed, paused and started.
 */

import { setTimeout as pause } from "node:timers/promises";
import {
  type RandomSource,
  seededRandomSource,
} from "@chestnuthatch/core/random_source";
import { freePorts } from "@chestnuthatch/platform/free_ports";
import {
  type CallResult,
  sendCall,
} from "@chestnuthatch/platform/standin_caller";
import {
  CALLER_KEY,
  defaultConfiguration,
  ENGINE_POOL,
  targetRow,
} from "@chestnuthatch/platform/standin_fleet";
import {
  StandinStore,
  type StoreSnapshot,
} from "@chestnuthatch/platform/standin_store";
import {
  type ReceivedRequest,
  StandinTarget,
} from "@chestnuthatch/platform/standin_target";
import {
  Disturbance,
  type EndedTargetsPlan,
  EndingCause,
} from "./ended_targets_plan.ts";
import { startAll } from "./soak_fleet.ts";
import { SoakInstance } from "./soak_instance.ts";
import { waitFor } from "./wait_for.ts";

/** Ended targets, answers and logs of a run. */
export interface EndedTargetsOutcome {
  /** Number of targets that the request ended, by turn. */
  readonly endedByTurn: readonly number[];
  /** Answers to the request, in the order of their arrival. */
  readonly answers: readonly CallResult[];
  /** Answers to all other requests. */
  readonly otherAnswers: readonly CallResult[];
  /** Log lines of the instances, by id. */
  readonly logs: ReadonlyMap<string, readonly string[]>;
}

const PATH = "/plan/of-a-field";
/** Body of the request, by which it differs from the other requests. */
const ENDING_BODY = "ends what runs it";
/** Part of prompts that ends targets unless it is the last part. */
const ENDING_PART = "ending";
const SHARED_PART = "shared";
/** Table of the store in which a fleet records what it knows. */
const RECORD_TABLE = "records";
const TOKENS = { "X-Token-Counts": "60,20" };

/** Whether a request ends the targets that run it, by cause. */
const ENDS_TARGET: Readonly<
  Record<EndingCause, (request: ReceivedRequest) => boolean>
> = {
  [EndingCause.WholeRequest]: ({ body }) => body === ENDING_BODY,
  [EndingCause.PromptPart]: ({ headers }) =>
    String(headers["x-prompt-prefix"]).includes(`${ENDING_PART}:60,`),
};
const SERVICE_TIME_MS = 5;
const SLOTS = 4;
const PORT_COUNT = 4;
const DOMAINS = ["a", "b", "c"];
const STATUS_OK = 200;

/** Number of ended targets from which instances hold a request back. */
const ENDED_TARGETS_LIMIT = 3;
/** Targets that the request may still end after that. */
const MAX_ENDED_AFTER_LIMIT = 3;
const HELD_BACK = /held back/;

/**
 * Checks a run.
 *
 * @param outcome Ended targets and answers of the run.
 * @returns Descriptions of faults; empty if there are none.
 */
export function findOutcomeFaults(outcome: EndedTargetsOutcome): string[] {
  const { endedByTurn, otherAnswers } = outcome;
  const faults: string[] = [];
  let ended = 0;
  let endedAfterLimit = 0;
  for (const inTurn of endedByTurn) {
    endedAfterLimit += ended >= ENDED_TARGETS_LIMIT ? inTurn : 0;
    ended += inTurn;
  }
  if (endedAfterLimit > MAX_ENDED_AFTER_LIMIT) {
    faults.push(
      `${endedAfterLimit} targets ended after three had: ${endedByTurn}`,
    );
  }
  const held = otherAnswers.filter(({ body }) => HELD_BACK.test(body));
  if (held.length > 0) {
    faults.push(`${held.length} requests were held back that ended nothing`);
  }
  if (!otherAnswers.some(({ status }) => status === STATUS_OK)) {
    faults.push("nothing else was served");
  }
  return faults;
}

/**
 * Runs a plan.
 *
 * @param plan Fleet, callers and disturbances of the run.
 * @returns Ended targets, answers and logs, once the run has ended.
 */
export async function runEndedTargets(
  plan: EndedTargetsPlan,
): Promise<EndedTargetsOutcome> {
  const run = new EndedTargetsRun(plan);
  try {
    return await run.run();
  } finally {
    await run.close();
  }
}

/** The fleet and the state of one run. */
class EndedTargetsRun {
  readonly #plan: EndedTargetsPlan;
  readonly #store = new StandinStore();
  readonly #engines: StandinTarget[] = [];
  readonly #instances: SoakInstance[] = [];
  readonly #randomness: RandomSource;
  readonly #restartTimers = new Set<NodeJS.Timeout>();
  readonly #answers: CallResult[] = [];
  readonly #otherAnswers: CallResult[] = [];
  readonly #endedByTurn: number[] = [];
  #snapshot?: StoreSnapshot;
  #restarts = 0;
  #calls = 0;
  #isOver = false;

  constructor(plan: EndedTargetsPlan) {
    this.#plan = plan;
    this.#randomness = seededRandomSource(plan.seed);
  }

  async run(): Promise<EndedTargetsOutcome> {
    await this.#start();
    const otherCalls = Array.from(
      { length: this.#plan.otherCallers },
      (_, index) => this.#sendOtherCalls(index),
    );
    for (const [turn, disturbance] of this.#plan.disturbances.entries()) {
      this.#endedByTurn.push(0);
      await this.#disturb(disturbance, turn);
      this.#snapshot = this.#store.snapshot();
      await this.#repeatRequest(turn);
      await this.#waitUntilServed(this.#instance(turn));
    }
    this.#isOver = true;
    await Promise.all(otherCalls);
    return {
      endedByTurn: this.#endedByTurn,
      answers: this.#answers,
      otherAnswers: this.#otherAnswers,
      logs: new Map(this.#instances.map(({ id, logLines }) => [id, logLines])),
    };
  }

  async close(): Promise<void> {
    this.#isOver = true;
    this.#restartTimers.forEach((timer) => clearTimeout(timer));
    await Promise.all(this.#instances.map((instance) => instance.close()));
    this.#engines.forEach((engine) => engine.close());
    this.#store.close();
  }

  async #start(): Promise<void> {
    await this.#store.open("127.0.0.1");
    const { recordsDelayMs = 0 } = this.#plan;
    this.#store.readDelaysMs.set(RECORD_TABLE, recordsDelayMs);
    for (let index = 0; index < this.#plan.engines; index++) {
      const engine = new StandinTarget({
        id: `e${index}`,
        serviceTimeMs: SERVICE_TIME_MS,
      });
      await engine.open("127.0.0.1");
      engine.shouldExitOn = ENDS_TARGET[this.#plan.cause];
      engine.onExit = () => this.#onEngineExit(engine, index);
      this.#engines.push(engine);
      this.#writeTargetRow(engine, index);
    }
    this.#store.put("op", "config", defaultConfiguration(1));
    const ports = await freePorts(PORT_COUNT);
    const storeAddress = this.#store.address;
    for (let index = 0; index < this.#plan.instances; index++) {
      const options = { index, ports, storeAddress, writeBytesPerS: Infinity };
      this.#instances.push(new SoakInstance(options));
    }
    await this.#startAll();
  }

  async #startAll(): Promise<void> {
    await startAll(this.#instances, 0);
    for (const instance of this.#instances) {
      await waitFor(`${instance.id} to be ready`, () => instance.isReady());
    }
  }

  #writeTargetRow(engine: StandinTarget, index: number): void {
    const domain = DOMAINS[index % DOMAINS.length]!;
    const { address } = engine;
    const row = { pool: ENGINE_POOL, address, domain, slots: SLOTS };
    this.#store.put(
      "servers",
      engine.id,
      targetRow({ ...row, leaving: false }),
    );
  }

  #onEngineExit(engine: StandinTarget, index: number): void {
    this.#endedByTurn[this.#endedByTurn.length - 1]!++;
    const timer = setTimeout(() => {
      this.#restartTimers.delete(timer);
      void this.#restartEngine(engine, index);
    }, this.#plan.restartDelayMs);
    this.#restartTimers.add(timer);
  }

  async #restartEngine(engine: StandinTarget, index: number): Promise<void> {
    const before = engine.id;
    await engine.restart(`e${index}.${++this.#restarts}`);
    this.#store.put("servers", before);
    this.#writeTargetRow(engine, index);
  }

  async #disturb(disturbance: Disturbance, turn: number): Promise<void> {
    const instance = this.#instance(turn);
    switch (disturbance) {
      case Disturbance.None:
        return;
      case Disturbance.OneKilled:
        await instance.kill();
        await this.#startAll();
        return;
      case Disturbance.AllKilled:
        await Promise.all(this.#instances.map((each) => each.kill()));
        await this.#startAll();
        return;
      case Disturbance.OnePaused:
        await instance.pause();
        await this.#sendEndingRequest(this.#instance(turn + 1));
        await this.#waitUntilServed(this.#instance(turn + 1));
        instance.resume();
        return;
      case Disturbance.StoreRestored:
        this.#restoreStore();
        return;
    }
  }

  /**
   * Restores the last snapshot. The operator and the engines then write their
   * current rows again.
   */
  #restoreStore(): void {
    if (this.#snapshot === undefined) {
      return;
    }
    this.#store.restore(this.#snapshot);
    this.#store.put("op", "config", defaultConfiguration(1));
    const ids = new Set(this.#engines.map(({ id }) => id));
    this.#store.keysOf("servers").filter((id) => !ids.has(id))
      .forEach((id) => this.#store.put("servers", id));
    this.#engines.forEach((engine, index) =>
      this.#writeTargetRow(engine, index)
    );
  }

  async #repeatRequest(turn: number): Promise<void> {
    const calls = Array.from(
      { length: this.#plan.concurrency },
      (_, index) => this.#sendEndingRequest(this.#instance(turn + index)),
    );
    await Promise.all(calls);
  }

  async #sendEndingRequest(instance: SoakInstance): Promise<void> {
    const { body, parts } = this.#plan.cause === EndingCause.WholeRequest
      ? { body: ENDING_BODY, parts: [SHARED_PART] }
      : {
        body: `ending ${this.#answers.length} of ${this.#calls}`,
        parts: [SHARED_PART, ENDING_PART],
      };
    this.#answers.push(await this.#call(instance, body, parts));
  }

  /** Sends requests that differ from the ending one only in their bodies. */
  async #sendOtherCalls(caller: number): Promise<void> {
    for (let count = 0; !this.#isOver; count++) {
      const instance = this.#drawInstance();
      if (!instance.isRunning) {
        await pause(SERVICE_TIME_MS);
        continue;
      }
      const body = `request ${count} of caller ${caller}`;
      const parts = [SHARED_PART, `session of ${caller}`];
      this.#otherAnswers.push(await this.#call(instance, body, parts));
    }
  }

  /** Sends a request whose prompt has a last part of its own. */
  #call(
    instance: SoakInstance,
    body: string,
    parts: readonly string[],
  ): Promise<CallResult> {
    const entries = [...parts, `own ${body}`].map((part) => `${part}:60`);
    return sendCall({
      address: instance.callerAddress,
      path: PATH,
      requestId: `request-${this.#calls++}`,
      key: CALLER_KEY,
      body,
      headers: { ...TOKENS, "X-Prompt-Prefix": entries.join() },
    });
  }

  /** Waits until every engine has restarted and requests are served again. */
  async #waitUntilServed(instance: SoakInstance): Promise<void> {
    await waitFor(
      "all engines to be back",
      () => this.#restartTimers.size === 0,
    );
    const ids = () => this.#engines.map(({ id }) => id).join();
    const before = ids();
    await waitFor("a request to be served", async () => {
      const { status } = await this.#call(instance, "a probe", [SHARED_PART]);
      return status === STATUS_OK && before === ids();
    });
  }

  #drawInstance(): SoakInstance {
    const { instances } = this.#plan;
    return this.#instance(Math.floor(this.#randomness.next() * instances));
  }

  #instance(turn: number): SoakInstance {
    return this.#instances[turn % this.#instances.length]!;
  }
}
