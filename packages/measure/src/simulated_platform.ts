/** The platform of the measured world, behind links and with faults. */

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
import type { Randomness } from "@chestnuthatch/core/randomness";

/** One version of the settings in the platform's table. */
export interface StoredSettings {
  readonly version: number;
  readonly content: string;
  readonly changeId: string;
}

/** One way to and through the platform. */
const ONE_WAY_DELAY_MS = 2;
/** A call to the platform is given up after this long. */
const CALL_TIMEOUT_MS = 500;
const LIST_LAG_MS = 5000;
const WRITES_PER_SECOND = 300;
const READS_PER_SECOND = 2000;
const SETTINGS_KEY = "settings/current";

/** Told the answer, or nothing when none came. */
export type Reply<T> = (answer: T | undefined) => void;

/** Runs a {@link PlatformModel} on the manual clock. */
export class SimulatedPlatform {
  readonly #queue: EventQueue;
  readonly #network: SimulatedNetwork;
  readonly #random: Randomness;
  readonly #model = new PlatformModel({
    listLagMs: LIST_LAG_MS,
    writeLimit: { ratePerSecond: WRITES_PER_SECOND, burst: WRITES_PER_SECOND },
    readLimit: { ratePerSecond: READS_PER_SECOND, burst: READS_PER_SECOND },
    weightLimit: { ratePerSecond: 1, burst: 1 },
  });
  #lostAnswerShare = 0;

  /** @param context The clock, the links and a source of randomness. */
  constructor(
    context: {
      queue: EventQueue;
      network: SimulatedNetwork;
      random: Randomness;
    },
  ) {
    this.#queue = context.queue;
    this.#network = context.network;
    this.#random = context.random;
  }

  /** @param down Whether every call fails from now on. */
  setDown(down: boolean): void {
    this.#model.setDown(down);
  }

  /** @param share Share of writes whose answer is lost after their effect. */
  setLostAnswerShare(share: number): void {
    this.#lostAnswerShare = share;
  }

  /**
   * Puts an instance or a target on the list.
   *
   * @param listed What the list says of it.
   * @param options Whether the list shows it at once.
   */
  addToList(
    listed: { id: string; kind: ListedKind; failureDomain: string },
    options: { atOnce: boolean },
  ): void {
    const atMs = options.atOnce ? -Infinity : this.#queue.nowMs;
    this.#model.instanceList.put(
      { ...listed, address: `${listed.id}:1`, leaving: false },
      atMs,
    );
  }

  /** @param id What the list will show as leaving. */
  markLeaving(id: string): void {
    this.#model.instanceList.markLeaving(id, this.#queue.nowMs);
  }

  /** @param id What the list will show no longer. */
  removeFromList(id: string): void {
    this.#model.instanceList.remove(id, this.#queue.nowMs);
  }

  /**
   * Commits a version of the settings, as an operator does.
   *
   * @param settings The version.
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
   * @param failureDomain Where the reader is.
   * @param reply Told the version in the table, or nothing.
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
   * Reads the list.
   *
   * @param failureDomain Where the reader is.
   * @param reply Told the list, or nothing.
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
   * @param failureDomain Where the writer is.
   * @param options The transaction, and who is told how it ended.
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
   * @param failureDomain Where the reader is.
   * @param options Its key, and who is told what was found.
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
   * Writes an object.
   *
   * @param failureDomain Where the writer is.
   * @param object Its key and content.
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
   * @param failureDomain Where the reader is.
   * @param options Its key, and who is told its content.
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
