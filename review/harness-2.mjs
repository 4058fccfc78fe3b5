/**
 * Stand-ins and processes for the scripts of this review: a store, servers,
 * clients, and entry instances that run as separate processes. Everything
 * listens on addresses of 127.0.0.0/8.
 */

import { spawn } from "node:child_process";
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import http from "node:http";
import net from "node:net";
import { tmpdir } from "node:os";
import { dirname, join } from "node:path";
import { fileURLToPath } from "node:url";

export const ROOT = dirname(dirname(fileURLToPath(import.meta.url)));
export const EXIT_HELD = 0;
export const EXIT_BROKEN = 1;
export const EXIT_CANNOT_RUN = 2;

/** Whether the disruption takes place; `TROUBLE=0` leaves it out. */
export const hasTrouble = process.env.TROUBLE !== "0";

export const sleep = (ms) => new Promise((resolve) => setTimeout(resolve, ms));

const startedAtMs = performance.now();
export const nowMs = () => Math.round(performance.now() - startedAtMs);

/** Lines for `record.txt`: what was sent, answered and run. */
const recordLines = [];
export function record(...parts) {
  recordLines.push(`${String(nowMs()).padStart(6)} ms  ${parts.join(" ")}`);
}

/** Writes the record beside the script that calls it. */
export function writeRecord(scriptUrl, summary) {
  const path = join(dirname(fileURLToPath(scriptUrl)), "record.txt");
  writeFileSync(path, [...summary, "", ...recordLines, ""].join("\n"));
}

/** A network prefix of its own, so that runs don't share addresses. */
const prefix = `127.${20 + Math.floor(Math.random() * 200)}.${
  1 + Math.floor(Math.random() * 250)
}`;
export const ipOf = (number) => `${prefix}.${number}`;

async function freePort(ip) {
  const server = net.createServer();
  await new Promise((resolve, reject) => {
    server.once("error", reject);
    server.listen(0, ip, resolve);
  });
  const { port } = server.address();
  await new Promise((resolve) => server.close(resolve));
  return port;
}

/** The platform's store: rows, long polls and conditional writes. */
export class Store {
  rows = new Map();
  version = 1;
  /** Addresses of clients whose calls get status 503. */
  #feeds = new Set();
  #startedAt = performance.now();
  /** Called with the source address of each call; false leaves it unanswered. */
  serves = () => true;

  async open(ip) {
    this.server = http.createServer((request, response) => {
      const chunks = [];
      request.on("data", (chunk) => chunks.push(chunk));
      request.on("end", () => {
        if (!this.serves(request.socket.remoteAddress)) {
          return;
        }
        setTimeout(
          () => this.#answer(request, response, Buffer.concat(chunks)),
          4,
        );
      });
    });
    await new Promise((resolve) => this.server.listen(0, ip, resolve));
    this.address = `${ip}:${this.server.address().port}`;
  }

