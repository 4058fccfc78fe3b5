/** A small deployment on loopback addresses, and the record of a case. */

import { appendFileSync, mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { createServer } from "node:net";
import { tmpdir } from "node:os";
import { dirname, join } from "node:path";
import process from "node:process";
import { setTimeout as sleep } from "node:timers/promises";
import { fileURLToPath } from "node:url";
import { Instance } from "./instance.mjs";
import { Server } from "./server.mjs";
import { Store } from "./store.mjs";

const ROOT = dirname(dirname(dirname(fileURLToPath(import.meta.url))));
const ZONES = ["zone-a", "zone-b"];
const TRAFFIC_DELAY_MS = 4000;
export const KEY = "key-of-tenant";
export const HOST = "calls.example";

/** Exit codes of a case; `run.sh` turns any other one into "could not run". */
const ExitCode = { Held: 0, CouldNotRun: 2, Broken: 3 };

/** Time after which a case is given up. */
const MAX_LENGTH_MS = 110_000;

export class Fleet {
  store = new Store();
  servers = [];
  instances = [];
  /** Whether the case causes its disruption. */
  isDisrupted = process.env.TROUBLE !== "0";
  #startedAtMs = performance.now();
  #record;
  #folder = mkdtempSync(join(tmpdir(), "review-"));
  #loopback = `127.${64 + (process.pid >> 8) % 128}.${process.pid % 256}`;

  constructor(recordPath) {
    this.#record = recordPath;
    writeFileSync(recordPath, "");
  }

  get nowMs() {
    return performance.now() - this.#startedAtMs;
  }

  log = (text) => {
    const seconds = (this.nowMs / 1000).toFixed(3).padStart(8);
    appendFileSync(this.#record, `${seconds} ${text}\n`);
  };

  /** Starts servers of one service, and lists them in the store. */
  async addServers(count, options) {
    for (let index = 0; index < count; index++) {
      const server = new Server({
        id: `${options.service}-${index + 1}`,
        host: `${this.#loopback}.${100 + this.servers.length}`,
        zone: ZONES[index % ZONES.length],
        slots: 14,
        log: this.log,
        ...options,
      });
      await server.open();
      this.servers.push(server);
      this.store.put("servers", server.id, server.row());
    }
  }

  /** Starts instances and waits until all of them are ready. */
  async addInstances(count) {
    const [front, ready, control] = await freePorts(this.#loopback, 3);
    const ports = { front, ready, control, internal: 7600 };
    for (let index = 0; index < count; index++) {
      const ip = `${this.#loopback}.${1 + index}`;
      const instance = new Instance({
        root: ROOT,
        folder: this.#folder,
        name: `front-${index + 1}`,
        zone: ZONES[index % ZONES.length],
        zones: ZONES,
        ip,
        ports,
        seeds: [1, 2, 3].map((last) => `${this.#loopback}.${last}`),
        store: await this.store.listen(`${this.#loopback}.200`),
        log: this.log,
      });
      this.instances.push(instance);
      instance.start();
    }
    await Promise.all(this.instances.map((each) => each.waitUntilReady()));
    await sleep(TRAFFIC_DELAY_MS);
  }

  /** Writes a version of the desired state. */
  configure(version, { routes, services, tenant = {} }) {
    this.log(`desired state ${version} is written`);
    this.store.put("op", "config", {
      version,
      routes,
      services: services.map((name) => ({
        name,
        healthPath: "/health",
        maxConnections: 620,
        protocol: "h1",
        tls: false,
      })),
      limits: {
        maxHeaderBytes: 16384,
        maxBodyBytes: 4194304,
        headerTimeoutMs: 3000,
        idleTimeoutMs: 15000,
      },
      tenants: [{
        name: "tenant",
        apiKeys: [KEY],
        unit: "tokens",
        plainTokens: 200,
        ratePerS: 0,
        burst: 0,
        ...tenant,
      }],
    });
  }

  /** Ends all processes and stand-ins. */
  async close() {
    await Promise.all(this.instances.map((each) => each.close()));
    this.servers.forEach((server) => server.close());
    this.store.close();
    if (process.env.KEEP_LOGS === "1") {
      console.log(`logs of the instances: ${this.#folder}`);
    } else {
      rmSync(this.#folder, { recursive: true });
    }
  }
}

/**
 * Runs a case and ends this process. The rule was broken if `play` returns a
 * description; it held if `play` returns undefined.
 */
export async function runCase(recordPath, play) {
  const fleet = new Fleet(recordPath);
  const finish = async (exitCode, result) => {
    fleet.log(result);
    console.log(result);
    await fleet.close();
    process.exit(exitCode);
  };
  const giveUp = (reason) =>
    finish(ExitCode.CouldNotRun, `could not run: ${reason}`);
  process.on("SIGTERM", () => giveUp("terminated"));
  process.on("SIGINT", () => giveUp("interrupted"));
  process.on("uncaughtException", (error) => giveUp(error.stack));
  setTimeout(() => giveUp("took too long"), MAX_LENGTH_MS);
  try {
    const broken = await play(fleet);
    await (broken === undefined
      ? finish(ExitCode.Held, "rule held")
      : finish(ExitCode.Broken, `rule broken: ${broken}`));
  } catch (error) {
    await giveUp(error.stack);
  }
}

/** Finds ports that are free on the first address of the deployment. */
async function freePorts(loopback, count) {
  const listeners = [];
  for (let index = 0; index < count; index++) {
    const listener = createServer();
    await new Promise((resolve) =>
      listener.listen(0, `${loopback}.1`, resolve)
    );
    listeners.push(listener);
  }
  const ports = listeners.map((listener) => listener.address().port);
  listeners.forEach((listener) => listener.close());
  return ports;
}
