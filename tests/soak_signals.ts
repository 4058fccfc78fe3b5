/** Targets of a seed that tell of themselves, and what must hold of them. */

import { setTimeout as pause } from "node:timers/promises";
import {
  type SeenRequest,
  TargetConduct,
} from "@chestnuthatch/platform/standin_target";
import type { CallRecord } from "./soak_callers.ts";
import type { BrokenPromise } from "./soak_checks.ts";
import {
  LEAVING_HEADER,
  type SoakFleet,
  type SoakTarget,
} from "./soak_fleet.ts";
import type { SoakInstance, Span } from "./soak_instance.ts";
import { type PlannedSignal, SoakSignal } from "./soak_signals_plan.ts";

/** What the platform promises a target that names a limit. */
const SETTLED_MS = 3000;
const TOLD_MS = 500;
const WINDOW_MS = 4000;
const FACTOR = 1.5;
const SPARE = 5;

/** Time in which a target that leaves may still get requests. */
const DRAIN_MS = 2000;

/** Requests that a target may still get within a rest. */
const MOST_IN_REST = 2;

const MS_PER_S = 1000;

const HEADERS: Readonly<Record<SoakSignal, string>> = {
  [SoakSignal.Limit]: "Server-Limit",
  [SoakSignal.Leaving]: LEAVING_HEADER,
  [SoakSignal.Rest]: "Retry-After",
};

const PROMISES: Readonly<Record<SoakSignal, string>> = {
  [SoakSignal.Limit]: "a target gets no more than the limit that it names",
  [SoakSignal.Leaving]: "a target that says that it leaves is left alone",
  [SoakSignal.Rest]: "a target that asks for rest is left alone",
};

/** A request that reached a target, and who had sent it there. */
interface Arrival extends SeenRequest {
  readonly instance: SoakInstance;
}

/** What one target got, and when it or its link was at fault. */
interface TargetAccount {
  readonly id: string;
  readonly arrivals: readonly Arrival[];
  readonly harmed: readonly Span[];
}

const CHECKS: Readonly<
  Record<SoakSignal, (account: TargetAccount) => string[]>
> = {
  [SoakSignal.Limit]: overrun,
  [SoakSignal.Leaving]: afterLeaving,
  [SoakSignal.Rest]: withinRests,
};

/** Lets targets tell of themselves, and looks at what they get. */
export class SoakSignals {
  readonly #fleet: SoakFleet;
  readonly #plan: readonly PlannedSignal[];

  /**
   * @param fleet The fleet.
   * @param plan What its targets tell.
   */
  constructor(fleet: SoakFleet, plan: readonly PlannedSignal[]) {
    this.#fleet = fleet;
    this.#plan = plan;
  }

  /** @returns Once all has been told, and lists are up to date. */
  async play(): Promise<void> {
    await Promise.all(this.#plan.map((planned) => this.#playOne(planned)));
  }

  /**
   * @param records All calls.
   * @returns What was broken of what must hold.
   */
  broken(records: readonly CallRecord[]): BrokenPromise[] {
    const instances = new Map(
      records.map(({ requestId, instance }) => [requestId, instance]),
    );
    const signals = new Set(this.#plan.map(({ signal }) => signal));
    return this.#fleet.targets.flatMap((target) => {
      const account = accountOf(target, instances);
      return [...signals].flatMap((signal) =>
        CHECKS[signal](account).map((detail) => ({
          promise: PROMISES[signal],
          requestId: "",
          instanceId: "",
          detail,
        }))
      );
    });
  }

  async #playOne({ signal, atMs, index, value, forMs }: PlannedSignal) {
    await pause(atMs);
    const { targets } = this.#fleet;
    const told = targets[index % targets.length]!;
    const { target } = told;
    const header = HEADERS[signal];
    if (header in target.tells) {
      return;
    }
    const tell = () => target.tells = { ...target.tells, [header]: `${value}` };
    switch (signal) {
      case SoakSignal.Limit:
        tell();
        return;
      case SoakSignal.Leaving:
        if (this.#fleet.mayLeave(told)) {
          tell();
          await pause(forMs);
          this.#fleet.retire(told);
        }
        return;
      case SoakSignal.Rest: {
        tell();
        target.conduct = TargetConduct.Reject;
        await pause(forMs);
        target.conduct = TargetConduct.Serve;
        const { [header]: _, ...others } = target.tells;
        target.tells = others;
        return;
      }
    }
  }
}

