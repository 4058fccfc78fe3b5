/** Tests of the record from which new coordinators know where streams began. */

import { boardOf } from "@chestnuthatch/routing/routing_test_support";
import type { StreamOriginGroup } from "@chestnuthatch/routing/stream_origins";
import { test } from "uvu";
import * as assert from "uvu/assert";
import type { EventLog } from "./event_log.ts";
import { StreamRecorder } from "./stream_recorder.ts";

/** Longer than a new coordinator waits before its first record. */
const RECORD_DUE_MS = 1000;

class Fixture {
  readonly board = boardOf(["t1", "t2"]);
  readonly written: (readonly StreamOriginGroup[])[] = [];
  readonly imported: (readonly StreamOriginGroup[])[] = [];
  readCount = 0;
  isStoreUp = true;
  nowMs = 0;
  readonly recorder = new StreamRecorder({
    board: this.board,
    clock: { nowMs: () => this.nowMs },
    log: { info: () => {}, warn: () => {} } as unknown as EventLog,
    coordinator: {
      importStreams: (groups) => this.imported.push(groups),
      awaitsStreams: false,
    },
    platform: {
      recordStreams: (record) => {
        this.written.push(record);
        return Promise.resolve(this.isStoreUp);
      },
      readStreams: () => {
        this.readCount++;
      },
    },
  });

  listSecondVersion(): void {
    const entry = { ...this.board.targets.get("t2")!, version: "v2" };
    this.board.targets.apply([{ targetId: "t2", rowVersion: 9, entry }], 0);
  }

  begin(key: number): void {
    const of = { nowMs: this.nowMs, windowMs: 30_000 };
    this.board.streamOrigins.record(key, { pool: "p", version: "v1" }, of);
  }

  async recordAt(nowMs: number): Promise<void> {
    this.nowMs = nowMs;
    this.recorder.record();
    await Promise.resolve();
    await Promise.resolve();
  }
}

// Guards against calls to the store on days with one version.
test("nothing is recorded or read while targets of one version serve", async () => {
  const fixture = new Fixture();
  fixture.recorder.becameCoordinator();
  fixture.begin(1);
  await fixture.recordAt(RECORD_DUE_MS);
  assert.equal(fixture.written, []);
  assert.is(fixture.readCount, 0);
});

test("recent streams are listed while targets of several versions serve", () => {
  const fixture = new Fixture();
  fixture.begin(1);
  assert.equal(fixture.recorder.recent(1000), []);
  fixture.listSecondVersion();
  fixture.nowMs = 800;
  fixture.begin(2);
  fixture.nowMs = 1000;
  assert.equal(fixture.recorder.recent(1000), [
    { pool: "p", version: "v1", keys: [2] },
  ]);
});

test("streams are recorded when they change, with versions that have none", async () => {
  const fixture = new Fixture();
  fixture.listSecondVersion();
  fixture.recorder.becameCoordinator();
  assert.is(fixture.readCount, 1);
  fixture.begin(1);
  await fixture.recordAt(100);
  assert.equal(fixture.written, [], "before others have reported");
  await fixture.recordAt(RECORD_DUE_MS);
  await fixture.recordAt(RECORD_DUE_MS + 300);
  assert.equal(fixture.written, [[
    { pool: "p", version: "v1", keys: [1] },
    { pool: "p", version: "v2", keys: [] },
  ]]);
  fixture.begin(2);
  await fixture.recordAt(RECORD_DUE_MS + 310);
  assert.is(fixture.written.length, 2);
  fixture.begin(3);
  await fixture.recordAt(RECORD_DUE_MS + 320);
  assert.is(fixture.written.length, 2, "within the minimum interval");
});

test("a record that was not written is written again", async () => {
  const fixture = new Fixture();
  fixture.listSecondVersion();
  fixture.begin(1);
  fixture.isStoreUp = false;
  await fixture.recordAt(RECORD_DUE_MS);
  fixture.isStoreUp = true;
  await fixture.recordAt(RECORD_DUE_MS + 2000);
  assert.is(fixture.written.length, 2);
  assert.equal(fixture.written[1], fixture.written[0]);
});

test("a record that may be lost is written again", async () => {
  const fixture = new Fixture();
  fixture.listSecondVersion();
  fixture.begin(1);
  await fixture.recordAt(RECORD_DUE_MS);
  fixture.recorder.invalidateRecord();
  await fixture.recordAt(RECORD_DUE_MS + 300);
  assert.is(fixture.written.length, 2);
});

test("a record is restored unless no caller can return any more", () => {
  const fixture = new Fixture();
  const record = [{ pool: "p", version: "v1", keys: [1] }];
  fixture.recorder.restore(record, 30_000);
  assert.equal(fixture.imported, []);
  fixture.recorder.restore(record, 29_000);
  assert.equal(fixture.imported, [record]);
});

test.run();