  /** Writes or, without content, removes a row, as operator or server. */
  put(table, key, content) {
    this.version++;
    this.#set(
      table,
      "",
      key,
      content === undefined
        ? undefined
        : Buffer.from(JSON.stringify(content)).toString("base64"),
    );
    this.#wakeFeeds();
  }

  #set(table, part, key, value) {
    const row = { table, part, key, ver: this.version };
    this.rows.set(
      `${table}|${part}|${key}`,
      value === undefined ? { ...row, removed: true } : { ...row, value },
    );
  }

  #answer(request, response, body) {
    const url = new URL(request.url, "http://store");
    const query = url.searchParams;
    if (url.pathname === "/rows-get") {
      const rows = [...this.rows.values()].filter((row) =>
        !row.removed && row.table === query.get("table") &&
        row.part === (query.get("part") ?? "") &&
        row.key >= (query.get("from") ?? "")
      ).sort((a, b) => (a.key < b.key ? -1 : 1));
      this.#send(response, { rows, hasMore: false });
    } else if (url.pathname === "/rows-feed") {
      const feed = {
        response,
        table: query.get("table"),
        after: Number(query.get("after")),
      };
      this.#feeds.add(feed);
      const timer = setTimeout(
        () => this.#answerFeed(feed),
        Number(query.get("waitMs") ?? 0),
      );
      feed.timer = timer;
      if (this.#changes(feed).length > 0) {
        this.#answerFeed(feed);
      }
    } else if (url.pathname === "/rows-tx") {
      this.#write(JSON.parse(body.toString()), response);
    } else {
      response.writeHead(404).end();
    }
  }

  #changes({ table, after }) {
    return [...this.rows.values()]
      .filter((row) => row.table === table && row.ver > after)
      .sort((a, b) => a.ver - b.ver);
  }

  #answerFeed(feed) {
    if (this.#feeds.delete(feed)) {
      clearTimeout(feed.timer);
      this.#send(feed.response, { rows: this.#changes(feed) });
    }
  }

  #wakeFeeds() {
    for (const feed of [...this.#feeds]) {
      if (this.#changes(feed).length > 0) {
        this.#answerFeed(feed);
      }
    }
  }

  #write({ expectedRev = [], puts = [], remove = [] }, response) {
    const versionOf = ({ table, part = "", key }) => {
      const row = this.rows.get(`${table}|${part}|${key}`);
      return row === undefined || row.removed ? 0 : row.ver;
    };
    if (expectedRev.some((row) => versionOf(row) !== row.ver)) {
      const rows = expectedRev.flatMap(({ table, part = "", key }) =>
        this.rows.get(`${table}|${part}|${key}`) ?? []
      );
      this.#send(response, { rows }, 412);
      return;
    }
    this.version++;
    for (const { table, part = "", key, value } of puts) {
      this.#set(table, part, key, value);
    }
    for (const { table, part = "", key } of remove) {
      this.#set(table, part, key, undefined);
    }
    this.#wakeFeeds();
    this.#send(response, {});
  }

  #send(response, content, status = 200) {
    const clockMs = Math.round(performance.now() - this.#startedAt);
    response.writeHead(status, {
      "Content-Type": "application/json",
      "Store-Era": "1",
    });
    response.end(
      JSON.stringify({ ...content, ver: this.version, nowMs: clockMs }),
    );
  }
}

/** Entry instances as processes, with the command of the deploy file. */
export class Fleet {
  instances = [];
  #folder = mkdtempSync(join(tmpdir(), "chestnuthatch-review-"));

  /**
   * @param options `store`, `instances` (`name`, `zone`), and `bounds`, which
   * overrides lines of the settings file.
   */
  constructor(options) {
    this.options = options;
  }

  async open() {
    const deploy = readFileSync(join(ROOT, "deploy/system.toml"), "utf8");
    this.command = /^run = "(.*)"$/m.exec(deploy)[1].split(" ");
    const firstIp = ipOf(11);
    this.ports = {
      front: await freePort(firstIp),
      ready: await freePort(firstIp),
      control: await freePort(firstIp),
      internal: 20_000 + Math.floor(Math.random() * 10_000),
    };
    this.options.instances.forEach((of, index) => {
      this.instances.push({ ...of, ip: ipOf(11 + index), output: [] });
    });
    await Promise.all(this.instances.map((instance) => this.start(instance)));
    await this.untilReady(this.instances);
  }