function accountOf(
  { target, harmed }: SoakTarget,
  instances: ReadonlyMap<string, SoakInstance>,
): TargetAccount {
  const arrivals = target.seen.flatMap((seen) => {
    const instance = instances.get(seen.requestId);
    return instance === undefined ? [] : { ...seen, instance };
  });
  return { id: target.id, arrivals, harmed };
}

/** Requests from instances that the target had told its limit. */
function overrun({ id, arrivals, harmed }: TargetAccount): string[] {
  const told = toldBy(arrivals, SoakSignal.Limit);
  if (told.length === 0) {
    return [];
  }
  const limitPerS = Number(told[0]!.told[HEADERS[SoakSignal.Limit]]);
  const sinceMs = Math.min(...told.map(({ toldAtMs }) => toldAtMs!)) +
    SETTLED_MS;
  const countedAtMs = arrivals.filter((arrival) =>
    arrival.atMs >= sinceMs && knewBefore(arrival, told, TOLD_MS)
  ).map(({ atMs }) => atMs);
  const allowed = FACTOR * limitPerS * WINDOW_MS / MS_PER_S + SPARE;
  const most = Math.max(
    0,
    ...countedAtMs.map((endMs) =>
      isDuringAny(harmed, endMs - WINDOW_MS, endMs)
        ? 0
        : countedAtMs.filter((atMs) =>
          atMs > endMs - WINDOW_MS && atMs <= endMs
        )
          .length
    ),
  );
  return most <= allowed
    ? []
    : [`${id} got ${most} in 4 s, ${allowed} allowed at ${limitPerS} a second`];
}

function afterLeaving({ id, arrivals, harmed }: TargetAccount): string[] {
  const told = toldBy(arrivals, SoakSignal.Leaving);
  const late = arrivals.filter((arrival) =>
    knewBefore(arrival, told, DRAIN_MS) &&
    !isDuringAny(harmed, arrival.atMs - DRAIN_MS, arrival.atMs)
  );
  return late.map(({ requestId, instance }) =>
    `${id} got ${requestId} from ${instance.id}, over ${DRAIN_MS} ms later`
  );
}

function withinRests({ id, arrivals, harmed }: TargetAccount): string[] {
  // An answer that serves a request asks for nothing by the same header.
  const turnedAway = arrivals.filter(({ ran }) => !ran);
  return toldBy(turnedAway, SoakSignal.Rest).flatMap((asked) => {
    const fromMs = asked.toldAtMs!;
    const restMs = Number(asked.told[HEADERS[SoakSignal.Rest]]) * MS_PER_S;
    const within = arrivals.filter((arrival) =>
      arrival.atMs < fromMs + restMs && knewBefore(arrival, [asked], TOLD_MS)
    );
    const isExcused = isDuringAny(harmed, fromMs, fromMs + restMs);
    return within.length <= MOST_IN_REST || isExcused ? [] : [
      `${id} got ${within.length} from ${asked.instance.id} in ${restMs} ms`,
    ];
  });
}

/** Answers that told something, and were written out. */
function toldBy(arrivals: readonly Arrival[], signal: SoakSignal): Arrival[] {
  return arrivals.filter(({ told, toldAtMs }) =>
    HEADERS[signal] in told && toldAtMs !== undefined
  );
}

/** Whether its instance had been told so long before, and gone on since. */
function knewBefore(
  { instance, atMs }: Arrival,
  told: readonly Arrival[],
  agoMs: number,
): boolean {
  const { away, down, paused } = instance;
  const disturbed = [...away, ...down, ...paused];
  return told.some((one) =>
    one.instance === instance && one.toldAtMs! + agoMs < atMs &&
    !isDuringAny(disturbed, one.toldAtMs!, atMs)
  );
}

function isDuringAny(
  spans: readonly Span[],
  fromMs: number,
  untilMs: number,
): boolean {
  return spans.some((span) => span.fromMs <= untilMs && span.untilMs >= fromMs);
}
