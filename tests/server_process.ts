/** One server as a process of its own, ended at the latest with this process. */

import { type ChildProcess, spawn } from "node:child_process";
import { readFileSync } from "node:fs";
import process from "node:process";
import { createInterface } from "node:readline";
import { waitFor } from "./wait_for.ts";

/** How a process ended. */
export interface ProcessEnd {
  readonly code: number | null;
  readonly signal: NodeJS.Signals | null;
}

const MAX_LOG_LINES = 200;
const STOPPED_STATE = "T";

const running = new Set<ServerProcess>();
process.on("exit", () => running.forEach((each) => each.signal("SIGKILL")));

/** How a process is started. */
export interface ProcessOptions {
  readonly args: readonly string[];
  /** Arguments of the runtime. */
  readonly nodeArgs?: readonly string[];
  /** Variables beside those of this process. */
  readonly env?: Readonly<Record<string, string>>;
  /** Called with each line on its standard output. */
  readonly onLine?: (line: string) => void;
}

/** A process that tells its addresses in one JSON line. */
export class ServerProcess {
  readonly #child: ChildProcess;
  readonly #log: string[] = [];
  /** Settles once the process has ended. */
  readonly ended: Promise<ProcessEnd>;
  #hasEnded = false;

  private constructor(script: URL, options: ProcessOptions) {
    const { args, nodeArgs = [], env = {} } = options;
    const line = [...nodeArgs, script.pathname, ...args];
    this.#child = spawn(process.execPath, line, {
      stdio: ["ignore", "pipe", "pipe"],
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
   * @param options Its arguments, or these and what else it gets.
   * @returns The process, and the object in the first line that it printed.
   */
  static async start<T>(
    script: URL,
    options: readonly string[] | ProcessOptions,
  ): Promise<{ server: ServerProcess; announced: T }> {
    const whole = "args" in options ? options : { args: options };
    const server = new ServerProcess(script, whole);
    const line = await server.#firstLine(whole.onLine);
    if (line === undefined) {
      throw new Error(`${script.pathname} did not start:\n${server.log}`);
    }
    return { server, announced: JSON.parse(line) as T };
  }

  /** Id of the process. */
  get pid(): number {
    return this.#child.pid!;
  }

  /** Whether the process has ended. */
  get hasEnded(): boolean {
    return this.#hasEnded;
  }

  /** The latest lines of its log. */
  get log(): string {
    return this.#log.join("\n");
  }

  /** @param signal What to send to the process, if it still runs. */
  signal(signal: NodeJS.Signals): void {
    if (!this.#hasEnded) {
      this.#child.kill(signal);
    }
  }

  /** Kills the process and waits for its end. */
  async kill(): Promise<void> {
    this.signal("SIGKILL");
    await this.ended;
  }

  /** Pauses the process; it is stopped on return. */
  async freeze(): Promise<void> {
    this.signal("SIGSTOP");
    await waitFor(`process ${this.pid} to stop`, () => this.#isStopped());
  }

  /** Lets a paused process go on. */
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
