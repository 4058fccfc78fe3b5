/** A server as a child process, which is killed when this process exits. */

import { type ChildProcess, spawn } from "node:child_process";
import { readFileSync } from "node:fs";
import process from "node:process";
import { createInterface } from "node:readline";
import { waitFor } from "./wait_for.ts";

/** Exit code or signal with which a process ended. */
export interface ProcessEnd {
  readonly code: number | null;
  readonly signal: NodeJS.Signals | null;
}

const MAX_LOG_LINES = 200;
const STOPPED_STATE = "T";
const IPC = "ipc" as const;

const running = new Set<ServerProcess>();
process.on("exit", () => running.forEach((server) => server.signal("SIGKILL")));

/** Options of a process's start. */
export interface ProcessOptions {
  /** Arguments of the script. */
  readonly args: readonly string[];
  /** Arguments of the Node.js runtime. */
  readonly nodeArgs?: readonly string[];
  /** Environment variables in addition to those of this process. */
  readonly env?: Readonly<Record<string, string>>;
  /** Whether the process listens to messages of this one. */
  readonly hasChannel?: boolean;
  /** Called with each line that the process prints on its standard output. */
  readonly onLine?: (line: string) => void;
}

/** A process that prints its addresses as its first line, in JSON. */
export class ServerProcess {
  readonly #child: ChildProcess;
  readonly #log: string[] = [];
  /** Settles once the process has ended. */
  readonly ended: Promise<ProcessEnd>;
  #hasEnded = false;

  private constructor(script: URL, options: ProcessOptions) {
    const { args, nodeArgs = [], env = {}, hasChannel = false } = options;
    const line = [...nodeArgs, script.pathname, ...args];
    this.#child = spawn(process.execPath, line, {
      stdio: ["ignore", "pipe", "pipe", ...(hasChannel ? [IPC] : [])],
      env: { ...process.env, ...env },
    });
    running.add(this);
    this.ended = new Promise((resolve) => {
      this.#child.on("close", (code, signal) => {
        this.#hasEnded = true;
        running.delete(this);
        resolve({ code, signal });
      });
    });
    createInterface({ input: this.#child.stderr! })
      .on("line", (line) => this.#addLog(line));
  }

  /**
   * Starts a process.
   *
   * @param script Compiled module to run.
   * @param options Its arguments, alone or with other options.
   * @returns The process, and the object from the first line that it printed.
   */
  static async start<T>(
    script: URL,
    options: readonly string[] | ProcessOptions,
  ): Promise<{ server: ServerProcess; announced: T }> {
    const processOptions = "args" in options ? options : { args: options };
    const server = new ServerProcess(script, processOptions);
    const line = await server.#firstLine(processOptions.onLine);
    if (line === undefined) {
      throw new Error(`${script.pathname} did not start:\n${server.log}`);
    }
    return { server, announced: JSON.parse(line) as T };
  }

  /** Process id. */
  get pid(): number {
    return this.#child.pid!;
  }

  /** Whether the process has ended. */
  get hasEnded(): boolean {
    return this.#hasEnded;
  }

  /** The last lines of its standard error. */
  get log(): string {
    return this.#log.join("\n");
  }

  /**
   * Sends a signal to the process, if it still runs.
   *
   * @param signal The signal.
   */
  signal(signal: NodeJS.Signals): void {
    if (!this.#hasEnded) {
      this.#child.kill(signal);
    }
  }

  /**
   * Sends a message to a process that has a channel, if it still runs.
   *
   * @param message The message.
   */
  send(message: object): void {
    // The process may end before it has read the message.
    this.#child.send(message, () => {});
  }

  /** Kills the process and waits for its end. */
  async kill(): Promise<void> {
    this.signal("SIGKILL");
    await this.ended;
  }

  /**
   * Pauses the process.
   *
   * @returns Settles once it has stopped.
   */
  async freeze(): Promise<void> {
    this.signal("SIGSTOP");
    await waitFor(`process ${this.pid} to stop`, () => this.#isStopped());
  }

  /** Resumes a paused process. */
  thaw(): void {
    this.signal("SIGCONT");
  }

  #isStopped(): boolean {
    const stat = readFileSync(`/proc/${this.pid}/stat`, "utf8");
    const [state] = stat.slice(stat.lastIndexOf(")") + 2).split(" ");
    return state === STOPPED_STATE;
  }

  #firstLine(
    onLine: (line: string) => void = () => {},
  ): Promise<string | undefined> {
    const lines = createInterface({ input: this.#child.stdout! });
    lines.on("line", onLine);
    return new Promise((resolve) => {
      lines.once("line", resolve);
      lines.once("close", () => resolve(undefined));
    });
  }

  #addLog(line: string): void {
    this.#log.push(line);
    if (this.#log.length > MAX_LOG_LINES) {
      this.#log.shift();
    }
  }
}
