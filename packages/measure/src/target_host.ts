/** A target of the measured world: a stand-in behind links that can break. */

import type { TargetSettings } from "@chestnuthatch/settings/settings_types";
import type {
  CacheEventsAnswer,
  EngineEvent,
  ServiceAnswer,
} from "@chestnuthatch/wire/target_protocol";
import type { TargetLoad } from "@chestnuthatch/wire/shared_types";
import type { AttemptRef } from "@chestnuthatch/core/events";
import type { EventQueue } from "./event_queue.ts";
import type { Network } from "./network.ts";
import type { PromiseChecker } from "./promises.ts";

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
export interface HolderEnd {
  /** Failure domain of the holder. */
  readonly failureDomain: string;
  /** @param event One line of an engine's stream. */
  streamEvent(event: EngineEvent): void;
  /** @param answer A service's answer. */
  serviceAnswered(answer: ServiceAnswer): void;
  /** @param reason Why the connection broke. */
  closed(reason: string): void;
}

/** What a target notes of the work it was sent. */
export interface WorkJournal {
  /**
   * Notes work that reached a target.
   *
   * @param work What came.
   * @param targetId The target.
   */
  received(work: TargetWork, targetId: string): void;
  /** @param requestId A request whose work began. */
  started(requestId: string): void;
  /**
   * Notes a prompt that was read.
   *
   * @param requestId The request.
   * @param tokens Its tokens found in the cache, and worked.
   */
  prefilled(
    requestId: string,
    tokens: { cached: number; prefilled: number },
  ): void;
}

/** What every target shares with the world. */
export interface TargetContext {
  readonly queue: EventQueue;
  readonly network: Network;
  readonly checker: PromiseChecker;
  readonly journal: WorkJournal;
  readonly seed: number;
}

/** What one run has cost a target. */
export interface TargetWorkDone {
  /** Prompt tokens worked by request id. */
  readonly prefilledByRequestId: ReadonlyMap<string, number>;
}

/** A target as the links reach it. */
export interface TargetHost {
  readonly settings: TargetSettings;
  readonly alive: boolean;
  /**
   * Takes work.
   *
   * @param work The attempt.
   * @param holder Where its answer goes.
   */
  dispatch(work: TargetWork, holder: HolderEnd): void;
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
    options: { fromToken: number; holder: HolderEnd },
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
  leave(): void;
  /** Kills the process: everything it does and holds is lost. */
  kill(): void;
  /** @returns What it did in this run. */
  workDone(): TargetWorkDone;
}

/** A connection that hears nothing this long is given up. */
const IDLE_TIMEOUT_MS = 2000;
const RETRANSMIT_MS = 200;

/** The target's end of a connection; what it sends arrives in order or never. */
export class TargetConnection {
  readonly #context: Pick<TargetContext, "queue" | "network">;
  readonly #targetDomain: string;
  readonly #holder: HolderEnd;
  #unsent: ((holder: HolderEnd) => void)[] = [];
  #stalledSinceMs: number | undefined;
  #closed = false;

  /**
   * @param context The clock and the links.
   * @param ends The target's domain and the holder's end.
   */
  constructor(
    context: Pick<TargetContext, "queue" | "network">,
    ends: { targetDomain: string; holder: HolderEnd },
  ) {
    this.#context = context;
    this.#targetDomain = ends.targetDomain;
    this.#holder = ends.holder;
  }

  /** @param deliver What the holder is told. */
  send(deliver: (holder: HolderEnd) => void): void {
    if (this.#closed) {
      return;
    }
    if (this.#reaches() && this.#unsent.length === 0) {
      this.#deliver(deliver);
      return;
    }
    this.#unsent.push(deliver);
    if (this.#unsent.length === 1) {
      this.#stalledSinceMs = this.#context.queue.nowMs;
      this.#retransmit();
    }
  }

  /** @param reason Why the holder's connection breaks. */
  close(reason: string): void {
    this.send((holder) => holder.closed(reason));
    this.#closed = this.#unsent.length === 0;
  }

  /** Drops the connection without telling the holder anything. */
  abandon(): void {
    this.#closed = true;
    this.#unsent = [];
  }

  #retransmit(): void {
    const { queue } = this.#context;
    queue.after(RETRANSMIT_MS, () => {
      const stalledMs = queue.nowMs - (this.#stalledSinceMs ?? queue.nowMs);
      if (this.#closed || this.#unsent.length === 0) {
        return;
      }
      if (this.#reaches()) {
        this.#unsent.forEach((deliver) => this.#deliver(deliver));
        this.#unsent = [];
      } else if (stalledMs > IDLE_TIMEOUT_MS) {
        this.abandon();
        this.#holder.closed("nothing came in time");
      } else {
        this.#retransmit();
      }
    });
  }

  #deliver(deliver: (holder: HolderEnd) => void): void {
    const { queue, network } = this.#context;
    const delayMs = network.delayMs(
      this.#targetDomain,
      this.#holder.failureDomain,
    );
    queue.after(delayMs, () => deliver(this.#holder));
  }

  #reaches(): boolean {
    return this.#context.network.reaches(
      this.#targetDomain,
      this.#holder.failureDomain,
    );
  }
}
