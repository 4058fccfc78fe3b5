/** Client through which an entry instance calls simulated targets. */

import type { AttemptRef } from "@chestnuthatch/core/events";
import type { CacheEventsAnswer } from "@chestnuthatch/wire/target_protocol";
import type { TargetLoad } from "@chestnuthatch/wire/shared_types";
import type { InstanceContext } from "./entry_instance.ts";
import { CONNECT_TIMEOUT_MS } from "./simulated_network.ts";
import type {
  AttemptListener,
  SimulatedTarget,
  TargetWork,
} from "./simulated_target.ts";

/** Reason of a failed call to a target that isn't running. */
export const CONNECTION_REFUSED_REASON = "connection refused";

const POLL_TIMEOUT_MS = 500;

/** Calls targets from one failure domain, over links that can be cut. */
export class TargetClient {
  readonly #context: InstanceContext;
  readonly #failureDomain: string;

  /**
   * @param context The parts of the simulation that the client uses.
   * @param failureDomain Failure domain that the instance runs in.
   */
  constructor(context: InstanceContext, failureDomain: string) {
    this.#context = context;
    this.#failureDomain = failureDomain;
  }

  /**
   * Dispatches an attempt.
   *
   * @param targetId Id of the target.
   * @param options The request, the receiver of its events, and `onNotSent`,
   * which is called if no byte of the request was sent.
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
   * Resumes the stream of an attempt.
   *
   * @param targetId Id of the target.
   * @param options The attempt, the index of the first token to send, and the
   * receiver of the stream's events.
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
   * Cancels an attempt; failures are ignored.
   *
   * @param targetId Id of the target.
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
   * Reads the load that a target reports.
   *
   * @param targetId Id of the target.
   * @param reply Receives the load, or undefined if the target didn't answer.
   */
  pollLoad(
    targetId: string,
    reply: (load: TargetLoad | undefined) => void,
  ): void {
    this.#poll(targetId, { read: (target) => target.load(), reply });
  }

  /**
   * Reads the events of a target's prefix cache.
   *
   * @param targetId Id of the target.
   * @param options Sequence number of the last event read, and the receiver of
   * the events, which gets undefined if the target didn't answer.
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
