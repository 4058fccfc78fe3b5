/** Makes targets send signals, and checks that instances respect them. */

import { setTimeout as pause } from "node:timers/promises";
import type { ReceivedRequest } from "@chestnuthatch/platform/standin_target";
import { TargetBehavior } from "@chestnuthatch/platform/target_behavior";
import type { CallRecord } from "./soak_callers.ts";
import type { BrokenPromise } from "./soak_checks.ts";
import {
  LEAVING_HEADER,
  type SoakFleet,
  type SoakTarget,
} from "./soak_fleet.ts";
import type { SoakInstance, TimeSpan } from "./soak_instance.ts";
import { type PlannedSignal, SoakSignal } from "./soak_signals_plan.ts";

/**
 * Bounds that the platform sets for a rate-limited target: time until a limit
 * holds, time until an instance applies a signal, the window in which requests
 * are counted, and the excess that is allowed in it.
 */
const LIMIT_SETTLE_MS = 3000;
const SIGNAL_APPLY_MS = 500;
const WINDOW_MS = 4000;
const MAX_RATE_FACTOR = 1.5;
const RATE_SLACK = 5;

/** Time in which a leaving target may still get requests. */
const DRAIN_MS = 2000;

/** Requests that a target may still get from one instance during a backoff. */
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

/** A request that a target received, and the instance that sent it. */
interface Arrival extends ReceivedRequest {
  readonly instance: SoakInstance;
}

/** Requests that one target received, and its time spans of faults. */
interface TargetArrivals {
  readonly id: string;
  readonly arrivals: readonly Arrival[];
  readonly faultSpans: readonly TimeSpan[];
}

const CHECKS: Readonly<
  Record<SoakSignal, (target: TargetArrivals) => string[]>
> = {
  [SoakSignal.RateLimit]: findRateOverrun,
  [SoakSignal.Leaving]: findLateRequests,
  [SoakSignal.Backoff]: findBackoffRequests,
};

/** A target that sends a signal, and the duration of the signal. */
interface SignalContext {
  readonly fleet: SoakFleet;
  readonly soakTarget: SoakTarget;
  readonly forMs: number;
  /** Adds the signal's header to all further answers. */
  send(): void;
}

const SIGNAL_ACTIONS: Readonly<
  Record<SoakSignal, (context: SignalContext) => Promise<void>>
> = {
  [SoakSignal.RateLimit]: async ({ send }) => {
    await Promise.resolve(send());
  },
  [SoakSignal.Leaving]: async ({ fleet, soakTarget, forMs, send }) => {
    if (fleet.mayLeave(soakTarget)) {
      send();
      await pause(forMs);
      fleet.markLeaving(soakTarget);
    }
  },
  // The target serves afterwards even if its version fails, so that verdicts
  // are also reached on failing versions with one healthy target.
  [SoakSignal.Backoff]: async ({ soakTarget: { target }, forMs, send }) => {
    send();
    target.behavior = TargetBehavior.Reject;
    await pause(forMs);
    target.behavior = TargetBehavior.Serve;
    const { [HEADERS[SoakSignal.Backoff]]: _, ...others } =
      target.signalHeaders;
    target.signalHeaders = others;
  },
};

/** Makes targets send signals, and checks the requests that they receive. */
export class SoakSignals {
  readonly #fleet: SoakFleet;
  readonly #plan: readonly PlannedSignal[];

  /**
   * @param fleet Fleet whose targets send signals.
   * @param plan The signals.
   */
  constructor(fleet: SoakFleet, plan: readonly PlannedSignal[]) {
    this.#fleet = fleet;
    this.#plan = plan;
  }

  /**
   * Sends all signals at their times.
   *
   * @returns Settles once all were sent and the rows of leaving targets
   * written.
   */
  async run(): Promise<void> {
    await Promise.all(this.#plan.map((planned) => this.#runSignal(planned)));
  }

  /**
   * Checks the requests that targets received.
   *
   * @param records All calls of the seed.
   * @returns The broken promises.
   */
  findBroken(records: readonly CallRecord[]): BrokenPromise[] {
    const instances = new Map(
      records.map(({ requestId, instance }) => [requestId, instance]),
    );
    const signals = new Set(this.#plan.map(({ signal }) => signal));
    return this.#fleet.targets.flatMap((target) => {
      const targetArrivals = collectArrivals(target, instances);
      return [...signals].flatMap((signal) =>
        CHECKS[signal](targetArrivals).map((detail) => ({
          promise: PROMISES[signal],
          requestId: "",
          instanceId: "",
          detail,
        }))
      );
    });
  }

  async #runSignal({ signal, atMs, index, value, forMs }: PlannedSignal) {
    await pause(atMs);
    const { targets } = this.#fleet;
    const soakTarget = targets[index % targets.length]!;
    const { target } = soakTarget;
    const header = HEADERS[signal];
    if (header in target.signalHeaders) {
      return;
    }
    await SIGNAL_ACTIONS[signal]({
      fleet: this.#fleet,
      soakTarget,
      forMs,
      send: () =>
        target.signalHeaders = {
          ...target.signalHeaders,
          [header]: `${value}`,
        },
    });
  }
}

