/** An entry instance of the soak, as a separate process. */

import { mkdtempSync, renameSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { setTimeout as pause } from "node:timers/promises";
import { isErrorLine } from "@chestnuthatch/platform/error_lines";
import { LinkMode } from "@chestnuthatch/platform/standin_link";
import { nextHost } from "./link_relay.ts";
import { type ProcessEnd, ServerProcess } from "./server_process.ts";
import {
  STORE_ADDRESS_VARIABLE,
  WRITE_RATE_VARIABLE,
} from "./probe_variables.ts";
import type { LinkCommand } from "./target_link_probe.ts";

/** Addresses and write rate of an instance. */
export interface SoakInstanceOptions {
  /** Number of the instance, which sets its id and failure domain. */
  readonly index: number;
  /** Ports for callers, status, metrics and peers, in this order. */
  readonly ports: readonly number[];
  /** `ip:port` of the store. */
  readonly storeAddress: string;
  /** Rate at which each caller connection accepts answers. */
  readonly writeBytesPerS: number;
}

/** Requests that a bad version may get in addition to its share. */
export const EXPOSURE_SLACK = 50;

/** A span of time, by this process's `performance.now()`. */
export interface TimeSpan {
  readonly fromMs: number;
  /** Infinity while the span lasts. */
  untilMs: number;
}

/** Why a process ended. */
export enum EndCause {
  /** The soak killed it. */
  Killed = "killed",
  /** It was asked to shut down, and exited by itself. */
  Requested = "asked",
  /** It was asked to shut down, and killed at the end of its grace time. */
  GraceExceeded = "outlasted",
  /** It exited although it was not asked to. */
  Unexpected = "unasked",
}

/** Exit of an instance's process, with its time and cause. */
export interface InstanceEnd extends ProcessEnd {
  readonly atMs: number;
  readonly cause: EndCause;
}

/** One run of the instance's process. */
interface ProcessLife {
  readonly server: ServerProcess;
  /** When the process was first asked to shut down. */
  stopRequestedAtMs?: number;
  isKilled: boolean;
}

const PLATFORM_MAIN = new URL(
  "../../platform/dist/main.js",
  import.meta.url,
);
const INSTANCE_PROBE = new URL("./instance_probe.js", import.meta.url);
const TARGET_LINK_PROBE = new URL("./target_link_probe.js", import.meta.url);
const SETTINGS_VARIABLE = "CHESTNUTHATCH_CONFIG";
const DOMAINS = ["a", "b", "c"];
const GRACE_S = 5;
const MS_PER_S = 1000;

/** Default time from the shutdown signal until a running process is killed. */
export const GRACE_MS = GRACE_S * MS_PER_S;
const POLL_MS = 20;

/** Repeats that the retry budget allows in addition to its ratio. */
export const RETRY_BUDGET_SLACK = 100;

const MAX_LOG_LINES = 20_000;

/**
 * Starts, signals and ends the process of an instance. Records the times at
 * which it could not serve calls.
 */
export class SoakInstance {
  readonly id: string;
  readonly callerAddress: string;
  /** Times from a signal that ends the process until it runs again. */
  readonly unavailableSpans: TimeSpan[] = [];
  /** Times at which the instance had no process. */
  readonly downSpans: TimeSpan[] = [];
  /** Times at which the process was paused. */
  readonly pausedSpans: TimeSpan[] = [];
  /** Times at which the instance was cut off from all targets. */
  readonly cutSpans: TimeSpan[] = [];
  /** When the soak killed the process. */
  readonly killedAtMs: number[] = [];
  readonly ends: InstanceEnd[] = [];
  readonly logLines: string[] = [];
  /** All lines of errors that an instance should not meet. */
  readonly errorLines: string[] = [];
  readonly #options: SoakInstanceOptions;
  readonly #ip = nextHost();
  readonly #statusAddress: string;
  readonly #folder = mkdtempSync(join(tmpdir(), "soak-"));
  #life?: ProcessLife;
  #starting = Promise.resolve();
  #graceMs = GRACE_MS;
  #linkMode = LinkMode.Open;

  /** @param options Addresses and write rate of the instance. */
  constructor(options: SoakInstanceOptions) {
    const [front, status] = options.ports;
    this.#options = options;
    this.id = `entry-${options.index}`;
    this.callerAddress = `${this.#ip}:${front}`;
    this.#statusAddress = `${this.#ip}:${status}`;
    this.changeSettings();
  }

  /**
   * Writes the settings file; the process reads it at start and on `reload`.
   *
   * @param overrides Values that differ from the defaults, by name.
   */
  changeSettings(overrides: Readonly<Record<string, string>> = {}): void {
    const settings = { ...this.#defaultSettings(), ...overrides };
    const lines = Object.entries(settings)
      .map(([name, value]) => `${name}=${value}`);
    // Replaced by a rename, because the process may read the file at any time.
    const nextPath = `${this.#settingsPath}.next`;
    writeFileSync(nextPath, lines.join("\n"));
    renameSync(nextPath, this.#settingsPath);
    const graceS = Number(settings["bounds.graceS"]);
    // An invalid value leaves the one before it in force.
    this.#graceMs = Number.isNaN(graceS) ? this.#graceMs : graceS * MS_PER_S;
  }

  #defaultSettings(): Readonly<Record<string, string>> {
    const { index, ports, storeAddress } = this.#options;
    const peer = ports[3]!;
    return {
      nodeName: this.id,
      zone: DOMAINS[index % DOMAINS.length]!,
      ip: this.#ip,
      "listen.front": this.callerAddress,
      "listen.ready": this.#statusAddress,
      internalPortRange: `${peer},${peer + 2}`,
      seeds: "",
      "platform.address": storeAddress,
      "bounds.graceS": String(GRACE_S),
      "bounds.retryBudgetSlack": String(RETRY_BUDGET_SLACK),
      "bounds.exposureSlack": String(EXPOSURE_SLACK),
    };
  }

  /**
   * Starts the process, unless it runs.
   *
   * @param clockSkewMs Offset of the process's time of day.
   * @returns Settles once it listens.
   */
  async start(clockSkewMs: number): Promise<void> {
    this.#starting = this.#starting.then(() => this.#start(clockSkewMs));
    await this.#starting;
  }

  /**
   * Starts the process. Starts run one at a time, because faults overlap and two
   * processes cannot listen on the same ports.
   */
  async #start(clockSkewMs: number): Promise<void> {
    if (this.isRunning) {
      return;
    }
    const skew = `data:text/javascript,` +
      `const now=Date.now;Date.now=()=>now()+(${clockSkewMs})`;
    const { server } = await ServerProcess.start(PLATFORM_MAIN, {
      args: ["--metrics-port", String(this.#options.ports[2])],
      nodeArgs: [
        `--import=${skew}`,
        `--import=${INSTANCE_PROBE.href}`,
        `--import=${TARGET_LINK_PROBE.href}`,
      ],
      env: {
        [SETTINGS_VARIABLE]: this.#settingsPath,
        [WRITE_RATE_VARIABLE]: String(this.#options.writeBytesPerS),
        [STORE_ADDRESS_VARIABLE]: this.#options.storeAddress,
      },
      hasChannel: true,
      onLine: (line) => this.#recordLine(line),
    });
    const life = { server, isKilled: false };
    this.#life = life;
    this.#sendLinkMode();
    void server.ended.then((end) => this.#onEnd(life, end));
    this.#closeSpans(this.unavailableSpans);
    this.#closeSpans(this.downSpans);
  }

  /** Whether the process is running; also true while it is paused. */
  get isRunning(): boolean {
    return this.#life !== undefined && !this.#life.server.hasEnded;
  }

  /**
   * Requests the instance's readiness.
   *
   * @returns Whether it reports that it is ready.
   */
  async isReady(): Promise<boolean> {
    const answer = await fetch(`http://${this.#statusAddress}/ready`);
    await answer.body?.cancel();
    return answer.ok;
  }

  /**
   * Kills the process, if it runs.
   *
   * @returns Settles once it has ended.
   */
  async kill(): Promise<void> {
    const life = this.#life;
    if (life !== undefined && this.isRunning) {
      life.isKilled = true;
      this.killedAtMs.push(performance.now());
      this.#openSpan(this.unavailableSpans);
      await life.server.kill();
    }
  }

  /**
   * Pauses the process, if it runs.
   *
   * @returns Settles once it is paused or has ended.
   */
  async pause(): Promise<void> {
    const server = this.#life?.server;
    if (server !== undefined && this.isRunning) {
      this.#openSpan(this.pausedSpans);
      const frozen = server.freeze().catch(() => {});
      await Promise.race([frozen, server.ended]);
    }
  }

  /** Resumes a paused process. */
  resume(): void {
    this.#life?.server.thaw();
    this.#closeSpans(this.pausedSpans);
  }

  /**
   * Asks the process to shut down, and kills it at the end of its grace time.
   * It may have been asked before: the grace time then runs from the first
   * request.
   *
   * @returns How the process ended; undefined if it was never started.
   */
  async stop(): Promise<ProcessEnd | undefined> {
    const life = this.#life;
    if (life === undefined) {
      return undefined;
    }
    if (this.isRunning) {
      this.#requestStop(life);
    }
    while (!life.server.hasEnded && this.#graceLeftMs(life) > 0) {
      await Promise.race([life.server.ended, pause(POLL_MS)]);
    }
    await life.server.kill();
    return life.server.ended;
  }

  /**
   * Changes how connections to targets are treated, also those of a later
   * process.
   *
   * @param mode The way.
   */
  setLinkMode(mode: LinkMode): void {
    this.#linkMode = mode;
    this.#closeSpans(this.cutSpans);
    if (mode !== LinkMode.Open) {
      this.#openSpan(this.cutSpans);
    }
    if (this.isRunning) {
      this.#sendLinkMode();
    }
  }

  #sendLinkMode(): void {
    const command: LinkCommand = { linkMode: this.#linkMode };
    this.#life?.server.send(command);
  }

  /** Signals the process to reload its settings. */
  reload(): void {
    this.#life?.server.signal("SIGHUP");
  }

  /**
   * Kills the process and removes its files.
   *
   * @returns Settles once both are done.
   */
  async close(): Promise<void> {
    this.#life?.server.thaw();
    await this.kill();
    rmSync(this.#folder, { recursive: true });
  }

  #requestStop(life: ProcessLife): void {
    if (life.stopRequestedAtMs === undefined) {
      life.stopRequestedAtMs = performance.now();
      this.#openSpan(this.unavailableSpans);
    }
    life.server.signal("SIGTERM");
  }

  #onEnd(life: ProcessLife, end: ProcessEnd): void {
    const atMs = performance.now();
    this.ends.push({ ...end, atMs, cause: causeOf(life, end) });
    this.#closeSpans(this.pausedSpans);
    this.#openSpan(this.downSpans);
  }

  /**
   * Returns the rest of the grace time, which excludes time in which the
   * process was paused.
   */
  #graceLeftMs({ stopRequestedAtMs }: ProcessLife): number {
    const nowMs = performance.now();
    const pausedMs = this.pausedSpans.reduce((sum, { fromMs, untilMs }) => {
      const from = Math.max(fromMs, stopRequestedAtMs!);
      return sum + Math.max(0, Math.min(untilMs, nowMs) - from);
    }, 0);
    return stopRequestedAtMs! + this.#graceMs + pausedMs - nowMs;
  }

  get #settingsPath(): string {
    return join(this.#folder, "settings");
  }

  #openSpan(spans: TimeSpan[]): void {
    spans.push({ fromMs: performance.now(), untilMs: Infinity });
  }

  #closeSpans(spans: readonly TimeSpan[]): void {
    for (const span of spans) {
      span.untilMs = Math.min(span.untilMs, performance.now());
    }
  }

  #recordLine(line: string): void {
    if (isErrorLine(line)) {
      this.errorLines.push(line);
    }
    if (this.logLines.length < MAX_LOG_LINES) {
      this.logLines.push(line);
    }
  }
}

function causeOf(life: ProcessLife, { signal }: ProcessEnd): EndCause {
  if (life.isKilled) {
    return EndCause.Killed;
  }
  if (life.stopRequestedAtMs === undefined) {
    return EndCause.Unexpected;
  }
  return signal === null ? EndCause.Requested : EndCause.GraceExceeded;
}
