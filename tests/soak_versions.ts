/** Checks that confirmed versions of the configuration come into force in time. */

import { Agent, get } from "node:http";
import { setTimeout as pause } from "node:timers/promises";
import { HOST } from "@chestnuthatch/platform/standin_fleet";
import { LoopDelay } from "./loop_delay.ts";
import type { BrokenPromise } from "./soak_checks.ts";
import type { SoakFleet } from "./soak_fleet.ts";
import type { SoakInstance, Span } from "./soak_instance.ts";

/** Bounds that the platform sets for versions of the configuration. */
const APPLY_MS = 2000;
const UNDISTURBED_MS = 3000;

/** Time after a version is confirmed for which instances are asked for it. */
const WATCH_MS = 9000;

/**
 * Time between two asks, for each instance that is being asked: the store shares
 * this process, and would be late itself if more were asked.
 */
const ASK_EVERY_MS = 10;
const ASK_TIMEOUT_MS = 1000;

const STATUS_NOT_FOUND = 404;
const PROMISE = "a confirmed version is in force within its bound";

/** Asks every instance for the route that a version adds, until it has it. */
export class SoakVersions {
  readonly #fleet: SoakFleet;
  readonly #agent = new Agent({ keepAlive: true });
  readonly #loopDelay = new LoopDelay();
  readonly #broken: BrokenPromise[] = [];
  readonly #watches: Promise<unknown>[] = [];
  /** Instances that are asked for a version now, counted for each version. */
  #watching = 0;
  #isOver = false;

  /** @param fleet Whose versions are watched. */
  constructor(fleet: SoakFleet) {
    this.#fleet = fleet;
    fleet.onVersion = (version) => {
      const confirmedAtMs = performance.now();
      const watches = fleet.instances.map(async (instance) => {
        this.#watching++;
        await this.#watch(instance, version, confirmedAtMs);
        this.#watching--;
      });
      this.#watches.push(...watches);
    };
  }

  /** @returns Versions that were late, once all have been watched. */
  async broken(): Promise<BrokenPromise[]> {
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

  async #watch(
    instance: SoakInstance,
    version: number,
    confirmedAtMs: number,
  ): Promise<void> {
    const untilMs = confirmedAtMs + WATCH_MS;
    let sentAtMs = performance.now();
    while (!this.#isOver && sentAtMs < untilMs) {
      const status = await this.#ask(instance, version);
      if (status !== undefined && status !== STATUS_NOT_FOUND) {
        return;
      }
      const lateMs = sentAtMs - confirmedAtMs;
      const isLate = status !== undefined && lateMs > APPLY_MS;
      if (isLate && !this.#isDisturbed(instance, sentAtMs)) {
        const loopMs = this.#loopDelay.worstSinceMs(confirmedAtMs);
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
      await pause(ASK_EVERY_MS * this.#watching);
      sentAtMs = performance.now();
    }
  }

  /** Whether the instance, or its way to the store, was at fault lately. */
  #isDisturbed(instance: SoakInstance, atMs: number): boolean {
    const { away, down, paused } = instance;
    return [away, down, paused, this.#fleet.storeHarmed].some((spans) =>
      spans.some((span) => overlaps(span, atMs - UNDISTURBED_MS))
    );
  }

  /** @returns The status code; undefined where there was no answer. */
  #ask(instance: SoakInstance, version: number): Promise<number | undefined> {
    const [host, port] = instance.callerAddress.split(":");
    return new Promise((resolve) => {
      const asked = get({
        host,
        port,
        agent: this.#agent,
        path: `/version-${version}/`,
        headers: { Host: HOST },
        timeout: ASK_TIMEOUT_MS,
      }, (answer) => {
        answer.resume();
        answer.on("error", () => resolve(undefined));
        answer.on("end", () => resolve(answer.statusCode));
      });
      asked.on("timeout", () => asked.destroy());
      asked.on("error", () => resolve(undefined));
    });
  }
}

function overlaps({ untilMs }: Span, fromMs: number): boolean {
  return untilMs >= fromMs;
}
