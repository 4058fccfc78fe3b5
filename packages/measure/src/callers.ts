/** Callers behind the balancer: they call, wait, come back and hang up. */

import type { RandomSource } from "@chestnuthatch/core/random_source";
import type { Refusal } from "@chestnuthatch/core/request";
import type { CallerEnd, EntryInstance } from "./entry_instance.ts";
import type { EventQueue } from "./event_queue.ts";
import type { PromiseChecker } from "./promises.ts";
import type { RunJournal } from "./run_journal.ts";
import {
  type CallerCall,
  callRecordOf,
  keyOf,
  type WorkItem,
} from "./work_item.ts";

/** What callers share with the world. */
export interface CallersContext {
  readonly queue: EventQueue;
  readonly random: RandomSource;
  readonly checker: PromiseChecker;
  readonly journal: RunJournal;
  /** One-way delay to an instance. */
  readonly delayMs: number;
  readonly instances: () => readonly EntryInstance[];
}

/** An instance has told a call's outcome this long after the deadline. */
const OUTCOME_MARGIN_MS = 1000;
/** Callers hang up this long after their deadline. */
const PATIENCE_MS = 2000;
/** The balancer stops sending to a frozen instance after this long. */
const HEALTH_CHECK_MS = 2000;
const NO_INSTANCE_RETRY_MS = 500;
/** A caller that gave up comes back after this long. */
const RETURN_MS = 1000;
/** Nobody sends a call that leaves less time than this. */
const LEAST_TIME_LEFT_MS = 200;

/** One item's way through its calls. */
interface Visit {
  readonly item: WorkItem;
  returnsLeft: number;
}

interface OpenCall {
  readonly call: CallerCall;
  readonly visit: Visit;
  readonly instance: EntryInstance;
}

/** Everyone who calls. */
export class Callers implements CallerEnd {
  readonly #context: CallersContext;
  readonly #open = new Map<string, OpenCall>();
  readonly #pausedSinceMs = new Map<EntryInstance, number>();
  #callNumber = 0;

  /** @param context What callers share with the world. */
  constructor(context: CallersContext) {
    this.#context = context;
  }

  /** @param items What is wanted, and when. */
  schedule(items: readonly WorkItem[]): void {
    const { queue, random, journal } = this.#context;
    for (const item of items) {
      const returnsLeft = random.next() < 0.5 ? 1 : 2;
      queue.at(item.atMs, () => {
        journal.itemCame(item);
        this.#call({ item, returnsLeft }, item.deadlineMs);
      });
    }
  }

  /** @inheritdoc */
  answered(requestId: string, text: string): void {
    const open = this.#take(requestId);
    if (open !== undefined) {
      this.#context.journal.answered(open.call, text);
    }
  }

  /** @inheritdoc */
  refused(requestId: string, refusal: Refusal): void {
    const open = this.#take(requestId);
    if (open === undefined) {
      return;
    }
    this.#context.journal.refused(refusal.error);
    if (refusal.mayRetry) {
      this.#comeBack(open.visit, refusal.retryAfterMs ?? RETURN_MS);
    }
  }

  /** @inheritdoc */
  lost(requestId: string): void {
    const open = this.#take(requestId);
    if (open === undefined) {
      return;
    }
    const { call, visit } = open;
    this.#context.journal.refused("connection_lost");
    const passedMs = this.#context.queue.nowMs - call.sentAtMs;
    const leftMs = call.deadlineMs - passedMs;
    const maySendAgain = keyOf(call.item) !== undefined || call.item.idempotent;
    if (maySendAgain && leftMs >= LEAST_TIME_LEFT_MS) {
      this.#call(visit, leftMs);
    }
  }

  #call(visit: Visit, deadlineMs: number): void {
    const { queue } = this.#context;
    const instance = this.#pickInstance();
    if (instance === undefined) {
      const leftMs = deadlineMs - NO_INSTANCE_RETRY_MS;
      if (leftMs >= LEAST_TIME_LEFT_MS) {
        queue.after(NO_INSTANCE_RETRY_MS, () => this.#call(visit, leftMs));
      }
      return;
    }
    const call: CallerCall = {
      requestId: `call-${this.#callNumber++}`,
      item: visit.item,
      sentAtMs: queue.nowMs,
      deadlineMs: Math.round(deadlineMs),
    };
    this.#context.journal.callSent(call);
    this.#open.set(call.requestId, { call, visit, instance });
    queue.after(this.#context.delayMs, () => this.#arrive(call, instance));
  }

  #arrive(call: CallerCall, instance: EntryInstance): void {
    const { queue, checker } = this.#context;
    if (!instance.isLive) {
      this.lost(call.requestId);
      return;
    }
    checker.callReceived(callRecordOf(call, instance.instanceId));
    instance.receive(call);
    queue.after(
      call.deadlineMs + OUTCOME_MARGIN_MS,
      () => this.#checkOutcome(call.requestId),
    );
    queue.after(
      call.deadlineMs + PATIENCE_MS,
      () => this.#hangUp(call.requestId),
    );
  }

  #checkOutcome(requestId: string): void {
    const open = this.#open.get(requestId);
    if (open === undefined) {
      return;
    }
    const { queue, checker } = this.#context;
    const { instance } = open;
    const awakeMs = queue.nowMs - instance.resumedAtMs;
    if (!instance.isPaused && awakeMs >= OUTCOME_MARGIN_MS) {
      checker.outcomeDue(requestId);
    }
  }

  #hangUp(requestId: string): void {
    const open = this.#take(requestId);
    if (open === undefined) {
      return;
    }
    const { queue, journal, delayMs } = this.#context;
    journal.refused("caller_timeout");
    queue.after(delayMs, () => open.instance.hangUp(requestId));
    if (open.call.item.idempotent) {
      this.#comeBack(open.visit, RETURN_MS);
    }
  }

  #comeBack(visit: Visit, afterMs: number): void {
    if (visit.returnsLeft === 0) {
      return;
    }
    visit.returnsLeft -= 1;
    this.#context.queue.after(
      afterMs,
      () => this.#call(visit, visit.item.deadlineMs),
    );
  }

  #take(requestId: string): OpenCall | undefined {
    const open = this.#open.get(requestId);
    this.#open.delete(requestId);
    return open;
  }

  #pickInstance(): EntryInstance | undefined {
    const candidates = this.#context.instances().filter((instance) =>
      instance.isLive && instance.isReady && !this.#isFoundFrozen(instance)
    );
    const index = Math.floor(this.#context.random.next() * candidates.length);
    return candidates[index];
  }

  #isFoundFrozen(instance: EntryInstance): boolean {
    const { queue } = this.#context;
    if (!instance.isPaused) {
      this.#pausedSinceMs.delete(instance);
      return false;
    }
    const sinceMs = this.#pausedSinceMs.get(instance) ?? queue.nowMs;
    this.#pausedSinceMs.set(instance, sinceMs);
    return queue.nowMs - sinceMs > HEALTH_CHECK_MS;
  }
}
