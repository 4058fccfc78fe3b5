/** Tests of the stand-ins' HTTP interfaces and of their faults. */

import { request } from "node:http";
import { instanceListSchema } from "@chestnuthatch/wire/platform_protocol";
import {
  type EngineEvent,
  EngineEventKind,
  engineEventSchema,
  loadAnswerSchema,
  serviceAnswerSchema,
} from "@chestnuthatch/wire/target_protocol";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { listDeploymentTargets, type StandinTarget } from "./deployments.ts";
import { StandinFleet } from "./standin_fleet.ts";
import { PlatformFaultKind } from "./platform_server.ts";
import { TargetFaultKind } from "./target_faults.ts";
import { Deployment } from "./work_kinds.ts";

const ENGINE = "msaidizi-1";
const SERVICE = "kazi-desk-1";
/** Rates at which answers take almost no time. */
const FAST: Partial<StandinTarget> = {
  prefillTokensPerSecond: 1e7,
  decodeTokensPerSecond: 1e6,
  callMs: 1,
};

let fleet: StandinFleet;

test.before.each(async () => {
  const targets = listDeploymentTargets(Deployment.ShambaSafi)
    .filter(({ id }) => id === ENGINE || id === SERVICE)
    .map((target) => ({ ...target, ...FAST }));
  fleet = await StandinFleet.start({ targets });
});

test.after.each(() => fleet.stop());

function engineUrl(path: string): string {
  return `http://${fleet.findAddress(ENGINE)}${path}`;
}

function post(url: string, body: unknown): Promise<Response> {
  return fetch(url, { method: "POST", body: JSON.stringify(body) });
}

function generate(requestId: string): Promise<EngineEvent[]> {
  const body = {
    requestId,
    attemptNonce: "n1",
    model: "msaidizi",
    prompt: `${requestId} [output=50]`,
    promptTokens: 10,
    maxOutputTokens: 64,
    blockHashes: [],
  };
  return readEvents(engineUrl("/v1/generate"), JSON.stringify(body));
}

function call(requestId: string): Promise<Response> {
  return post(`http://${fleet.findAddress(SERVICE)}/v1/call`, {
    requestId,
    attemptNonce: "n1",
    idempotencyKey: "k1",
    body: "post status",
  });
}

/**
 * Reads events until the body ends or the connection is closed. `fetch` would
 * drop the last events of a closed connection.
 */
function readEvents(url: string, body?: string): Promise<EngineEvent[]> {
  return new Promise((resolve, reject) => {
    const method = body === undefined ? "GET" : "POST";
    const sent = request(url, { method }, (response) => {
      let text = "";
      response.setEncoding("utf8");
      response.on("data", (chunk: string) => text += chunk);
      response.on("error", () => {});
      response.on("close", () => resolve(parseEvents(text)));
    });
    sent.on("error", reject);
    sent.end(body);
  });
}

function parseEvents(text: string): EngineEvent[] {
  return text.split("\n").filter((line) => line !== "")
    .map((line) => engineEventSchema.parse(JSON.parse(line)));
}

async function didFail(promise: Promise<unknown>): Promise<boolean> {
  return await promise.then(() => false, () => true);
}

test("should list every target and report its load", async () => {
  const url = `http://${fleet.platformAddress}/instances`;
  const list = instanceListSchema.parse(await (await fetch(url)).json());
  assert.equal(
    new Map(list.instances.map(({ id, address }) => [id, address])),
    new Map(fleet.targets.map(({ id, address }) => [id, address])),
  );
  const load = await (await fetch(engineUrl("/v1/load"))).json();
  assert.is(loadAnswerSchema.parse(load).targetId, ENGINE);
});

test("should resume a broken stream up to the whole answer", async () => {
  const engine = fleet.engines.get(ENGINE);
  engine?.setFault({
    kind: TargetFaultKind.BreakStream,
    times: 1,
    afterTokens: 7,
  });
  const broken = await generate("r1");
  const tokens = broken.filter(({ kind }) => kind === EngineEventKind.Token);
  const query = `requestId=r1&attemptNonce=n1&fromToken=${tokens.length}`;
  const rest = await readEvents(engineUrl(`/v1/resume?${query}`));
  assert.is(tokens.length, 7);
  const indexes = [...tokens, ...rest].map((event) =>
    event.kind === EngineEventKind.Token ? event.index : event.kind
  );
  const all = Array.from({ length: 50 }, (_, i) => i);
  assert.equal(indexes, [...all, EngineEventKind.End]);
  assert.is(engine?.model.counts.runsByRequestId.get("r1"), 1);
});

test("should inject dropped, crossed and duplicate answers", async () => {
  const engine = fleet.engines.get(ENGINE);
  engine?.setFault({ kind: TargetFaultKind.DropBeforeAnswer, times: 1 });
  assert.ok(await didFail(generate("r1")));
  assert.is(engine?.model.counts.runsByRequestId.get("r1"), 1);
  engine?.setFault({ kind: TargetFaultKind.CrossAnswers, times: 1 });
  const crossed = await generate("r2");
  assert.ok(crossed.every(({ requestId }) => requestId === "r1"));
  engine?.setFault({ kind: TargetFaultKind.DuplicateEnd, times: 1 });
  const ends = (await generate("r3"))
    .filter(({ kind }) => kind === EngineEventKind.End);
  assert.is(ends.length, 2);
});

test("should refuse connections after a kill, until restarted", async () => {
  const engine = fleet.engines.get(ENGINE);
  await engine?.kill();
  assert.ok(await didFail(generate("r1")));
  assert.is(engine?.model.counts.dispatchesByRequestId.size, 0);
  const revived = await engine?.revive();
  assert.is(revived?.address, fleet.findAddress(ENGINE));
  assert.is((await generate("r2")).length, 52);
});

test("should count runs whose connection closes unanswered", async () => {
  const service = fleet.services.get(SERVICE);
  service?.setFault({ kind: TargetFaultKind.CutAfterRun, times: 1 });
  assert.ok(await didFail(call("r1")));
  const answer = serviceAnswerSchema.parse(await (await call("r2")).json());
  assert.is(answer.requestId, "r2");
  assert.match(answer.body, "post status");
  assert.is(service?.model.counts.runsByKey.get("k1"), 2);
});

test("should refuse invalid bodies and lose answers of writes", async () => {
  const url = `http://${fleet.platformAddress}/table/transact`;
  assert.is((await post(url, { puts: 1 })).status, 400);
  fleet.platform.setFault({ kind: PlatformFaultKind.LoseAnswers, times: 1 });
  const puts = [{ key: "a/b", value: "x" }];
  assert.ok(
    await didFail(post(url, { conditions: [], puts, deletes: [] })),
  );
  const read = await fetch(url.replace("transact", "scan?prefix=a%2F"));
  assert.equal(await read.json(), {
    rows: [{ key: "a/b", value: "x", version: 1 }],
  });
});

test("should store objects under keys with slashes", async () => {
  const url = `http://${fleet.platformAddress}/objects/answers%2Fa%2Fk1`;
  assert.is((await fetch(url)).status, 404);
  assert.is((await fetch(url, { method: "PUT", body: "whole" })).status, 200);
  assert.is(await (await fetch(url)).text(), "whole");
  fleet.platform.setFault({ kind: PlatformFaultKind.Down, on: true });
  assert.is((await fetch(url)).status, 503);
});

test.run();
