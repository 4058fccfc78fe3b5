/** Checks that versions of the configuration come into force in time. */

import { Agent, get } from "node:http";
import { setTimeout as pause } from "node:timers/promises";
import { ROUTE_HOST } from "@chestnuthatch/platform/standin_fleet";
import { LoopDelay } from "./loop_delay.ts";
import type { BrokenPromise } from "./soak_checks.ts";
import type { SoakFleet } from "./soak_fleet.ts";
import type { SoakInstance, TimeSpan } from "./soak_instance.ts";

/** Longest time until a confirmed version is in force, set by the platform. */
const MAX_APPLY_MS = 2000;

/** Time without faults after which that bound holds, set by the platform. */
const MIN_UNDISTURBED_MS = 3000;

/** Time after the confirmation of a version for which instances are polled. */
const WATCH_MS = 9000;

/**
 * Interval of polls, multiplied by the number of watches that poll: more polls
 * would delay the stand-ins that share this process.
 */
const POLL_MS = 10;
const POLL_TIMEOUT_MS = 1000;

const STATUS_NOT_FOUND = 404;
const PROMISE = "a confirmed version is in force within its bound";

/** Polls every instance for the route that a version adds, until it exists. */
export class SoakVersions {
  readonly #fleet: SoakFleet;
  readonly #agent = new Agent({ keepAlive: true });
  readonly #loopDelay = new LoopDelay();
  readonly #broken: BrokenPromise[] = [];
  readonly #watches: Promise<unknown>[] = [];
  /** Number of pairs of an instance and a version that are being polled. */
  #activeWatches = 0;
  #isOver = false;

  /** @param fleet Fleet whose versions are checked. */
  constructor(fleet: SoakFleet) {
    this.#fleet = fleet;
    fleet.onVersion = (version) => {
      const confirmedAtMs = performance.now();
      const watches = fleet.instances.map(async (instance) => {
        this.#activeWatches++;
        await this.#watchVersion(instance, version, confirmedAtMs);
        this.#activeWatches--;
      });
      this.#watches.push(...watches);
    };
  }

  /**
   * Waits for all watches, and closes this object.
   *
   * @returns Broken promises: versions that were not in force in time.
   */
  async findLateVersions(): Promise<BrokenPromise[]> {
    await Promise.all(this.#watches);
    this.close();
    return this.#broken;
  }

  /** Ends all watches. */
  close(): void {
    this.#isOver = true;
    this.#loopDelay.close();
    this.#agent.destroy();
  }

  async #watchVersion(
    instance: SoakInstance,
    version: number,
    confirmedAtMs: number,
  ): Promise<void> {
    const untilMs = confirmedAtMs + WATCH_MS;
    let sentAtMs = performance.now();
    while (!this.#isOver && sentAtMs < untilMs) {
      const status = await this.#poll(instance, version);
      if (status !== undefined && status !== STATUS_NOT_FOUND) {
        return;
      }
      const lateMs = sentAtMs - confirmedAtMs;
      const isLate = status !== undefined && lateMs > MAX_APPLY_MS;
      if (isLate && !this.#isDisturbed(instance, sentAtMs)) {
        const loopMs = this.#loopDelay.maxDelaySinceMs(confirmedAtMs);
        const detail =
          `version ${version} not known ${Math.round(lateMs)} ms after ` +
          `it was confirmed; this process's loop was up to ${loopMs} ms late`;
        const instanceId = instance.id;
        this.#broken.push({
          promise: PROMISE,
          requestId: "",
          instanceId,
          detail,
        });
        return;
      }
      await pause(POLL_MS * this.#activeWatches);
      sentAtMs = performance.now();
    }
  }

  /** Whether a fault of the instance, the store or its link was recent. */
  #isDisturbed(instance: SoakInstance, atMs: number): boolean {
    const { unavailableSpans, downSpans, pausedSpans } = instance;
    return [
      unavailableSpans,
      downSpans,
      pausedSpans,
      this.#fleet.storeFaultSpans,
    ].some((spans) =>
      spans.some((span) => overlaps(span, atMs - MIN_UNDISTURBED_MS))
    );
  }

  /** Returns the status of a version's route; undefined without an answer. */
  #poll(instance: SoakInstance, version: number): Promise<number | undefined> {
    const [host, port] = instance.callerAddress.split(":");
    return new Promise((resolve) => {
      const request = get({
        host,
        port,
        agent: this.#agent,
        path: `/version-${version}/`,
        headers: { Host: ROUTE_HOST },
        timeout: POLL_TIMEOUT_MS,
      }, (answer) => {
        answer.resume();
        answer.on("error", () => resolve(undefined));
        answer.on("end", () => resolve(answer.statusCode));
      });
      request.on("timeout", () => request.destroy());
      request.on("error", () => resolve(undefined));
    });
  }
}

function overlaps({ untilMs }: TimeSpan, fromMs: number): boolean {
  return untilMs >= fromMs;
}
