/** The platform without sockets or timers, with its faults. */

import type {
  InstanceList,
  RowsAnswer,
  TransactAnswer,
  TransactRequest,
} from "@chestnuthatch/wire/platform_protocol";
import { LaggingList } from "./lagging_list.ts";
import { PlatformTable, type ScanRequest } from "./platform_table.ts";
import { TokenBucket, type TokenBucketOptions } from "./token_bucket.ts";

/** What the platform is like. */
export interface PlatformModelOptions {
  readonly listLagMs: number;
  /** Limits of the table and the object store; absent for none. */
  readonly writeLimit?: TokenBucketOptions;
  readonly readLimit?: TokenBucketOptions;
  readonly weightLimit: TokenBucketOptions;
}

/** How a call to the platform ends. */
export enum PlatformOutcome {
  Ok = "ok",
  /** Nothing was done. */
  Unavailable = "unavailable",
  /** Nothing was done. */
  RateLimited = "rate_limited",
  /** No answer comes; the call may have taken effect. */
  Lost = "lost",
}

/** What the caller of the platform gets. */
export interface PlatformReply<T> {
  readonly outcome: PlatformOutcome;
  /** Present when the outcome is Ok. */
  readonly answer?: T;
  /** Time the platform takes for it. */
  readonly delayMs: number;
}

/** Counts since the platform was made. */
export interface PlatformCounts {
  writes: number;
  reads: number;
  rateLimited: number;
  answersLost: number;
  writesLost: number;
}

/** Content of an object; undefined for none. */
export interface ObjectAnswer {
  readonly content: string | undefined;
}

/** One weight file. */
export interface WeightAnswer {
  readonly name: string;
}

/** The table, the object store, the list and the weight store. */
export class PlatformModel {
  /** The list; tests and fleets change it. */
  readonly list: LaggingList;
  readonly #table = new PlatformTable();
  readonly #objects = new Map<string, string>();
  readonly #writeBucket: TokenBucket | undefined;
  readonly #readBucket: TokenBucket | undefined;
  readonly #weightBucket: TokenBucket;
  readonly #counts: PlatformCounts = {
    writes: 0,
    reads: 0,
    rateLimited: 0,
    answersLost: 0,
    writesLost: 0,
  };
  #down = false;
  #delayMs = 0;
  #answersToLose = 0;
  #writesToLose = 0;

  /** @param options What the platform is like. */
  constructor(options: PlatformModelOptions) {
    this.list = new LaggingList(options.listLagMs);
    this.#writeBucket = bucketOf(options.writeLimit);
    this.#readBucket = bucketOf(options.readLimit);
    this.#weightBucket = new TokenBucket(options.weightLimit);
  }

  /** @returns Counts since the platform was made. */
  get counts(): PlatformCounts {
    return this.#counts;
  }

  /** @param down Whether every call fails from now on. */
  setDown(down: boolean): void {
    this.#down = down;
  }

  /** @param delayMs Time every call takes from now on. */
  setDelay(delayMs: number): void {
    this.#delayMs = delayMs;
  }

  /** @param writes Next writes that take effect while their answer is lost. */
  loseAnswers(writes: number): void {
    this.#answersToLose = writes;
  }

  /** @param writes Next writes that are lost without effect or answer. */
  loseWrites(writes: number): void {
    this.#writesToLose = writes;
  }

  /**
   * Runs a transaction on the table.
   *
   * @param request The transaction.
   * @param nowMs The time now.
   * @returns How it ended.
   */
  transact(
    request: TransactRequest,
    nowMs: number,
  ): PlatformReply<TransactAnswer> {
    return this.#write(() => this.#table.transact(request), nowMs);
  }

  /**
   * Reads rows of the table.
   *
   * @param keys Their keys.
   * @param nowMs The time now.
   * @returns How it ended.
   */
  read(keys: readonly string[], nowMs: number): PlatformReply<RowsAnswer> {
    return this.#read(() => this.#table.read(keys), nowMs);
  }

  /**
   * Scans the table.
   *
   * @param request Which rows.
   * @param nowMs The time now.
   * @returns How it ended.
   */
  scan(request: ScanRequest, nowMs: number): PlatformReply<RowsAnswer> {
    return this.#read(() => this.#table.scan(request), nowMs);
  }

  /**
   * Writes an object.
   *
   * @param object Its key and content.
   * @param nowMs The time now.
   * @returns How it ended.
   */
  putObject(
    object: { readonly key: string; readonly content: string },
    nowMs: number,
  ): PlatformReply<ObjectAnswer> {
    const { key, content } = object;
    return this.#write(() => {
      this.#objects.set(key, content);
      return { content };
    }, nowMs);
  }

  /**
   * Reads an object.
   *
   * @param key Its key.
   * @param nowMs The time now.
   * @returns How it ended.
   */
  getObject(key: string, nowMs: number): PlatformReply<ObjectAnswer> {
    return this.#read(() => ({ content: this.#objects.get(key) }), nowMs);
  }

  /**
   * Reads the lagging list.
   *
   * @param nowMs The time now.
   * @returns How it ended.
   */
  instances(nowMs: number): PlatformReply<InstanceList> {
    if (this.#down) {
      return this.#failed(PlatformOutcome.Unavailable);
    }
    return this.#ok(this.list.read(nowMs));
  }

  /**
   * Fetches weights.
   *
   * @param name Their name.
   * @param nowMs The time now.
   * @returns How it ended.
   */
  weights(name: string, nowMs: number): PlatformReply<WeightAnswer> {
    if (this.#down) {
      return this.#failed(PlatformOutcome.Unavailable);
    }
    if (!this.#weightBucket.take(nowMs)) {
      return this.#rateLimited();
    }
    return this.#ok({ name });
  }

  #write<T>(apply: () => T, nowMs: number): PlatformReply<T> {
    if (this.#down) {
      return this.#failed(PlatformOutcome.Unavailable);
    }
    if (this.#writeBucket?.take(nowMs) === false) {
      return this.#rateLimited();
    }
    if (this.#writesToLose > 0) {
      this.#writesToLose -= 1;
      this.#counts.writesLost += 1;
      return this.#failed(PlatformOutcome.Lost);
    }
    this.#counts.writes += 1;
    const answer = apply();
    if (this.#answersToLose > 0) {
      this.#answersToLose -= 1;
      this.#counts.answersLost += 1;
      return this.#failed(PlatformOutcome.Lost);
    }
    return this.#ok(answer);
  }

  #read<T>(apply: () => T, nowMs: number): PlatformReply<T> {
    if (this.#down) {
      return this.#failed(PlatformOutcome.Unavailable);
    }
    if (this.#readBucket?.take(nowMs) === false) {
      return this.#rateLimited();
    }
    this.#counts.reads += 1;
    return this.#ok(apply());
  }

  #ok<T>(answer: T): PlatformReply<T> {
    return { outcome: PlatformOutcome.Ok, answer, delayMs: this.#delayMs };
  }

  #failed<T>(outcome: PlatformOutcome): PlatformReply<T> {
    return { outcome, delayMs: this.#delayMs };
  }

  #rateLimited<T>(): PlatformReply<T> {
    this.#counts.rateLimited += 1;
    return this.#failed(PlatformOutcome.RateLimited);
  }
}

function bucketOf(
  limit: TokenBucketOptions | undefined,
): TokenBucket | undefined {
  return limit === undefined ? undefined : new TokenBucket(limit);
}
