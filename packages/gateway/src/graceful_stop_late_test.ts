/** Tests of a graceful stop in a process that was late or paused. */

import { Writable } from "node:stream";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { EventLog } from "./event_log.ts";
import { GracefulStop } from "./graceful_stop.ts";

const GRACE_MS = 2000;
const NO_CONNECTIONS = { openConnections: 0, owedAnswers: 0, waitingBytes: 0 };

// Guards against an answer of a target that has arrived, and is lost because a
// process that was paused runs its timers before it reads its connections.
test("a late process reads what has arrived before it aborts requests", async () => {
  let nowMs = 0;
  let openCount = 1;
  let abortedUnread = false;
  const clock = { nowMs: () => nowMs };
  const output = new Writable({ write: (_chunk, _code, done) => done() });
  await new GracefulStop({
    front: {
      get openCount() {
        return openCount;
      },
      connections: NO_CONNECTIONS,
      announceClosing: () => {},
      refuseRequests: () => {},
      abortRequests: () => {
        abortedUnread = openCount > 0;
        openCount = 0;
      },
      refuseUnread: () => Promise.resolve(),
      abortAnswers: () => {},
    },
    relay: { openCount: 0 },
    clock,
    log: new EventLog(clock, "i1", output),
    graceMs: () => GRACE_MS,
    pause: () => {
      // The pause ends late; the next poll reads the answer to the request.
      nowMs += GRACE_MS;
      setImmediate(() => openCount = 0);
      return Promise.resolve();
    },
  }).run();
  assert.not.ok(abortedUnread);
});

test.run();
