/**
 * One instance of the system as a separate process, started with the `run` line
 * of the deploy file and a settings file as DEPLOY.md describes it.
 */

import { spawn } from "node:child_process";
import { createWriteStream, readFileSync, writeFileSync } from "node:fs";
import { get } from "node:http";
import { join } from "node:path";
import process from "node:process";
import { setTimeout as sleep } from "node:timers/promises";

const READY_POLL_MS = 100;
const READY_TIMEOUT_MS = 20_000;

export class Instance {
  #options;
  #child;
  #settingsPath;

  /** Options: `root`, `folder`, `name`, `zone`, `ip`, `ports`, `seeds`, `store`. */
  constructor(options) {
    this.#options = options;
    this.#settingsPath = join(options.folder, `${options.name}.conf`);
    writeFileSync(this.#settingsPath, this.#settings());
  }

  get name() {
    return this.#options.name;
  }

  get host() {
    return this.#options.ip;
  }

  get port() {
    return this.#options.ports.front;
  }

  get storeAddress() {
    return this.#options.store;
  }

  get hasEnded() {
    return this.#child === undefined || this.#child.exitCode !== null ||
      this.#child.signalCode !== null;
  }

  start() {
    const { root, folder, name, log } = this.#options;
    const [program, ...args] = runWords(root);
    this.#child = spawn(program, args, {
      cwd: root,
      env: {
        PATH: process.env.PATH,
        HOME: process.env.HOME,
        CHESTNUTHATCH_CONFIG: this.#settingsPath,
      },
      stdio: ["ignore", "pipe", "pipe"],
    });
    const output = createWriteStream(join(folder, `${name}.log`), {
      flags: "a",
    });
    this.#child.stdout.pipe(output, { end: false });
    this.#child.stderr.pipe(output, { end: false });
    const { pid } = this.#child;
    log(`instance ${name} starts, process ${pid}`);
    this.#child.on("exit", (code, signal) => {
      log(`instance ${name} ends, process ${pid}: ${signal ?? code}`);
    });
  }

  signal(name) {
    if (!this.hasEnded) {
      this.#options.log(`instance ${this.name} gets ${name}`);
      this.#child.kill(name);
    }
  }

  async waitUntilReady() {
    const untilMs = performance.now() + READY_TIMEOUT_MS;
    while (performance.now() < untilMs) {
      if (await this.isReady()) {
        return;
      }
      await sleep(READY_POLL_MS);
    }
    throw new Error(`instance ${this.name} did not become ready`);
  }

  /** Asks the readiness address once, as the platform does. */
  isReady() {
    const { ip, ports } = this.#options;
    return new Promise((resolve) => {
      const request = get(
        { host: ip, port: ports.ready, path: "/ready", agent: false },
        (response) => {
          response.resume();
          resolve(response.statusCode === 200);
        },
      );
      request.setTimeout(500, () => request.destroy());
      request.on("error", () => resolve(false));
    });
  }

  async close() {
    while (!this.hasEnded) {
      this.#child.kill("SIGCONT");
      this.#child.kill("SIGKILL");
      await sleep(20);
    }
  }

  #settings() {
    const { name, zone, zones, ip, ports, seeds, store } = this.#options;
    const lines = {
      nodeName: name,
      role: "entry",
      machineClass: "front",
      serves: "front,control",
      ip,
      zone,
      region: "region",
      ...Object.fromEntries(zones.map((each) => [`zones.${each}`, "region"])),
      "listen.front": `${ip}:${ports.front}`,
      "listen.ready": `${ip}:${ports.ready}`,
      "listen.control": `${ip}:${ports.control}`,
      internalPortRange: `${ports.internal},${ports.internal + 15}`,
      seeds: seeds.map((seed) => `${seed}:${ports.control}`).join(","),
      bootstrap: "true",
      "limits.cpuShare": "0.675",
      "limits.cores": "1",
      "limits.memoryMb": "350",
      "limits.maxFds": "4100",
      "limits.linkMbps": "1000.0",
      discovery: "platform",
      entry: "vip",
      heartbeatMs: "1200",
      contracts:
        "base,drain,config,cost,retry,recover,engine,stream,tenants,quota,platform",
      "faultTolerance.machines": "2",
      "faultTolerance.zones": "1",
      "bounds.seedLagS": "3",
      "bounds.reuseAfterS": "2",
      "bounds.stableWindowMs": "3000",
      "bounds.ackMs": "4000",
      "bounds.catchUpS": "4",
      "bounds.drainMs": "2000",
      "bounds.graceS": "8",
      "bounds.lossSlackMs": "200",
      "bounds.configApplyMs": "2000",
      "bounds.rollbackSlackMs": "250",
      "bounds.maxStretchMs": "5000",
      "bounds.strictRevoke": "false",
      "bounds.revokeMs": "5000",
      "bounds.retryBudgetRatio": "0.2",
      "bounds.budgetWindowS": "10",
      "bounds.retryBudgetSlack": "56",
      "bounds.quotaWindowS": "8",
      "bounds.quotaOverage": "0.1",
      "bounds.quotaSlack": "140000",
      "bounds.recoveryS": "12",
      "bounds.passMs": "120",
      "bounds.reuseWindowS": "10",
      "platform.address": store,
      "platform.form": "table",
      "platform.writesPerS": "400",
      "platform.readsPerS": "2000",
    };
    return Object.entries(lines).map((line) => line.join("=")).join("\n") +
      "\n";
  }
}

/** Words of the `run` line in the deploy file. */
function runWords(root) {
  const text = readFileSync(join(root, "deploy", "system.toml"), "utf8");
  return /^run = "(.*)"$/m.exec(text)[1].split(" ");
}
