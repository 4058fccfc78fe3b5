/**
 * One tenant asks for more than its allotment; then all entry instances are
 * killed, and the store gives no answer while they start again.
 */

import http from "node:http";
import {
  Fleet,
  hasTrouble,
  ipOf,
  nowMs,
  record,
  runCase,
  sleep,
  Store,
} from "../harness-2.mjs";

/** The tenant's allotment, in tokens, and the bounds of the settings file. */
const RATE_PER_S = 20_000;
const BURST = 20_000;
const WINDOW_S = 8;
const OVERAGE = 0.1;
const SLACK = 140_000;
const ALLOWED = (RATE_PER_S * WINDOW_S + BURST) * (1 + OVERAGE) + SLACK;

const REQUEST_TOKENS = 2000;
/** Usual demand: 5 in 9 of the allotment. */
const USUAL_INTERVAL_MS = 180;
/** Demand of 7.5 times the usual. */
const HOT_INTERVAL_MS = USUAL_INTERVAL_MS / 7.5;

const SERVERS = 4;
const SLOTS = 14;
const EVENTS = 3;
const EVENT_INTERVAL_MS = 20;

const STORE_SILENT_FROM_MS = 14_050;
const STORE_SILENT_FOR_MS = 1800;
const HOT_FROM_MS = 11_000;
const KILL_AT_MS = 14_000;
const DOWN_FOR_MS = 1000;
const END_MS = 24_000;

/** Tokens of all runs at servers, and when each was sent and arrived. */
const runs = [];
const sentAtMs = new Map();

async function openServer(index, store) {
  const ip = ipOf(101 + index);
  const id = `i-${index}-1`;
  let running = 0;
  const server = http.createServer((request, response) => {
    request.resume();
    request.on("end", () => {
      const requestId = request.headers["x-request-id"];
      const base = {
        "X-Request-Id": requestId,
        "X-Instance-Id": id,
        "X-Server-Load": `${running},0,${SLOTS}`,
      };
      if (request.headers["x-expect-instance"] !== id) {
        response.writeHead(421, base).end();
        return;
      }
      if (running >= SLOTS) {
        response.writeHead(503, { ...base, "X-Not-Executed": "1" }).end();
        return;
      }
      running++;
      const tokens = request.headers["x-token-counts"].split(",")
        .reduce((sum, count) => sum + Number(count), 0);
      runs.push({ sentAtMs: sentAtMs.get(requestId), atMs: nowMs(), tokens });
      record("server", index, "runs", requestId, `${tokens} tokens`);
      response.writeHead(200, {
        ...base,
        "Content-Type": "text/event-stream",
        "X-Response-Seal": `seal-${requestId}`,
      });
      let next = 1;
      const timer = setInterval(() => {
        response.write(`id: ${next}\ndata: piece ${next}\n\n`);
        if (next++ >= EVENTS) {
          clearInterval(timer);
          response.end();
        }
      }, EVENT_INTERVAL_MS);
      response.on("close", () => {
        clearInterval(timer);
        running--;
      });
    });
  });
  await new Promise((resolve) => server.listen(0, ip, resolve));
  const row = {
    service: "engines",
    address: `${ip}:${server.address().port}`,
    zone: index % 2 === 0 ? "hall-a" : "hall-b",
    version: "v1",
    slots: SLOTS,
    state: "ready",
    coldRemainingMs: 0,
    stage: "both",
    models: [{ name: "m", version: 1, adapters: [] }],
    sequence: 1,
  };
  store.put("servers", id, row);
  return { id, row };
}

/** Sends a request; a requester whose node is down just fails. */
function send(fleet, index, counts) {
  const instance = fleet.instances[index % fleet.instances.length];
  const id = `req-${index}`;
  sentAtMs.set(id, nowMs());
  const request = http.request({
    host: instance.ip,
    port: fleet.ports.front,
    method: "POST",
    path: "/plan/x",
    agent: false,
    headers: {
      Host: "plans.example",
      "X-Request-Id": id,
      "X-Deadline-Ms": "3000",
      "X-Model": "m",
      "X-Token-Counts": `${REQUEST_TOKENS - 100},100`,
      "X-Prompt-Prefix": `aa:60,${(1000 + index).toString(16)}:${
        REQUEST_TOKENS - 160
      }`,
      Authorization: "Bearer key-of-w",
      "Content-Length": "0",
    },
  });
  const finish = (end) => {
    counts[end] = (counts[end] ?? 0) + 1;
    record("client", id, "at", instance.name, end);
  };
  request.on("error", () => finish("failed"));
  request.on("response", (response) => {
    response.resume();
    response.on("end", () => finish(`answered ${response.statusCode}`));
    response.on("error", () => {});
  });
  request.end();
}

