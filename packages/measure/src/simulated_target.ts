/** A target of the measured world: a stand-in behind links that can break. */

import type { TargetSettings } from "@chestnuthatch/settings/policy";
import type {
  CacheEventsAnswer,
  EngineEvent,
  ServiceAnswer,
} from "@chestnuthatch/wire/target_protocol";
import type { TargetLoad } from "@chestnuthatch/wire/work";
import type { AttemptRef } from "@chestnuthatch/core/events";
import type { EventQueue } from "./event_queue.ts";
import type { SimulatedNetwork } from "./simulated_network.ts";
import type { PromiseChecker } from "./promise_checker.ts";

/** Everything a target is sent with one attempt. */
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

/** The holder's end of a connection to a target. */
export interface AttemptListener {
  /** Failure domain of the holder. */
  readonly failureDomain: string;
  /** @param event One line of an engine's stream. */
  onStreamEvent(event: EngineEvent): void;
  /** @param answer A service's answer. */
  onServiceAnswered(answer: ServiceAnswer): void;
  /** @param reason Why the connection broke. */
  onClosed(reason: string): void;
}

/** What a target notes of the work it was sent. */
export interface WorkRecorder {
  /**
   * Notes work that reached a target.
   *
   * @param work What came.
   * @param targetId The target.
   */
  recordReceived(work: TargetWork, targetId: string): void;
  /** @param requestId A request whose work began. */
  recordStarted(requestId: string): void;
  /**
   * Notes a prompt that was read.
   *
   * @param requestId The request.
   * @param tokens Its tokens found in the cache, and worked.
   */
  recordPrefilled(
    requestId: string,
    tokens: { cached: number; prefilled: number },
  ): void;
}

/** What every target shares with the world. */
export interface TargetContext {
  readonly queue: EventQueue;
  readonly network: SimulatedNetwork;
  readonly checker: PromiseChecker;
  readonly recorder: WorkRecorder;
  readonly seed: number;
}

/** What one run has cost a target. */
export interface TargetUsage {
  /** Prompt tokens worked by request id. */
  readonly prefilledTokensByRequestId: ReadonlyMap<string, number>;
}

/** A target as the links reach it. */
export interface SimulatedTarget {
  readonly settings: TargetSettings;
  readonly isRunning: boolean;
  /**
   * Takes work.
   *
   * @param work The attempt.
   * @param listener Where its answer goes.
   */
  dispatch(work: TargetWork, listener: AttemptListener): void;
  /** @param attempt The attempt to stop. */
  cancel(attempt: AttemptRef): void;
  /**
   * Takes a new connection for a stream that broke.
   *
   * @param attempt The attempt.
   * @param options The first token wanted, and where the stream goes.
   */
  resume(
    attempt: AttemptRef,
    options: { fromToken: number; listener: AttemptListener },
  ): void;
  /** @returns The target's own stale report. */
  load(): TargetLoad;
  /**
   * Reads cache events.
   *
   * @param after Sequence number read last.
   * @returns The next events; none from a service.
   */
  cacheEvents(after: number): CacheEventsAnswer;
  /** @param factor How many times slower it gets. */
  setSlowdown(factor: number): void;
  /** Makes the target tell that it is leaving. */
  startLeaving(): void;
  /** Kills the process: everything it does and holds is lost. */
  kill(): void;
  /** @returns What it did in this run. */
  usage(): TargetUsage;
}

/** A connection that hears nothing this long is given up. */
const IDLE_TIMEOUT_MS = 2000;
const RETRANSMIT_INTERVAL_MS = 200;

/** The target's end of a connection; what it sends arrives in order or never. */
export class TargetConnection {
  readonly #context: Pick<TargetContext, "queue" | "network">;
  readonly #targetFailureDomain: string;
  readonly #listener: AttemptListener;
  #backlog: ((holder: AttemptListener) => void)[] = [];
  #stalledSinceMs: number | undefined;
  #isClosed = false;

  /**
   * @param context The clock and the links.
   * @param endpoints The target's domain and the holder's end.
   */
  constructor(
    context: Pick<TargetContext, "queue" | "network">,
    endpoints: { targetFailureDomain: string; listener: AttemptListener },
  ) {
    this.#context = context;
    this.#targetFailureDomain = endpoints.targetFailureDomain;
    this.#listener = endpoints.listener;
  }

  /** @param notify What the holder is told. */
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

  /** @param reason Why the holder's connection breaks. */
  close(reason: string): void {
    this.send((listener) => listener.onClosed(reason));
    this.#isClosed = this.#backlog.length === 0;
  }

  /** Drops the connection without telling the holder anything. */
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
