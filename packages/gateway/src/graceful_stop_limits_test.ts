/** Graceful stops whose grace period is short, or shortened during the stop. */

import { Writable } from "node:stream";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { EventLog } from "./event_log.ts";
import { GracefulStop } from "./graceful_stop.ts";

const DISCARD = new Writable({ write: (_chunk, _code, done) => done() });

/** Stops a server whose request never ends; returns when each call came. */
async function stop(
  graceMs: (atMs: number) => number,
): Promise<{ firstSeenAtMs: Map<string, number>; endedAtMs: number }> {
  let atMs = 0;
  const firstSeenAtMs = new Map<string, number>();
  const record = (event: string) => () => {
    if (!firstSeenAtMs.has(event)) {
      firstSeenAtMs.set(event, atMs);
    }
  };
  const clock = { nowMs: () => atMs };
  await new GracefulStop({
    front: {
      openCount: 1,
      connections: { openConnections: 1, owedAnswers: 1, waitingBytes: 1 },
      announceClosing: record("announced"),
      refuseRequests: record("refused"),
      abortRequests: record("aborted"),
      refuseUnread: () => Promise.resolve(),
      abortAnswers: record("broken off"),
    },
    relay: { openCount: 0 },
    clock,
    log: new EventLog(clock, "i1", DISCARD),
    graceMs: () => graceMs(atMs),
    pause: (forMs) => {
      atMs += forMs;
      return Promise.resolve();
    },
  }).run();
  return { firstSeenAtMs, endedAtMs: atMs };
}

test("requests are refused before others are aborted, however short the grace period", async () => {
  const { firstSeenAtMs } = await stop(() => 2500);
  assert.equal([...firstSeenAtMs.keys()], [
    "announced",
    "refused",
    "aborted",
    "broken off",
  ]);
});

// Guards against requests that are accepted after the last ones were aborted.
test("requests are refused if no time is left when the stop begins", async () => {
  const { firstSeenAtMs } = await stop(() => 400);
  assert.equal([...firstSeenAtMs.keys()], [
    "announced",
    "refused",
    "aborted",
    "broken off",
  ]);
});

test("a grace period shortened during the stop leaves time to write errors", async () => {
  const { firstSeenAtMs, endedAtMs } = await stop((atMs) =>
    atMs < 4000 ? 8000 : 4000
  );
  assert.ok(
    endedAtMs > firstSeenAtMs.get("aborted")!,
    `aborted and ended ${endedAtMs}`,
  );
});

// Guards against large answers that are aborted, as their callers read slowly
// and their requests were accepted too late.
test("twice as long is left to finish requests as to accept them", async () => {
  const { firstSeenAtMs } = await stop(() => 5000);
  const refusedAtMs = firstSeenAtMs.get("refused")!;
  assert.ok(refusedAtMs <= 1700, `refused from ${refusedAtMs} ms`);
});

test.run();
