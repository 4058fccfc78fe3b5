/** One entry instance of the soak as a process of its own. */

import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { nextHost } from "./link_relay.ts";
import { type ProcessEnd, ServerProcess } from "./server_process.ts";

/** Where an instance is reached, and what it reaches. */
export interface SoakInstanceOptions {
  readonly index: number;
  readonly ports: readonly number[];
  readonly storeAddress: string;
}

/** A span of time, on this process's clock. */
export interface Span {
  readonly fromMs: number;
  untilMs: number;
}

const PLATFORM_MAIN = new URL(
  "../../platform/dist/main.js",
  import.meta.url,
);
const SETTINGS_VARIABLE = "CHESTNUTHATCH_CONFIG";
const DOMAINS = ["a", "b", "c"];
const GRACE_S = 5;
const MAX_LINES = 20_000;

/** Starts, signals and ends the process. */
export class SoakInstance {
  readonly id: string;
  readonly callerAddress: string;
  /** Times at which its process was not running, or ended. */
  readonly away: Span[] = [];
  readonly lines: string[] = [];
  readonly #statusAddress: string;
  readonly #metricsPort: number;
  readonly #folder = mkdtempSync(join(tmpdir(), "soak-"));
  readonly #settings: Readonly<Record<string, string>>;
  #server?: ServerProcess;
  #starting = Promise.resolve();

  /** @param options Where it is reached, and what it reaches. */
  constructor({ index, ports, storeAddress }: SoakInstanceOptions) {
    const [front, status, peer, metrics] = ports;
    const ip = nextHost();
    this.id = `entry-${index}`;
    this.callerAddress = `${ip}:${front}`;
    this.#statusAddress = `${ip}:${status}`;
    this.#metricsPort = metrics!;
    this.#settings = {
      nodeName: this.id,
      zone: DOMAINS[index % DOMAINS.length]!,
      ip,
      "listen.front": this.callerAddress,
      "listen.ready": this.#statusAddress,
      internalPortRange: `${peer},${peer! + 1}`,
      seeds: "",
      "platform.address": storeAddress,
      "bounds.graceS": String(GRACE_S),
      "bounds.retryBudgetSlack": "100",
    };
    this.changeSettings();
  }

  /** @param over Lines of its settings file that differ from the usual ones. */
  changeSettings(over: Readonly<Record<string, string>> = {}): void {
    const lines = Object.entries({ ...this.#settings, ...over })
      .map(([name, value]) => `${name}=${value}`);
    writeFileSync(this.#settingsPath, lines.join("\n"));
  }

  /**
   * @param clockSkewMs How far the time of day of the process is off.
   * @returns Once it listens.
   */
  async start(clockSkewMs: number): Promise<void> {
    this.#starting = this.#starting.then(() => this.#start(clockSkewMs));
    await this.#starting;
  }

  /** One start after the other: faults overlap, and its ports are its own. */
  async #start(clockSkewMs: number): Promise<void> {
    if (this.runs) {
      return;
    }
    const skew = `data:text/javascript,` +
      `const now=Date.now;Date.now=()=>now()+(${clockSkewMs})`;
    const { server } = await ServerProcess.start(PLATFORM_MAIN, {
      args: ["--metrics-port", String(this.#metricsPort)],
      nodeArgs: [`--import=${skew}`],
      env: { [SETTINGS_VARIABLE]: this.#settingsPath },
      onLine: (line) => this.#note(line),
    });
    this.#server = server;
    this.#back();
  }

  /** Whether its process runs. */
  get runs(): boolean {
    return this.#server !== undefined && !this.#server.hasEnded;
  }

  /** @returns Whether it says that it is ready. */
  async isReady(): Promise<boolean> {
    const answer = await fetch(`http://${this.#statusAddress}/ready`);
    await answer.body?.cancel();
    return answer.ok;
  }

  /** @returns Once its process was killed. */
  async kill(): Promise<void> {
    this.#leave();
    await this.#server?.kill();
  }

  /** @returns Once its process is paused. */
  async pause(): Promise<void> {
    this.#leave();
    await this.#server?.freeze();
  }

  /** Lets a paused process go on. */
  resume(): void {
    this.#server?.thaw();
    this.#back();
  }

  /** @returns How its process ended after it was asked to. */
  async stop(): Promise<ProcessEnd | undefined> {
    const server = this.#server;
    server?.signal("SIGTERM");
    const end = await server?.ended;
    this.#leave();
    return end;
  }

  /** Asks it to read its settings again. */
  reload(): void {
    this.#server?.signal("SIGHUP");
  }

  /** @returns Once nothing of it is left. */
  async end(): Promise<void> {
    this.#server?.thaw();
    await this.#server?.kill();
    rmSync(this.#folder, { recursive: true });
  }

  get #settingsPath(): string {
    return join(this.#folder, "settings");
  }

  #leave(): void {
    this.away.push({ fromMs: performance.now(), untilMs: Infinity });
  }

  #back(): void {
    if (!this.runs) {
      return;
    }
    for (const span of this.away) {
      span.untilMs = Math.min(span.untilMs, performance.now());
    }
  }

  #note(line: string): void {
    if (this.lines.length < MAX_LINES) {
      this.lines.push(line);
    }
  }
}
