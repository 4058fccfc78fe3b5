/** One entry instance of the soak as a process of its own. */

import { mkdtempSync, renameSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { setTimeout as pause } from "node:timers/promises";
import { nextHost } from "./link_relay.ts";
import { type ProcessEnd, ServerProcess } from "./server_process.ts";
import { WRITE_RATE_VARIABLE } from "./write_rate.ts";

/** Where an instance is reached, and what it reaches. */
export interface SoakInstanceOptions {
  readonly index: number;
  readonly ports: readonly number[];
  readonly storeAddress: string;
  /** Bytes a second that each connection of a caller takes. */
  readonly writeBytesPerS: number;
}

/** Requests that a bad version may get beyond its share. */
export const EXPOSURE_SLACK = 50;

/** A span of time, on this process's clock. */
export interface TimeSpan {
  readonly fromMs: number;
  untilMs: number;
}

/** Why a process ended. */
export enum EndCause {
  /** Killed as planned. */
  Killed = "killed",
  /** Asked to shut down, and ended by itself. */
  Requested = "asked",
  /** Asked to shut down, and killed at the end of its grace time. */
  GraceExceeded = "outlasted",
  /** Nobody had asked it to. */
  Unexpected = "unasked",
}

/** How a process ended, and when. */
export interface InstanceEnd extends ProcessEnd {
  readonly atMs: number;
  readonly cause: EndCause;
}

/** One life of the process. */
interface ProcessLife {
  readonly server: ServerProcess;
  /** When it was first asked to shut down. */
  stopRequestedAtMs?: number;
  isKilled: boolean;
}

const PLATFORM_MAIN = new URL(
  "../../platform/dist/main.js",
  import.meta.url,
);
const INSTANCE_PROBE = new URL("./instance_probe.js", import.meta.url);
const SETTINGS_VARIABLE = "CHESTNUTHATCH_CONFIG";
const DOMAINS = ["a", "b", "c"];
const GRACE_S = 5;
const MS_PER_S = 1000;

/** Time from the signal to shut down until a process that still runs is killed. */
export const GRACE_MS = GRACE_S * MS_PER_S;
const POLL_MS = 20;
const RETRY_BUDGET_SLACK = 100;
const MAX_LOG_LINES = 20_000;

/** Starts, signals and ends the process. */
export class SoakInstance {
  readonly id: string;
  readonly callerAddress: string;
  /** Times from a signal that ends its process until it runs again. */
  readonly unavailableSpans: TimeSpan[] = [];
  /** Times at which it had no process. */
  readonly downSpans: TimeSpan[] = [];
  /** Times at which its process was paused. */
  readonly pausedSpans: TimeSpan[] = [];
  /** When its process was killed as planned. */
  readonly killedAtMs: number[] = [];
  readonly ends: InstanceEnd[] = [];
  readonly logLines: string[] = [];
  readonly #options: SoakInstanceOptions;
  readonly #ip = nextHost();
  readonly #statusAddress: string;
  readonly #folder = mkdtempSync(join(tmpdir(), "soak-"));
  #life?: ProcessLife;
  #starting = Promise.resolve();
  #graceMs = GRACE_MS;

  /** @param options Where it is reached, and what it reaches. */
  constructor(options: SoakInstanceOptions) {
    const [front, status] = options.ports;
    this.#options = options;
    this.id = `entry-${options.index}`;
    this.callerAddress = `${this.#ip}:${front}`;
    this.#statusAddress = `${this.#ip}:${status}`;
    this.changeSettings();
  }

  /** @param over Lines of its settings file that differ from the usual ones. */
  changeSettings(over: Readonly<Record<string, string>> = {}): void {
    const settings = { ...this.#defaultSettings(), ...over };
    const lines = Object.entries(settings)
      .map(([name, value]) => `${name}=${value}`);
    // Renamed, as its process may read the file at any moment.
    const nextPath = `${this.#settingsPath}.next`;
    writeFileSync(nextPath, lines.join("\n"));
    renameSync(nextPath, this.#settingsPath);
    const graceS = Number(settings["bounds.graceS"]);
    // What cannot be used leaves in force what was so before.
    this.#graceMs = Number.isNaN(graceS) ? this.#graceMs : graceS * MS_PER_S;
  }

  #defaultSettings(): Readonly<Record<string, string>> {
    const { index, ports, storeAddress } = this.#options;
    const peer = ports[2]!;
    return {
      nodeName: this.id,
      zone: DOMAINS[index % DOMAINS.length]!,
      ip: this.#ip,
      "listen.front": this.callerAddress,
      "listen.ready": this.#statusAddress,
      internalPortRange: `${peer},${peer + 1}`,
      seeds: "",
      "platform.address": storeAddress,
      "bounds.graceS": String(GRACE_S),
      "bounds.retryBudgetSlack": String(RETRY_BUDGET_SLACK),
      "bounds.exposureSlack": String(EXPOSURE_SLACK),
    };
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
    if (this.isRunning) {
      return;
    }
    const skew = `data:text/javascript,` +
      `const now=Date.now;Date.now=()=>now()+(${clockSkewMs})`;
    const { server } = await ServerProcess.start(PLATFORM_MAIN, {
      args: ["--metrics-port", String(this.#options.ports[3])],
      nodeArgs: [`--import=${skew}`, `--import=${INSTANCE_PROBE.href}`],
      env: {
        [SETTINGS_VARIABLE]: this.#settingsPath,
        [WRITE_RATE_VARIABLE]: String(this.#options.writeBytesPerS),
      },
      onLine: (line) => this.#recordLine(line),
    });
    const life = { server, isKilled: false };
    this.#life = life;
    void server.ended.then((end) => this.#onEnd(life, end));
    this.#closeSpans(this.unavailableSpans);
    this.#closeSpans(this.downSpans);
  }

  /** Whether its process runs. */
  get isRunning(): boolean {
    return this.#life !== undefined && !this.#life.server.hasEnded;
  }

  /** @returns Whether it says that it is ready. */
  async isReady(): Promise<boolean> {
    const answer = await fetch(`http://${this.#statusAddress}/ready`);
    await answer.body?.cancel();
    return answer.ok;
  }

  /** @returns Once its process was killed. */
  async kill(): Promise<void> {
    const life = this.#life;
    if (life !== undefined && this.isRunning) {
      life.isKilled = true;
      this.killedAtMs.push(performance.now());
      this.#openSpan(this.unavailableSpans);
      await life.server.kill();
    }
  }

  /** @returns Once its process is paused, or has ended. */
  async pause(): Promise<void> {
    const server = this.#life?.server;
    if (server !== undefined && this.isRunning) {
      this.#openSpan(this.pausedSpans);
      const frozen = server.freeze().catch(() => {});
      await Promise.race([frozen, server.ended]);
    }
  }

  /** Lets a paused process go on. */
  resume(): void {
    this.#life?.server.thaw();
    this.#closeSpans(this.pausedSpans);
  }

  /**
   * Asks its process to shut down; it may have been asked already.
   *
   * @returns How its process ended, at the end of its grace time at last.
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

  /** Asks it to read its settings again. */
  reload(): void {
    this.#life?.server.signal("SIGHUP");
  }

  /** @returns Once nothing of it is left. */
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

  /** A paused process cannot use its grace time. */
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
