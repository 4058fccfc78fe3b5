/** The soak's store: a process of its own, so that a busy soak delays no answer. */

import { type ChildProcess, fork } from "node:child_process";
import { once } from "node:events";
import { StoreMode } from "@chestnuthatch/platform/standin_store";
import {
  type StoreCommandArguments,
  StoreCommandKind,
  type StoreReply,
} from "./soak_store_commands.ts";

const MAIN = new URL("./soak_store_main.js", import.meta.url);
const NOTHING = {};

/** Settles a command that was sent. */
interface SentCommand {
  resolve(result: unknown): void;
  reject(error: Error): void;
}

/** Controls the store and the link between it and the instances. */
export class SoakStore {
  /** `ip:port` of the link, for the instances. */
  readonly address: string;
  readonly #process: ChildProcess;
  readonly #sent = new Map<number, SentCommand>();
  #lastId = 0;

  private constructor(child: ChildProcess, address: string) {
    this.#process = child;
    this.address = address;
    child.on("message", (reply: StoreReply) => {
      if ("id" in reply) {
        this.#sent.get(reply.id)?.resolve(reply.result);
        this.#sent.delete(reply.id);
      }
    });
    child.on("exit", (code) => {
      const error = new Error(`the store's process ended with code ${code}`);
      this.#sent.forEach(({ reject }) => reject(error));
    });
  }

  /** @returns The store, once it serves. */
  static async start(): Promise<SoakStore> {
    const child = fork(MAIN);
    const [{ address }] = await once(child, "message") as [
      { address: string },
    ];
    return new SoakStore(child, address);
  }

  /**
   * Writes a row as the operator or a target does.
   *
   * @param table The table.
   * @param key The key.
   * @param content What it holds; absent to remove it.
   * @returns Once it is written; rows are written in the order of calls.
   */
  async put(table: string, key: string, content?: unknown): Promise<void> {
    await this.#tell(StoreCommandKind.Put, { table, key, content });
  }

  /**
   * @param table A table.
   * @param key A key.
   * @returns What its row holds; undefined where there is none.
   */
  contentOf(table: string, key: string): Promise<unknown> {
    return this.#tell(StoreCommandKind.ContentOf, { table, key });
  }

  /** Rejects all calls until it is told to serve them again. */
  async rejectCalls(): Promise<void> {
    await this.#tell(StoreCommandKind.SetMode, { mode: StoreMode.Busy });
  }

  /** Serves calls again. */
  async serveCalls(): Promise<void> {
    await this.#tell(StoreCommandKind.SetMode, { mode: StoreMode.Well });
  }

  /** Drops the history: feeds have to read the whole table again. */
  async forgetHistory(): Promise<void> {
    await this.#tell(StoreCommandKind.ForgetHistory, NOTHING);
  }

  /** Resets every connection of the link. */
  async resetLink(): Promise<void> {
    await this.#tell(StoreCommandKind.ResetLink, NOTHING);
  }

  /** Drops every connection and refuses new ones, until the link is healed. */
  async cutLink(): Promise<void> {
    await this.#tell(StoreCommandKind.CutLink, NOTHING);
  }

  /** Holds everything back, until the link is healed. */
  async freezeLink(): Promise<void> {
    await this.#tell(StoreCommandKind.FreezeLink, NOTHING);
  }

  /** Ends what was done to the link. */
  async healLink(): Promise<void> {
    await this.#tell(StoreCommandKind.HealLink, NOTHING);
  }

  /** @param share Part of the open connections that fall silent for good. */
  async silenceLink(share: number): Promise<void> {
    await this.#tell(StoreCommandKind.SilenceLink, { share });
  }

  /** @returns Once its process has ended. */
  async end(): Promise<void> {
    if (this.#process.exitCode === null) {
      const ended = once(this.#process, "exit");
      this.#process.disconnect();
      await ended;
    }
  }

  #tell<K extends StoreCommandKind>(
    kind: K,
    options: StoreCommandArguments[K],
  ): Promise<unknown> {
    const id = ++this.#lastId;
    return new Promise((resolve, reject) => {
      this.#sent.set(id, { resolve, reject });
      this.#process.send({ id, kind, with: options }, (error) => {
        if (error !== null) {
          reject(error);
        }
      });
    });
  }
}
