/** Stopping where the grace time is short, or is shortened meanwhile. */

import { Writable } from "node:stream";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { EventLog } from "./event_log.ts";
import { GracefulStop } from "./graceful_stop.ts";

const NOWHERE = new Writable({ write: (_chunk, _code, done) => done() });

/** Stops a server with a request that never ends; tells what happened when. */
async function stop(
  graceMs: (atMs: number) => number,
): Promise<{ seen: Map<string, number>; endedAtMs: number }> {
  let atMs = 0;
  const seen = new Map<string, number>();
  const note = (what: string) => () => {
    if (!seen.has(what)) {
      seen.set(what, atMs);
    }
  };
  const clock = { nowMs: () => atMs };
  await new GracefulStop({
    front: {
      openCount: 1,
      connections: { openConnections: 1, owedAnswers: 1, waitingBytes: 1 },
      announceClosing: note("announced"),
      refuseRequests: note("refused"),
      abortRequests: note("aborted"),
      breakOffAnswers: note("broken off"),
    },
    clock,
    log: new EventLog(clock, "i1", NOWHERE),
    graceMs: () => graceMs(atMs),
    pause: (forMs) => {
      atMs += forMs;
      return Promise.resolve();
    },
  }).run();
  return { seen, endedAtMs: atMs };
}

test("requests are refused before others are broken off, however short the time", async () => {
  const { seen } = await stop(() => 2500);
  assert.equal([...seen.keys()], [
    "announced",
    "refused",
    "aborted",
    "broken off",
  ]);
});

test("a grace time shortened meanwhile leaves time to write errors out", async () => {
  const { seen, endedAtMs } = await stop((atMs) => atMs < 4000 ? 8000 : 4000);
  assert.ok(endedAtMs > seen.get("aborted")!, `aborted and ended ${endedAtMs}`);
});

// Guards against large answers that are broken off, as their callers read slowly
// and their requests were taken too late.
test("twice as long is left to finish requests as they are taken", async () => {
  const { seen } = await stop(() => 5000);
  const refusedAtMs = seen.get("refused")!;
  assert.ok(refusedAtMs <= 1700, `refused from ${refusedAtMs} ms`);
});

test.run();
