/** Simulated platform behind links that can be cut, with injected faults. */

import {
  PlatformModel,
  PlatformOutcome,
  type PlatformReply,
} from "@chestnuthatch/standins/platform_model";
import type {
  InstanceList,
  ListedKind,
  Row,
  TransactAnswer,
  TransactRequest,
} from "@chestnuthatch/wire/platform_protocol";
import type { EventQueue } from "./event_queue.ts";
import type { SimulatedNetwork } from "./simulated_network.ts";
import type { RandomSource } from "@chestnuthatch/core/random_source";

/** One version of the settings in the platform's table. */
export interface StoredSettings {
  readonly version: number;
  readonly content: string;
  readonly changeId: string;
}

/** One-way delay between an instance and the platform. */
const ONE_WAY_DELAY_MS = 2;
/** Time after which a call to the platform without an answer fails. */
const CALL_TIMEOUT_MS = 500;
const LIST_LAG_MS = 5000;
const WRITES_PER_SECOND = 300;
const READS_PER_SECOND = 2000;
const SETTINGS_KEY = "settings/current";

/** Receives the answer of a call, or undefined if none arrived. */
export type Reply<T> = (answer: T | undefined) => void;

/** Runs a {@link PlatformModel} on the simulated clock. */
export class SimulatedPlatform {
  readonly #queue: EventQueue;
  readonly #network: SimulatedNetwork;
  readonly #random: RandomSource;
  readonly #model = new PlatformModel({
    listLagMs: LIST_LAG_MS,
    writeLimit: { ratePerSecond: WRITES_PER_SECOND, burst: WRITES_PER_SECOND },
    readLimit: { ratePerSecond: READS_PER_SECOND, burst: READS_PER_SECOND },
    weightLimit: { ratePerSecond: 1, burst: 1 },
  });
  #lostAnswerShare = 0;

  /** @param context The clock, the network and a source of randomness. */
  constructor(
    context: {
      queue: EventQueue;
      network: SimulatedNetwork;
      random: RandomSource;
    },
  ) {
    this.#queue = context.queue;
    this.#network = context.network;
    this.#random = context.random;
  }

  /**
   * Starts or ends an outage of the platform.
   *
   * @param down Whether every call fails from now on.
   */
  setDown(down: boolean): void {
    this.#model.setDown(down);
  }

  /**
   * Makes answers to writes get lost after the write took effect.
   *
   * @param share Share (0 to 1) of the writes whose answer is lost.
   */
  setLostAnswerShare(share: number): void {
    this.#lostAnswerShare = share;
  }

  /**
   * Adds an instance or a target to the instance list.
   *
   * @param entry Id, kind and failure domain of the new entry.
   * @param options `atOnce` makes the entry visible without the list's lag.
   */
  addToList(
    entry: { id: string; kind: ListedKind; failureDomain: string },
    options: { atOnce: boolean },
  ): void {
    const atMs = options.atOnce ? -Infinity : this.#queue.nowMs;
    this.#model.instanceList.put(
      { ...entry, address: `${entry.id}:1`, leaving: false },
      atMs,
    );
  }

  /**
   * Marks an entry of the instance list as leaving; readers see it after the
   * list's lag.
   *
   * @param id Id of the instance or target.
   */
  markLeaving(id: string): void {
    this.#model.instanceList.markLeaving(id, this.#queue.nowMs);
  }

  /**
   * Removes an entry from the instance list; readers see it after the list's
   * lag.
   *
   * @param id Id of the instance or target.
   */
  removeFromList(id: string): void {
    this.#model.instanceList.remove(id, this.#queue.nowMs);
  }

  /**
   * Commits a version of the settings, as an operator does.
   *
   * @param settings The version to commit; its number must be the next one.
   * @throws {Error} If the platform doesn't commit the version.
   */
  commitSettings(settings: StoredSettings): void {
    const reply = this.#model.transact({
      conditions: [{ key: SETTINGS_KEY, version: settings.version - 1 }],
      puts: [{ key: SETTINGS_KEY, value: JSON.stringify(settings) }],
      deletes: [],
    }, this.#queue.nowMs);
    if (reply.answer?.committed !== true) {
      throw new Error(`settings version ${settings.version} not committed`);
    }
  }

  /**
   * Reads the settings.
   *
   * @param failureDomain Failure domain of the reader.
   * @param reply Receives the current version, or undefined if there is none or
   * no answer arrived.
   */
  readSettings(failureDomain: string, reply: Reply<StoredSettings>): void {
    this.readRow(failureDomain, {
      key: SETTINGS_KEY,
      reply: (found) =>
        reply(
          found?.row === undefined ? undefined : JSON.parse(found.row.value),
        ),
    });
  }

  /**
   * Reads the instance list.
   *
   * @param failureDomain Failure domain of the reader.
   * @param reply Receives the list, or undefined if no answer arrived.
   */
  readInstanceList(failureDomain: string, reply: Reply<InstanceList>): void {
    const read = (nowMs: number) => this.#model.listInstances(nowMs);
    this.#callPlatform(failureDomain, {
      isWrite: false,
      operation: read,
      reply,
    });
  }

  /**
   * Runs a transaction on the table.
   *
   * @param failureDomain Failure domain of the writer.
   * @param options The transaction, and the receiver of its result.
   */
  transact(
    failureDomain: string,
    options: { request: TransactRequest; reply: Reply<TransactAnswer> },
  ): void {
    this.#callPlatform(failureDomain, {
      isWrite: true,
      operation: (nowMs) => this.#model.transact(options.request, nowMs),
      reply: options.reply,
    });
  }

  /**
   * Reads a row of the table.
   *
   * @param failureDomain Failure domain of the reader.
   * @param options The key, and the receiver of the row or its absence.
   */
  readRow(
    failureDomain: string,
    options: { key: string; reply: Reply<{ row: Row | undefined }> },
  ): void {
    this.#callPlatform(failureDomain, {
      isWrite: false,
      operation: (nowMs) => this.#model.read([options.key], nowMs),
      reply: (answer) =>
        options.reply(
          answer === undefined ? undefined : {
            row: answer.rows[0],
          },
        ),
    });
  }

  /**
   * Writes an object; the writer doesn't learn whether that succeeded.
   *
   * @param failureDomain Failure domain of the writer.
   * @param object Key and content of the object.
   */
  putObject(
    failureDomain: string,
    object: { key: string; content: string },
  ): void {
    this.#callPlatform(failureDomain, {
      isWrite: true,
      operation: (nowMs) => this.#model.putObject(object, nowMs),
      reply: () => {},
    });
  }

  /**
   * Reads an object.
   *
   * @param failureDomain Failure domain of the reader.
   * @param options The key, and the receiver of the content or its absence.
   */
  getObject(
    failureDomain: string,
    options: {
      key: string;
      reply: Reply<{ content: string | undefined }>;
    },
  ): void {
    this.#callPlatform(failureDomain, {
      isWrite: false,
      operation: (nowMs) => this.#model.getObject(options.key, nowMs),
      reply: options.reply,
    });
  }

  #callPlatform<T>(
    failureDomain: string,
    options: {
      isWrite: boolean;
      operation: (nowMs: number) => PlatformReply<T>;
      reply: Reply<T>;
    },
  ): void {
    const { isWrite, operation: run, reply } = options;
    const failAfterTimeout = () =>
      this.#queue.after(CALL_TIMEOUT_MS, () => reply(undefined));
    if (!this.#network.isConnectedToPlatform(failureDomain)) {
      failAfterTimeout();
      return;
    }
    this.#queue.after(ONE_WAY_DELAY_MS, () => {
      const isAnswerLost = isWrite &&
        this.#random.next() < this.#lostAnswerShare;
      const { outcome, answer, delayMs } = run(this.#queue.nowMs);
      if (
        isAnswerLost || outcome === PlatformOutcome.Lost ||
        !this.#network.isConnectedToPlatform(failureDomain)
      ) {
        failAfterTimeout();
        return;
      }
      this.#queue.after(ONE_WAY_DELAY_MS + delayMs, () => reply(answer));
    });
  }
}
