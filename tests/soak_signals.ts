/** Targets of a seed that name limits, and what must hold of them. */

import { setTimeout as pause } from "node:timers/promises";
import type { CallRecord } from "./soak_callers.ts";
import type { BrokenPromise } from "./soak_checks.ts";
import type { SoakFleet, SoakTarget } from "./soak_fleet.ts";
import type { SoakInstance, Span } from "./soak_instance.ts";
import type { PlannedLimit } from "./soak_signals_plan.ts";

/** What the platform promises a target that names a limit. */
const SETTLED_MS = 3000;
const TOLD_MS = 500;
const WINDOW_MS = 4000;
const FACTOR = 1.5;
const SPARE = 5;
const MS_PER_S = 1000;

const LIMIT_HEADER = "Server-Limit";

interface Limited {
  readonly target: SoakTarget;
  readonly limitPerS: number;
}

/** Lets targets name limits, and counts what they get. */
export class SoakSignals {
  readonly #fleet: SoakFleet;
  readonly #plan: readonly PlannedLimit[];
  readonly #limited: Limited[] = [];

  /**
   * @param fleet The fleet.
   * @param plan Limits of its targets.
   */
  constructor(fleet: SoakFleet, plan: readonly PlannedLimit[]) {
    this.#fleet = fleet;
    this.#plan = plan;
  }

  /** @returns Once all limits are named. */
  async play(): Promise<void> {
    await Promise.all(this.#plan.map((planned) => this.#name(planned)));
  }

  /**
   * @param records All calls.
   * @returns What was broken of what must hold.
   */
  broken(records: readonly CallRecord[]): BrokenPromise[] {
    const instances = new Map(
      records.map(({ requestId, instance }) => [requestId, instance]),
    );
    return this.#limited.flatMap((limited) =>
      overrun(limited, instances).map((detail) => ({
        promise: "a target gets no more than the limit that it names",
        requestId: "",
        instanceId: "",
        detail,
      }))
    );
  }

  async #name({ atMs, index, limitPerS }: PlannedLimit): Promise<void> {
    await pause(atMs);
    const { targets } = this.#fleet;
    const limited = targets[index % targets.length]!;
    if (this.#limited.every(({ target }) => target !== limited)) {
      limited.target.tells = { [LIMIT_HEADER]: String(limitPerS) };
      this.#limited.push({ target: limited, limitPerS });
    }
  }
}

/** Counts requests from instances that the target had told. */
function overrun(
  { target, limitPerS }: Limited,
  instances: ReadonlyMap<string, SoakInstance>,
): string[] {
  const told = new Map<SoakInstance, number[]>();
  for (const { requestId, toldAtMs } of target.target.seen) {
    const instance = instances.get(requestId);
    if (instance !== undefined && toldAtMs !== undefined) {
      told.set(instance, [...told.get(instance) ?? [], toldAtMs]);
    }
  }
  const sinceMs = Math.min(...[...told.values()].flat()) + SETTLED_MS;
  const arrivedAtMs = target.target.seen.filter(({ requestId, atMs }) => {
    const instance = instances.get(requestId);
    return instance !== undefined && atMs >= sinceMs &&
      (told.get(instance) ?? []).some((toldAtMs) =>
        toldAtMs + TOLD_MS <= atMs &&
        !isDisturbed(disturbancesOf(instance), toldAtMs, atMs)
      );
  }).map(({ atMs }) => atMs);
  const allowed = FACTOR * limitPerS * WINDOW_MS / MS_PER_S + SPARE;
  const most = Math.max(
    0,
    ...arrivedAtMs.map((endMs) =>
      isDisturbed(target.harmed, endMs - WINDOW_MS, endMs)
        ? 0
        : arrivedAtMs.filter((atMs) =>
          atMs > endMs - WINDOW_MS && atMs <= endMs
        )
          .length
    ),
  );
  const { id } = target.target;
  return most <= allowed
    ? []
    : [`${id} got ${most} in 4 s, ${allowed} allowed at ${limitPerS} a second`];
}

function disturbancesOf({ away, down, paused }: SoakInstance): Span[] {
  return [...away, ...down, ...paused];
}

function isDisturbed(
  spans: readonly Span[],
  fromMs: number,
  untilMs: number,
): boolean {
  return spans.some((span) => span.fromMs <= untilMs && span.untilMs >= fromMs);
}
