/** Callers of the soak: they keep their connections and note what came back. */

import { Agent } from "node:http";
import { setTimeout as pause } from "node:timers/promises";
import {
  type Randomness,
  seededRandomness,
} from "@chestnuthatch/core/randomness";
import {
  type CallResult,
  sendCall,
} from "@chestnuthatch/platform/standin_caller";
import { CALLER_KEY } from "@chestnuthatch/platform/standin_fleet";
import type { SoakInstance } from "./soak_instance.ts";
import type { SoakPlan } from "./soak_plan.ts";

/** A kind of call. */
export interface CallKind {
  readonly path: string;
  readonly method: string;
  /** Events of the stream; 0 for a plain call. */
  readonly events: number;
  /** Whether it may run once at most. */
  readonly once: boolean;
}

/** One call, and what came of it. */
export interface CallRecord {
  readonly requestId: string;
  readonly kind: CallKind;
  readonly instance: SoakInstance;
  readonly startedAtMs: number;
  endedAtMs: number;
  /** Whether its caller left before the end. */
  left: boolean;
  result?: CallResult;
}

const PROMPT_TOKENS = 300;

/** Kinds of call, in turn. */
export const CALL_KINDS: readonly CallKind[] = [
  { path: "/plan/", method: "POST", events: 30, once: false },
  { path: "/note/", method: "POST", events: 12, once: true },
  { path: "/ticket/", method: "POST", events: 0, once: true },
  { path: "/status/", method: "GET", events: 0, once: false },
];

const DEADLINE_MS = 4000;
const LEAVING_SHARE = 0.04;
const MS_PER_S = 1000;

/** Sends calls to the instances of a fleet. */
export class SoakCallers {
  readonly records: CallRecord[] = [];
  readonly #seed: number;
  readonly #random: Randomness;
  readonly #agent = new Agent({ keepAlive: true });
  readonly #open = new Set<Promise<void>>();

  /** @param seed Names the calls, and draws who leaves. */
  constructor(seed: number) {
    this.#seed = seed;
    this.#random = seededRandomness(seed);
  }

  /**
   * Calls for as long as the plan says.
   *
   * @param plan How often.
   * @param instances Whom to call, in turn.
   * @returns Once the last call was sent.
   */
  async run(
    plan: SoakPlan,
    instances: readonly SoakInstance[],
  ): Promise<void> {
    const beganAtMs = performance.now();
    for (let index = 0;; index++) {
      const spentMs = performance.now() - beganAtMs;
      if (spentMs >= plan.lengthMs) {
        return;
      }
      const kind = CALL_KINDS[index % CALL_KINDS.length]!;
      const drawn = Math.floor(this.#random.next() * instances.length);
      const leaves = this.#random.next() < LEAVING_SHARE;
      this.#begin(kind, instances[drawn]!, leaves);
      await pause(MS_PER_S / rateOf(plan, spentMs));
    }
  }

  /**
   * Sends one call.
   *
   * @param kind What is called.
   * @param instance Whom to call.
   * @returns What became of it.
   */
  async send(kind: CallKind, instance: SoakInstance): Promise<CallRecord> {
    const record = this.#recordOf(kind, instance);
    await this.#call(record, false);
    return record;
  }

  /** @returns Once every call has an end. */
  async settled(): Promise<void> {
    await Promise.all(this.#open);
  }

  /** Closes kept connections. */
  close(): void {
    this.#agent.destroy();
  }

  #begin(kind: CallKind, instance: SoakInstance, leaves: boolean): void {
    const record = this.#recordOf(kind, instance);
    const ended = this.#call(record, leaves)
      .finally(() => this.#open.delete(ended));
    this.#open.add(ended);
  }

  #recordOf(kind: CallKind, instance: SoakInstance): CallRecord {
    const record = {
      requestId: `soak-${this.#seed}-${this.records.length}`,
      kind,
      instance,
      startedAtMs: performance.now(),
      endedAtMs: Infinity,
      left: false,
    };
    this.records.push(record);
    return record;
  }

  async #call(record: CallRecord, leaves: boolean): Promise<void> {
    const { requestId, kind, instance } = record;
    record.result = await sendCall({
      address: instance.callerAddress,
      path: kind.path,
      method: kind.method,
      requestId,
      key: CALLER_KEY,
      agent: this.#agent,
      headers: {
        "X-Deadline-Ms": String(DEADLINE_MS),
        ...(kind.events === 0
          ? {}
          : { "X-Token-Counts": `${PROMPT_TOKENS},${kind.events}` }),
      },
      onData: (_text, leave) => {
        if (leaves) {
          record.left = true;
          leave();
        }
      },
    });
    record.endedAtMs = performance.now();
  }
}

function rateOf({ surge, callsPerS }: SoakPlan, spentMs: number): number {
  const inSurge = spentMs >= surge.atMs && spentMs < surge.atMs + surge.forMs;
  return inSurge ? surge.callsPerS : callsPerS;
}
