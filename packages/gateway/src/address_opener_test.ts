import { Writable } from "node:stream";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { AddressOpener } from "./address_opener.ts";
import { EventLog } from "./event_log.ts";

const ADDRESS = "127.0.0.1:80";

// Guards against a start that waits for ever for addresses that stay in use,
// or for less than the grace period of the process that holds them.
test("waits for all addresses together until the grace period is over", async () => {
  for (const [graceMs, waitMs] of [[5000, 10_000], [20_000, 22_000]]) {
    let nowMs = 0;
    const clock = { nowMs: () => nowMs };
    const output = new Writable({ write: (_chunk, _code, done) => done() });
    const opener = new AddressOpener({
      clock,
      log: new EventLog(clock, "i1", output),
      graceMs: graceMs!,
      isStopped: () => false,
      pause: (forMs) => {
        nowMs += forMs;
        return Promise.resolve();
      },
    });
    const openAfter = (freeAtMs: number) => () =>
      nowMs >= freeAtMs
        ? Promise.resolve()
        : Promise.reject(Object.assign(new Error(), { code: "EADDRINUSE" }));
    try {
      await opener.openAll([
        { name: "peers", address: ADDRESS, open: openAfter(waitMs! / 2) },
        { name: "callers", address: ADDRESS, open: openAfter(Infinity) },
      ]);
      assert.unreachable();
    } catch (error) {
      assert.match(
        String(error),
        `callers: ${ADDRESS} is still in use after ${waitMs} ms`,
      );
    }
    assert.is(nowMs, waitMs);
  }
});

test.run();