/** Most tokens that were sent and ran within one window, and its start. */
function worstWindow() {
  let worst = { tokens: 0, fromMs: 0 };
  for (const { sentAtMs: fromMs } of runs) {
    const tokens = runs
      .filter((run) =>
        run.sentAtMs >= fromMs && run.atMs < fromMs + WINDOW_S * 1000
      )
      .reduce((sum, run) => sum + run.tokens, 0);
    if (tokens > worst.tokens) {
      worst = { tokens, fromMs };
    }
  }
  return worst;
}

await runCase(import.meta.url, async (atEnd) => {
  const store = new Store();
  await store.open(ipOf(1));
  const servers = [];
  for (let index = 0; index < SERVERS; index++) {
    servers.push(await openServer(index, store));
  }
  let isStoreSilent = false;
  store.serves = () => !isStoreSilent;
  const beats = setInterval(() => {
    if (!isStoreSilent) {
      servers.forEach(({ id, row }) => {
        store.put("servers", id, { ...row, sequence: ++row.sequence });
      });
    }
  }, 1200);
  atEnd(() => clearInterval(beats));
  store.put("op", "config", {
    version: 1,
    routes: [{
      name: "plan",
      host: "plans.example",
      prefix: "/plan/",
      kind: "streaming",
      timeoutMs: 3000,
      targetLatencyMs: 1200,
      priority: 0,
      service: "engines",
      maxAttempts: 2,
      public: false,
      sticky: true,
      streamResume: true,
      gapAimMs: 300,
    }],
    services: [{
      name: "engines",
      healthPath: "/health",
      maxConnections: 620,
      protocol: "h1",
      tls: false,
      engine: { slots: SLOTS, kvCapacityTokens: 782411 },
    }],
    limits: {
      maxHeaderBytes: 16384,
      maxBodyBytes: 4194304,
      headerTimeoutMs: 3000,
      idleTimeoutMs: 15000,
    },
    tenants: [{
      name: "w",
      apiKeys: ["key-of-w"],
      priority: 1,
      unit: "tokens",
      plainTokens: 200,
      ratePerS: RATE_PER_S,
      burst: BURST,
    }],
  });
  const fleet = new Fleet({
    store,
    instances: [
      { name: "front-a-1", zone: "hall-a" },
      { name: "front-a-2", zone: "hall-a" },
      { name: "front-b-1", zone: "hall-b" },
    ],
    bounds: {
      "bounds.quotaWindowS": String(WINDOW_S),
      "bounds.quotaOverage": String(OVERAGE),
      "bounds.quotaSlack": String(SLACK),
    },
  });
  atEnd(() => fleet.close());
  await fleet.open();
  record("instances are ready");
  const beganAtMs = nowMs();
  if (hasTrouble) {
    setTimeout(() => {
      isStoreSilent = true;
      record("the store gives no answer");
    }, STORE_SILENT_FROM_MS);
    setTimeout(() => {
      isStoreSilent = false;
      record("the store answers again");
    }, STORE_SILENT_FROM_MS + STORE_SILENT_FOR_MS);
    setTimeout(async () => {
      record("all instances are killed");
      fleet.instances.forEach(({ child }) => child.kill("SIGKILL"));
      await sleep(DOWN_FOR_MS);
      fleet.options.bounds.bootstrap = "false";
      fleet.instances.forEach((instance) => fleet.start(instance));
      record("all instances start again");
    }, KILL_AT_MS);
  }
  const counts = {};
  let dueMs = nowMs();
  for (let index = 0; nowMs() - beganAtMs < END_MS; index++) {
    send(fleet, index, counts);
    const isHot = nowMs() - beganAtMs >= HOT_FROM_MS;
    dueMs += isHot ? HOT_INTERVAL_MS : USUAL_INTERVAL_MS;
    await sleep(Math.max(0, dueMs - nowMs()));
  }
  const restored = fleet.instances.flatMap((instance) =>
    fleet.logLines(instance, "spending restored").map((line) => {
      const { instance: name, ageMs, workspaces } = JSON.parse(line);
      return `${name}: ${workspaces.length} tenants, ${ageMs} ms old`;
    })
  );
  const { tokens, fromMs } = worstWindow();
  const isBroken = tokens > ALLOWED;
  return {
    isBroken,
    summary: [
      `records that the instances read: ${restored.join("; ") || "none"}`,
      `answers: ${JSON.stringify(counts)}`,
      `most tokens run in ${WINDOW_S} s: ${tokens}, from ${fromMs} ms; allowed: ${ALLOWED}`,
      `rule QUOTA: ${isBroken ? "broken" : "held"}`,
    ],
  };
});