function collectArrivals(
  { target, faultSpans }: SoakTarget,
  instances: ReadonlyMap<string, SoakInstance>,
): TargetArrivals {
  const arrivals = target.receivedRequests.flatMap((request) => {
    const instance = instances.get(request.requestId);
    return instance === undefined ? [] : { ...request, instance };
  });
  return { id: target.id, arrivals, faultSpans };
}

/** Checks the rate of requests from instances that had received the limit. */
function findRateOverrun(
  { id, arrivals, faultSpans }: TargetArrivals,
): string[] {
  const signaled = answersWithSignal(arrivals, SoakSignal.RateLimit);
  if (signaled.length === 0) {
    return [];
  }
  const limitPerS = Number(
    signaled[0]!.signalHeaders[HEADERS[SoakSignal.RateLimit]],
  );
  const sinceMs =
    Math.min(...signaled.map(({ answeredAtMs }) => answeredAtMs!)) +
    LIMIT_SETTLE_MS;
  const countedAtMs = arrivals.filter((arrival) =>
    arrival.atMs >= sinceMs &&
    receivedSignalBefore(arrival, signaled, SIGNAL_APPLY_MS)
  ).map(({ atMs }) => atMs);
  const allowed = MAX_RATE_FACTOR * limitPerS * WINDOW_MS / MS_PER_S +
    RATE_SLACK;
  const highest = Math.max(
    0,
    ...countedAtMs.map((endMs) =>
      isDuringAny(faultSpans, endMs - WINDOW_MS, endMs)
        ? 0
        : countedAtMs.filter((atMs) =>
          atMs > endMs - WINDOW_MS && atMs <= endMs
        )
          .length
    ),
  );
  return highest <= allowed ? [] : [
    `${id} got ${highest} in 4 s, ${allowed} allowed at ${limitPerS} a second`,
  ];
}

function findLateRequests(
  { id, arrivals, faultSpans }: TargetArrivals,
): string[] {
  const signaled = answersWithSignal(arrivals, SoakSignal.Leaving);
  const late = arrivals.filter((arrival) =>
    receivedSignalBefore(arrival, signaled, DRAIN_MS) &&
    !isDuringAny(faultSpans, arrival.atMs - DRAIN_MS, arrival.atMs)
  );
  return late.map(({ requestId, instance }) =>
    `${id} got ${requestId} from ${instance.id}, over ${DRAIN_MS} ms later`
  );
}

function findBackoffRequests(
  { id, arrivals, faultSpans }: TargetArrivals,
): string[] {
  // Retry-After on an answer to a request that ran does not ask for a backoff.
  const rejected = arrivals.filter(({ ran }) => !ran);
  return answersWithSignal(rejected, SoakSignal.Backoff).flatMap(
    (rejection) => {
      const fromMs = rejection.answeredAtMs!;
      const backoffMs =
        Number(rejection.signalHeaders[HEADERS[SoakSignal.Backoff]]) *
        MS_PER_S;
      const within = arrivals.filter((arrival) =>
        arrival.atMs < fromMs + backoffMs &&
        receivedSignalBefore(arrival, [rejection], SIGNAL_APPLY_MS)
      );
      const isExcused = isDuringAny(faultSpans, fromMs, fromMs + backoffMs);
      return within.length <= MAX_IN_BACKOFF || isExcused ? [] : [
        `${id} got ${within.length} from ${rejection.instance.id} in ${backoffMs} ms`,
      ];
    },
  );
}

/** Returns the requests whose answers were sent completely, with the signal. */
function answersWithSignal(
  arrivals: readonly Arrival[],
  signal: SoakSignal,
): Arrival[] {
  return arrivals.filter(({ signalHeaders, answeredAtMs }) =>
    HEADERS[signal] in signalHeaders && answeredAtMs !== undefined
  );
}

/**
 * Whether the request's instance had received the signal that long before, and
 * ran without interruption since.
 */
function receivedSignalBefore(
  { instance, atMs }: Arrival,
  signaled: readonly Arrival[],
  agoMs: number,
): boolean {
  const { unavailableSpans, downSpans, pausedSpans } = instance;
  const disturbed = [...unavailableSpans, ...downSpans, ...pausedSpans];
  return signaled.some((request) =>
    request.instance === instance && request.answeredAtMs! + agoMs < atMs &&
    !isDuringAny(disturbed, request.answeredAtMs!, atMs)
  );
}

function isDuringAny(
  spans: readonly TimeSpan[],
  fromMs: number,
  untilMs: number,
): boolean {
  return spans.some((span) => span.fromMs <= untilMs && span.untilMs >= fromMs);
}