  #settingsOf({ name, zone, ip }) {
    const { front, ready, control, internal } = this.ports;
    const zones = [...new Set(this.options.instances.map((of) => of.zone))];
    const lines = {
      nodeName: name,
      role: "entry",
      machineClass: "front",
      serves: "front,control",
      ip,
      zone,
      region: this.options.regions?.[zone] ?? "arusha",
      "listen.front": `${ip}:${front}`,
      "listen.ready": `${ip}:${ready}`,
      "listen.control": `${ip}:${control}`,
      internalPortRange: `${internal},${internal + 15}`,
      seeds: this.instances.slice(0, 3).map((of) => `${of.ip}:${control}`)
        .join(","),
      bootstrap: "true",
      "limits.cpuShare": "0.675",
      "limits.cores": "1",
      "limits.memoryMb": "350",
      "limits.maxFds": "4100",
      discovery: "platform",
      entry: "vip",
      heartbeatMs: "1200",
      "bounds.stableWindowMs": "3000",
      "bounds.drainMs": "2000",
      "bounds.graceS": "8",
      "bounds.configApplyMs": "2000",
      "bounds.retryBudgetRatio": "0.2",
      "bounds.budgetWindowS": "10",
      "bounds.retryBudgetSlack": "56",
      "bounds.quotaWindowS": "8",
      "bounds.quotaOverage": "0.1",
      "bounds.quotaSlack": "140000",
      "platform.address": this.options.storeAddressOf?.(name) ??
        this.options.store.address,
      "platform.form": "table",
      ...this.options.bounds,
    };
    for (const each of zones) {
      lines[`zones.${each}`] = this.options.regions?.[each] ?? "arusha";
    }
    return Object.entries(lines).map(([key, value]) => `${key}=${value}\n`)
      .join("");
  }

  async start(instance) {
    const path = join(this.#folder, `${instance.name}.conf`);
    writeFileSync(path, this.#settingsOf(instance));
    const [program, ...args] = this.command;
    const child = spawn(program, args, {
      cwd: ROOT,
      env: {
        PATH: process.env.PATH,
        HOME: process.env.HOME,
        LANG: process.env.LANG ?? "C",
        CHESTNUTHATCH_CONFIG: path,
      },
      stdio: ["ignore", "pipe", "pipe"],
    });
    instance.child = child;
    instance.hasEnded = false;
    for (const stream of [child.stdout, child.stderr]) {
      stream.on("data", (bytes) => instance.output.push(bytes));
    }
    child.on("close", () => {
      if (instance.child === child) {
        instance.hasEnded = true;
      }
    });
    await sleep(0);
  }

  async untilReady(instances, withinMs = 15_000) {
    const untilMs = nowMs() + withinMs;
    for (const instance of instances) {
      while (!await this.isReady(instance)) {
        if (nowMs() > untilMs) {
          throw new Error(
            `${instance.name} is not ready:\n${
              Buffer.concat(instance.output).toString().slice(-2000)
            }`,
          );
        }
        await sleep(50);
      }
    }
  }

  async isReady({ ip }) {
    try {
      const url = `http://${ip}:${this.ports.ready}/ready`;
      const answer = await fetch(url, { signal: AbortSignal.timeout(1000) });
      await answer.arrayBuffer();
      return answer.status === 200;
    } catch {
      return false;
    }
  }

  /** Log lines of an instance that contain a text. */
  logLines(instance, text) {
    return Buffer.concat(instance.output).toString().split("\n")
      .filter((line) => line.includes(text));
  }

  async close() {
    for (const { child } of this.instances) {
      child.kill("SIGCONT");
      child.kill("SIGKILL");
    }
    while (this.instances.some(({ hasEnded }) => !hasEnded)) {
      await sleep(20);
    }
    rmSync(this.#folder, { recursive: true, force: true });
  }
}

/** Runs a case, writes its record and ends with the exit code of its result. */
export async function runCase(scriptUrl, play) {
  let code = EXIT_CANNOT_RUN;
  let summary = [];
  const closers = [];
  try {
    const result = await play((close) => closers.push(close));
    summary = result.summary;
    code = result.isBroken ? EXIT_BROKEN : EXIT_HELD;
  } catch (error) {
    summary = [`could not run: ${error.stack}`];
  }
  for (const close of closers.reverse()) {
    await close();
  }
  writeRecord(scriptUrl, [`TROUBLE=${hasTrouble ? 1 : 0}`, ...summary]);
  console.log(summary.join("\n"));
  process.exit(code);
}
