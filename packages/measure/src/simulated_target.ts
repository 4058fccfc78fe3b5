/** Interface of simulated targets, and their connections to holders. */

import type { TargetSettings } from "@chestnuthatch/settings/settings_types";
import type {
  CacheEventsAnswer,
  EngineEvent,
  ServiceAnswer,
} from "@chestnuthatch/wire/target_protocol";
import type { TargetLoad } from "@chestnuthatch/wire/shared_types";
import type { AttemptRef } from "@chestnuthatch/core/events";
import type { EventQueue } from "./event_queue.ts";
import type { SimulatedNetwork } from "./simulated_network.ts";
import type { PromiseChecker } from "./promise_checker.ts";

/** The request of one attempt, as it is dispatched to a target. */
export interface TargetWork extends AttemptRef {
  readonly holderId: string;
  readonly pool: string;
  readonly model: string;
  readonly tierRank: number;
  readonly prompt: string;
  readonly promptTokens: number;
  readonly maxOutputTokens: number;
  readonly idempotencyKey?: string;
  readonly blockHashes: readonly string[];
}

/** Receiver of the events of an attempt, on the holder's side. */
export interface AttemptListener {
  /** Failure domain of the holder. */
  readonly failureDomain: string;
  /**
   * Receives an event of an engine's stream.
   *
   * @param event The event.
   */
  onStreamEvent(event: EngineEvent): void;
  /**
   * Receives the answer of a service.
   *
   * @param answer The answer.
   */
  onServiceAnswered(answer: ServiceAnswer): void;
  /**
   * Handles a connection that broke before the attempt ended.
   *
   * @param reason Cause of the failure.
   */
  onClosed(reason: string): void;
}

/** Recorder of the work that targets receive and do. */
export interface WorkRecorder {
  /**
   * Records work that reached a target.
   *
   * @param work The work.
   * @param targetId Id of the target.
   */
  recordReceived(work: TargetWork, targetId: string): void;
  /**
   * Records that a target started work.
   *
   * @param requestId Id of the request.
   */
  recordStarted(requestId: string): void;
  /**
   * Records that an engine prefilled a prompt.
   *
   * @param requestId Id of the request.
   * @param tokens Prompt tokens found in the prefix cache, and those prefilled.
   */
  recordPrefilled(
    requestId: string,
    tokens: { cached: number; prefilled: number },
  ): void;
}

/** Parts of the simulation that a target uses, and its random seed. */
export interface TargetContext {
  readonly queue: EventQueue;
  readonly network: SimulatedNetwork;
  readonly checker: PromiseChecker;
  readonly recorder: WorkRecorder;
  readonly seed: number;
}

/** Work that a target has done in one run. */
export interface TargetUsage {
  /** Prompt tokens prefilled, by request id. */
  readonly prefilledTokensByRequestId: ReadonlyMap<string, number>;
}

/** A simulated target, which runs a stand-in's model. */
export interface SimulatedTarget {
  readonly settings: TargetSettings;
  readonly isRunning: boolean;
  /**
   * Starts an attempt.
   *
   * @param work The request of the attempt.
   * @param listener Receiver of the attempt's events.
   */
  dispatch(work: TargetWork, listener: AttemptListener): void;
  /**
   * Cancels an attempt; services ignore it.
   *
   * @param attempt The attempt.
   */
  cancel(attempt: AttemptRef): void;
  /**
   * Resumes a stream over a new connection after the old one broke.
   *
   * @param attempt The attempt.
   * @param options Index of the first token to send, and the receiver of the
   * stream's events.
   */
  resume(
    attempt: AttemptRef,
    options: { fromToken: number; listener: AttemptListener },
  ): void;
  /** @returns The reported load, which lags behind the real one. */
  load(): TargetLoad;
  /**
   * Reads the events of the prefix cache.
   *
   * @param after Sequence number of the last event read.
   * @returns The events after it; none from a service.
   */
  cacheEvents(after: number): CacheEventsAnswer;
  /**
   * Makes the target a straggler.
   *
   * @param factor How many times as long the work takes; 1 for normal speed.
   */
  setSlowdown(factor: number): void;
  /** Makes the target announce that it is leaving. */
  startLeaving(): void;
  /** Kills the target: it loses its work, and its connections break. */
  kill(): void;
  /** @returns The work that the target has done in this run. */
  usage(): TargetUsage;
}

/** Time without progress after which the holder closes the connection. */
const IDLE_TIMEOUT_MS = 2000;
const RETRANSMIT_INTERVAL_MS = 200;

/**
 * Connection from a target to the holder of an attempt. Events sent while the
 * link is cut are sent again once it works; they arrive in order or not at all.
 */
export class TargetConnection {
  readonly #context: Pick<TargetContext, "queue" | "network">;
  readonly #targetFailureDomain: string;
  readonly #listener: AttemptListener;
  #backlog: ((listener: AttemptListener) => void)[] = [];
  #stalledSinceMs: number | undefined;
  #isClosed = false;

  /**
   * @param context The clock and the network.
   * @param endpoints The target's failure domain, and the holder's receiver.
   */
  constructor(
    context: Pick<TargetContext, "queue" | "network">,
    endpoints: { targetFailureDomain: string; listener: AttemptListener },
  ) {
    this.#context = context;
    this.#targetFailureDomain = endpoints.targetFailureDomain;
    this.#listener = endpoints.listener;
  }

  /**
   * Sends an event to the holder.
   *
   * @param notify Function that passes the event to the receiver.
   */
  send(notify: (listener: AttemptListener) => void): void {
    if (this.#isClosed) {
      return;
    }
    if (this.#isConnected() && this.#backlog.length === 0) {
      this.#deliver(notify);
      return;
    }
    this.#backlog.push(notify);
    if (this.#backlog.length === 1) {
      this.#stalledSinceMs = this.#context.queue.nowMs;
      this.#retransmit();
    }
  }

  /**
   * Breaks the connection; the holder is notified after all earlier events.
   *
   * @param reason Cause of the failure.
   */
  close(reason: string): void {
    this.send((listener) => listener.onClosed(reason));
    this.#isClosed = this.#backlog.length === 0;
  }

  /** Closes the connection without notifying the holder. */
  discard(): void {
    this.#isClosed = true;
    this.#backlog = [];
  }

  #retransmit(): void {
    const { queue } = this.#context;
    queue.after(RETRANSMIT_INTERVAL_MS, () => {
      const stalledMs = queue.nowMs - (this.#stalledSinceMs ?? queue.nowMs);
      if (this.#isClosed || this.#backlog.length === 0) {
        return;
      }
      if (this.#isConnected()) {
        this.#backlog.forEach((notify) => this.#deliver(notify));
        this.#backlog = [];
      } else if (stalledMs > IDLE_TIMEOUT_MS) {
        this.discard();
        this.#listener.onClosed("nothing came in time");
      } else {
        this.#retransmit();
      }
    });
  }

  #deliver(notify: (listener: AttemptListener) => void): void {
    const { queue, network } = this.#context;
    const delayMs = network.delayMs(
      this.#targetFailureDomain,
      this.#listener.failureDomain,
    );
    queue.after(delayMs, () => notify(this.#listener));
  }

  #isConnected(): boolean {
    return this.#context.network.isConnected(
      this.#targetFailureDomain,
      this.#listener.failureDomain,
    );
  }
}
