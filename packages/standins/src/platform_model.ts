/** Simulation of the platform and its faults, without sockets or timers. */

import type {
  InstanceList,
  RowsAnswer,
  TransactAnswer,
  TransactRequest,
} from "@chestnuthatch/wire/platform_protocol";
import { LaggingInstanceList } from "./lagging_instance_list.ts";
import { PlatformTable, type ScanRequest } from "./platform_table.ts";
import { TokenBucket, type TokenBucketOptions } from "./token_bucket.ts";

/** List lag and rate limits of the simulated platform. */
export interface PlatformModelOptions {
  /** Delay until a change of the instance list becomes visible. */
  readonly listLagMs: number;
  /** Limit of writes to the table and the object store; unlimited if absent. */
  readonly writeLimit?: TokenBucketOptions;
  /** Limit of reads of the table and the object store; unlimited if absent. */
  readonly readLimit?: TokenBucketOptions;
  /** Limit of downloads from the weight store. */
  readonly weightLimit: TokenBucketOptions;
}

/** Outcome of a call to the platform. */
export enum PlatformOutcome {
  Ok = "ok",
  /** The platform is down; the call had no effect. */
  Unavailable = "unavailable",
  /** A rate limit was exceeded; the call had no effect. */
  RateLimited = "rate_limited",
  /** No answer is sent; the call may have taken effect. */
  Lost = "lost",
}

/** Outcome of a call, its answer and its duration. */
export interface PlatformReply<T> {
  readonly outcome: PlatformOutcome;
  /** Present when the outcome is Ok. */
  readonly answer?: T;
  /** Delay before the platform answers. */
  readonly delayMs: number;
}

/**
 * Counts since the platform was constructed. The names are the keys in the
 * answer of `GET /standin/counts`.
 */
export interface PlatformCounts {
  writes: number;
  reads: number;
  rateLimited: number;
  answersLost: number;
  writesLost: number;
}

/** Content of an object; undefined if the object does not exist. */
export interface ObjectAnswer {
  readonly content: string | undefined;
}

/** Name of a downloaded weight file; its content is not simulated. */
export interface WeightAnswer {
  readonly name: string;
}

/**
 * Simulated platform: transactional table, object store, instance list and
 * weight store.
 */
export class PlatformModel {
  /** List of instances and targets, which tests and fleets change. */
  readonly instanceList: LaggingInstanceList;
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

  /** @param options List lag and rate limits. */
  constructor(options: PlatformModelOptions) {
    this.instanceList = new LaggingInstanceList(options.listLagMs);
    this.#writeBucket = createBucket(options.writeLimit);
    this.#readBucket = createBucket(options.readLimit);
    this.#weightBucket = new TokenBucket(options.weightLimit);
  }

  /** @returns Counts since the platform was constructed. */
  get counts(): PlatformCounts {
    return this.#counts;
  }

  /** @param down Whether every call is answered as unavailable from now on. */
  setDown(down: boolean): void {
    this.#down = down;
  }

  /** @param delayMs Delay before every answer from now on. */
  setDelayMs(delayMs: number): void {
    this.#delayMs = delayMs;
  }

  /** @param writes Number of next writes to apply without an answer. */
  loseAnswers(writes: number): void {
    this.#answersToLose = writes;
  }

  /** @param writes Number of next writes to drop without an answer. */
  loseWrites(writes: number): void {
    this.#writesToLose = writes;
  }

  /**
   * Runs a transaction on the table.
   *
   * @param request The conditions and the writes.
   * @param nowMs The time now.
   * @returns Outcome, and whether the transaction was committed.
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
   * @param keys Keys of the rows.
   * @param nowMs The time now.
   * @returns Outcome, and the rows that exist.
   */
  read(keys: readonly string[], nowMs: number): PlatformReply<RowsAnswer> {
    return this.#read(() => this.#table.read(keys), nowMs);
  }

  /**
   * Scans the table in key order.
   *
   * @param request Prefix, start key and maximum number of rows.
   * @param nowMs The time now.
   * @returns Outcome, and the rows.
   */
  scan(request: ScanRequest, nowMs: number): PlatformReply<RowsAnswer> {
    return this.#read(() => this.#table.scan(request), nowMs);
  }

  /**
   * Writes an object.
   *
   * @param object Key and content of the object.
   * @param nowMs The time now.
   * @returns Outcome, and the written content.
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
   * @param key Key of the object.
   * @param nowMs The time now.
   * @returns Outcome, and the content if the object exists.
   */
  getObject(key: string, nowMs: number): PlatformReply<ObjectAnswer> {
    return this.#read(() => ({ content: this.#objects.get(key) }), nowMs);
  }

  /**
   * Lists instances and targets as they were one lag before now.
   *
   * @param nowMs The time now.
   * @returns Outcome, and the list.
   */
  listInstances(nowMs: number): PlatformReply<InstanceList> {
    if (this.#down) {
      return this.#createFailureReply(PlatformOutcome.Unavailable);
    }
    return this.#createOkReply(this.instanceList.read(nowMs));
  }

  /**
   * Fetches a file from the weight store.
   *
   * @param name Name of the weight file.
   * @param nowMs The time now.
   * @returns Outcome, and the name of the file.
   */
  fetchWeights(name: string, nowMs: number): PlatformReply<WeightAnswer> {
    if (this.#down) {
      return this.#createFailureReply(PlatformOutcome.Unavailable);
    }
    if (!this.#weightBucket.tryTake(nowMs)) {
      return this.#rejectForRateLimit();
    }
    return this.#createOkReply({ name });
  }

  #write<T>(apply: () => T, nowMs: number): PlatformReply<T> {
    if (this.#down) {
      return this.#createFailureReply(PlatformOutcome.Unavailable);
    }
    if (this.#writeBucket?.tryTake(nowMs) === false) {
      return this.#rejectForRateLimit();
    }
    if (this.#writesToLose > 0) {
      this.#writesToLose -= 1;
      this.#counts.writesLost += 1;
      return this.#createFailureReply(PlatformOutcome.Lost);
    }
    this.#counts.writes += 1;
    const answer = apply();
    if (this.#answersToLose > 0) {
      this.#answersToLose -= 1;
      this.#counts.answersLost += 1;
      return this.#createFailureReply(PlatformOutcome.Lost);
    }
    return this.#createOkReply(answer);
  }

  #read<T>(apply: () => T, nowMs: number): PlatformReply<T> {
    if (this.#down) {
      return this.#createFailureReply(PlatformOutcome.Unavailable);
    }
    if (this.#readBucket?.tryTake(nowMs) === false) {
      return this.#rejectForRateLimit();
    }
    this.#counts.reads += 1;
    return this.#createOkReply(apply());
  }

  #createOkReply<T>(answer: T): PlatformReply<T> {
    return { outcome: PlatformOutcome.Ok, answer, delayMs: this.#delayMs };
  }

  #createFailureReply<T>(outcome: PlatformOutcome): PlatformReply<T> {
    return { outcome, delayMs: this.#delayMs };
  }

  #rejectForRateLimit<T>(): PlatformReply<T> {
    this.#counts.rateLimited += 1;
    return this.#createFailureReply(PlatformOutcome.RateLimited);
  }
}

function createBucket(
  limit: TokenBucketOptions | undefined,
): TokenBucket | undefined {
  return limit === undefined ? undefined : new TokenBucket(limit);
}
