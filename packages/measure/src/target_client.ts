/** How an entry instance reaches targets over links that can break. */

import type { AttemptRef } from "@chestnuthatch/core/events";
import type { CacheEventsAnswer } from "@chestnuthatch/wire/target_protocol";
import type { TargetLoad } from "@chestnuthatch/wire/work";
import type { InstanceContext } from "./entry_instance.ts";
import { CONNECT_TIMEOUT_MS } from "./simulated_network.ts";
import type {
  AttemptListener,
  SimulatedTarget,
  TargetWork,
} from "./simulated_target.ts";

/** Why a call to a target that is gone fails. */
export const CONNECTION_REFUSED_REASON = "connection refused";

const POLL_TIMEOUT_MS = 500;

/** Calls to targets from one failure domain. */
export class TargetClient {
  readonly #context: InstanceContext;
  readonly #failureDomain: string;

  /**
   * @param context The world.
   * @param failureDomain Where the instance stands.
   */
  constructor(context: InstanceContext, failureDomain: string) {
    this.#context = context;
    this.#failureDomain = failureDomain;
  }

  /**
   * Sends work.
   *
   * @param targetId The target.
   * @param options The work, where its answer goes, and who is told that no
   * byte of it left.
   */
  dispatch(
    targetId: string,
    options: {
      work: TargetWork;
      listener: AttemptListener;
      onNotSent: (reason: string) => void;
    },
  ): void {
    this.#connect(targetId, {
      timeoutMs: CONNECT_TIMEOUT_MS,
      onConnected: (target) => target.dispatch(options.work, options.listener),
      onFailed: options.onNotSent,
    });
  }

  /**
   * Asks for the rest of a stream.
   *
   * @param targetId The target.
   * @param options The attempt, the first token wanted and where it goes.
   */
  resume(
    targetId: string,
    options: {
      attempt: AttemptRef;
      fromToken: number;
      listener: AttemptListener;
    },
  ): void {
    this.#connect(targetId, {
      timeoutMs: CONNECT_TIMEOUT_MS,
      onConnected: (target) => target.resume(options.attempt, options),
      onFailed: (reason) => options.listener.onClosed(reason),
    });
  }

  /**
   * Stops a stream.
   *
   * @param targetId The target.
   * @param attempt The attempt.
   */
  cancel(targetId: string, attempt: AttemptRef): void {
    this.#connect(targetId, {
      timeoutMs: CONNECT_TIMEOUT_MS,
      onConnected: (target) => target.cancel(attempt),
      onFailed: () => {},
    });
  }

  /**
   * Reads a target's load.
   *
   * @param targetId The target.
   * @param reply Told the load, or nothing when it did not answer.
   */
  pollLoad(
    targetId: string,
    reply: (load: TargetLoad | undefined) => void,
  ): void {
    this.#poll(targetId, { read: (target) => target.load(), reply });
  }

  /**
   * Reads a target's cache events.
   *
   * @param targetId The target.
   * @param options The sequence read last, and who is told.
   */
  pollCacheEvents(
    targetId: string,
    options: {
      after: number;
      reply: (answer: CacheEventsAnswer | undefined) => void;
    },
  ): void {
    this.#poll(targetId, {
      read: (target) => target.cacheEvents(options.after),
      reply: options.reply,
    });
  }

  #poll<T>(
    targetId: string,
    options: {
      read: (target: SimulatedTarget) => T;
      reply: (answer: T | undefined) => void;
    },
  ): void {
    this.#connect(targetId, {
      timeoutMs: POLL_TIMEOUT_MS,
      onConnected: (target) => {
        const answer = options.read(target);
        this.#context.queue.after(
          this.#delayMs(target),
          () => options.reply(answer),
        );
      },
      onFailed: () => options.reply(undefined),
    });
  }

  #connect(
    targetId: string,
    options: {
      timeoutMs: number;
      onConnected: (target: SimulatedTarget) => void;
      onFailed: (reason: string) => void;
    },
  ): void {
    const { queue, network, targets } = this.#context;
    const target = targets.get(targetId);
    if (
      target === undefined ||
      !network.isConnected(this.#failureDomain, target.settings.failureDomain)
    ) {
      queue.after(
        options.timeoutMs,
        () => options.onFailed("connect timed out"),
      );
      return;
    }
    const delayMs = this.#delayMs(target);
    queue.after(delayMs, () => {
      if (target.isRunning) {
        options.onConnected(target);
      } else {
        queue.after(delayMs, () => options.onFailed(CONNECTION_REFUSED_REASON));
      }
    });
  }

  #delayMs(target: SimulatedTarget): number {
    return this.#context.network.delayMs(
      this.#failureDomain,
      target.settings.failureDomain,
    );
  }
}
