/** Targets of a seed that send signals, and checks that these are respected. */

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

/** Bounds that the platform sets for a rate-limited target. */
const SETTLED_MS = 3000;
const TOLD_MS = 500;
const WINDOW_MS = 4000;
const FACTOR = 1.5;
const SPARE = 5;

/** Time in which a target that leaves may still get requests. */
const DRAIN_MS = 2000;

/** Requests that a target may still get during a back-off. */
const MAX_IN_BACKOFF = 2;

const MS_PER_S = 1000;

const HEADERS: Readonly<Record<SoakSignal, string>> = {
  [SoakSignal.RateLimit]: "Server-Limit",
  [SoakSignal.Leaving]: LEAVING_HEADER,
  [SoakSignal.Backoff]: "Retry-After",
};

const PROMISES: Readonly<Record<SoakSignal, string>> = {
  [SoakSignal.RateLimit]: "a rate limit of a target holds",
  [SoakSignal.Leaving]: "a leaving target gets no new requests",
  [SoakSignal.Backoff]: "back-off that a target asks for is kept",
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
  [SoakSignal.RateLimit]: overrun,
  [SoakSignal.Leaving]: afterLeaving,
  [SoakSignal.Backoff]: duringBackoff,
};

/** What a signal needs to know when it is played. */
interface SignalScene {
  readonly fleet: SoakFleet;
  readonly chosen: SoakTarget;
  readonly forMs: number;
  /** Adds the signal to all further answers. */
  send(): void;
}

const PLAYS: Readonly<
  Record<SoakSignal, (scene: SignalScene) => Promise<void>>
> = {
  [SoakSignal.RateLimit]: async ({ send }) => {
    await Promise.resolve(send());
  },
  [SoakSignal.Leaving]: async ({ fleet, chosen, forMs, send }) => {
    if (fleet.mayLeave(chosen)) {
      send();
      await pause(forMs);
      fleet.retire(chosen);
    }
  },
  // It serves well afterwards even if its version fails, so that verdicts meet
  // failing versions with a sound target.
  [SoakSignal.Backoff]: async ({ chosen: { target }, forMs, send }) => {
    send();
    target.conduct = TargetConduct.Reject;
    await pause(forMs);
    target.conduct = TargetConduct.Serve;
    const { [HEADERS[SoakSignal.Backoff]]: _, ...others } = target.signals;
    target.signals = others;
  },
};

/** Lets targets send signals, and checks what they receive. */
export class SoakSignals {
  readonly #fleet: SoakFleet;
  readonly #plan: readonly PlannedSignal[];

  /**
   * @param fleet The fleet.
   * @param plan Signals of its targets.
   */
  constructor(fleet: SoakFleet, plan: readonly PlannedSignal[]) {
    this.#fleet = fleet;
    this.#plan = plan;
  }

  /** @returns Once all signals were sent and the list is up to date. */
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
    const chosen = targets[index % targets.length]!;
    const { target } = chosen;
    const header = HEADERS[signal];
    if (header in target.signals) {
      return;
    }
    await PLAYS[signal]({
      fleet: this.#fleet,
      chosen,
      forMs,
      send: () => target.signals = { ...target.signals, [header]: `${value}` },
    });
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

/** Counts requests from instances that knew the rate limit. */
function overrun({ id, arrivals, harmed }: TargetAccount): string[] {
  const told = toldBy(arrivals, SoakSignal.RateLimit);
  if (told.length === 0) {
    return [];
  }
  const limitPerS = Number(told[0]!.signals[HEADERS[SoakSignal.RateLimit]]);
  const sinceMs = Math.min(...told.map(({ answeredAtMs }) => answeredAtMs!)) +
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

function duringBackoff({ id, arrivals, harmed }: TargetAccount): string[] {
  // Retry-After on an answer that served its request is no back-off.
  const rejected = arrivals.filter(({ ran }) => !ran);
  return toldBy(rejected, SoakSignal.Backoff).flatMap((asked) => {
    const fromMs = asked.answeredAtMs!;
    const backoffMs = Number(asked.signals[HEADERS[SoakSignal.Backoff]]) *
      MS_PER_S;
    const within = arrivals.filter((arrival) =>
      arrival.atMs < fromMs + backoffMs && knewBefore(arrival, [asked], TOLD_MS)
    );
    const isExcused = isDuringAny(harmed, fromMs, fromMs + backoffMs);
    return within.length <= MAX_IN_BACKOFF || isExcused ? [] : [
      `${id} got ${within.length} from ${asked.instance.id} in ${backoffMs} ms`,
    ];
  });
}

/** Answers that carried a signal and were written out. */
function toldBy(arrivals: readonly Arrival[], signal: SoakSignal): Arrival[] {
  return arrivals.filter(({ signals, answeredAtMs }) =>
    HEADERS[signal] in signals && answeredAtMs !== undefined
  );
}

/** Whether its instance knew for so long and ran without interruption. */
function knewBefore(
  { instance, atMs }: Arrival,
  told: readonly Arrival[],
  agoMs: number,
): boolean {
  const { away, down, paused } = instance;
  const disturbed = [...away, ...down, ...paused];
  return told.some((one) =>
    one.instance === instance && one.answeredAtMs! + agoMs < atMs &&
    !isDuringAny(disturbed, one.answeredAtMs!, atMs)
  );
}

function isDuringAny(
  spans: readonly Span[],
  fromMs: number,
  untilMs: number,
): boolean {
  return spans.some((span) => span.fromMs <= untilMs && span.untilMs >= fromMs);
}
