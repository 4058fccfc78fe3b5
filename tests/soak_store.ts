/**
 * The soak's store: a process of its own, so that a busy soak delays no answer.
 */

import { type ChildProcess, fork } from "node:child_process";
import { once } from "node:events";
import { StoreMode } from "@chestnuthatch/platform/standin_store";
import {
  type StoreCommandArguments,
  StoreCommandKind,
  type StoreReply,
} from "./soak_store_commands.ts";

const STORE_MAIN = new URL("./soak_store_main.js", import.meta.url);
const NO_ARGUMENTS = {};

/** Callbacks that settle a command once its reply arrives. */
interface PendingCommand {
  resolve(result: unknown): void;
  reject(error: Error): void;
}

/**
 * Controls the process of the stand-in store, and the link between it and the
 * instances.
 */
export class SoakStore {
  /** `ip:port` of the link, to which the instances connect. */
  readonly address: string;
  readonly #process: ChildProcess;
  readonly #pending = new Map<number, PendingCommand>();
  #lastId = 0;

  private constructor(child: ChildProcess, address: string) {
    this.#process = child;
    this.address = address;
    child.on("message", (reply: StoreReply) => {
      if ("id" in reply) {
        this.#pending.get(reply.id)?.resolve(reply.result);
        this.#pending.delete(reply.id);
      }
    });
    child.on("exit", (code) => {
      const error = new Error(`the store's process ended with code ${code}`);
      this.#pending.forEach(({ reject }) => reject(error));
    });
  }

  /**
   * Starts the process of the store.
   *
   * @returns The store, once it serves.
   */
  static async start(): Promise<SoakStore> {
    const child = fork(STORE_MAIN);
    const [{ address }] = await once(child, "message") as [
      { address: string },
    ];
    return new SoakStore(child, address);
  }

  /**
   * Writes or removes a row, in the role of the operator or a target. Rows are
   * written in the order of calls.
   *
   * @param table Table of the row.
   * @param key Key of the row.
   * @param content Content of the row; absent to remove it.
   * @returns Settles once the row is written.
   */
  async put(table: string, key: string, content?: unknown): Promise<void> {
    await this.#sendCommand(StoreCommandKind.Put, { table, key, content });
  }

  /**
   * Reads the content of a row.
   *
   * @param table Table of the row.
   * @param key Key of the row.
   * @returns The content; undefined if there is no such row.
   */
  readContent(table: string, key: string): Promise<unknown> {
    return this.#sendCommand(StoreCommandKind.ReadContent, { table, key });
  }

  /** Makes the store reject all calls, until `serveCalls`. */
  async rejectCalls(): Promise<void> {
    await this.#sendCommand(StoreCommandKind.SetMode, { mode: StoreMode.Busy });
  }

  /** Makes the store serve calls again. */
  async serveCalls(): Promise<void> {
    await this.#sendCommand(StoreCommandKind.SetMode, {
      mode: StoreMode.Normal,
    });
  }

  /** Drops the history of changes, so that feeds read whole tables again. */
  async discardHistory(): Promise<void> {
    await this.#sendCommand(StoreCommandKind.DiscardHistory, NO_ARGUMENTS);
  }

  /** Resets every connection of the link. */
  async resetLink(): Promise<void> {
    await this.#sendCommand(StoreCommandKind.ResetLink, NO_ARGUMENTS);
  }

  /** Closes every connection and refuses new ones, until `healLink`. */
  async cutLink(): Promise<void> {
    await this.#sendCommand(StoreCommandKind.CutLink, NO_ARGUMENTS);
  }

  /** Holds back all data in both directions, until `healLink`. */
  async freezeLink(): Promise<void> {
    await this.#sendCommand(StoreCommandKind.FreezeLink, NO_ARGUMENTS);
  }

  /** Ends a cut or freeze of the link. */
  async healLink(): Promise<void> {
    await this.#sendCommand(StoreCommandKind.HealLink, NO_ARGUMENTS);
  }

  /**
   * Makes open connections of the link fall silent for good.
   *
   * @param share Share of them that fall silent, from 0 to 1.
   */
  async silenceLink(share: number): Promise<void> {
    await this.#sendCommand(StoreCommandKind.SilenceLink, { share });
  }

  /**
   * Ends the process.
   *
   * @returns Settles once it has ended.
   */
  async close(): Promise<void> {
    if (this.#process.exitCode === null) {
      const ended = once(this.#process, "exit");
      this.#process.disconnect();
      await ended;
    }
  }

  #sendCommand<K extends StoreCommandKind>(
    kind: K,
    options: StoreCommandArguments[K],
  ): Promise<unknown> {
    const id = ++this.#lastId;
    return new Promise((resolve, reject) => {
      this.#pending.set(id, { resolve, reject });
      this.#process.send({ id, kind, with: options }, (error) => {
        if (error !== null) {
          reject(error);
        }
      });
    });
  }
}
