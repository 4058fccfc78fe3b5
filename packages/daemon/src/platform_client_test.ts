import { EffectKind } from "@chestnuthatch/core/effects";
import { ClaimOutcome, EventKind } from "@chestnuthatch/core/events";
import {
  hashContent,
  HEAD_KEY,
  versionKey,
} from "@chestnuthatch/settings/settings_rows";
import { test } from "uvu";
import * as assert from "uvu/assert";
import type { ClaimEffect } from "./claim_writer.ts";
import { TableFault, TestContext, TestTable } from "./edge_test_support.ts";
import { PlatformClient } from "./platform_client.ts";
import { PlatformFault, PlatformHttp } from "./platform_http.ts";

const KEY = "claim/njiro/k1";
const ROW = {
  nonce: "n1",
  holderId: "njiro-hall-1",
  holderIncarnation: 1,
  requestId: "r1",
  contentHash: "h",
};
const OTHER = { ...ROW, nonce: "n2", holderId: "sakina-hall-1" };
const CLAIM: ClaimEffect = {
  kind: EffectKind.WriteClaim,
  requestId: "r1",
  key: KEY,
  row: ROW,
};

class TestBench {
  readonly table = new TestTable();
  readonly context = new TestContext();
  http!: PlatformHttp;
  client!: PlatformClient;

  async start(): Promise<this> {
    await this.table.server.start();
    const { clock } = this.context;
    const { address } = this.table.server;
    this.http = new PlatformHttp({
      address,
      clock,
      readsPerSecond: 10_000,
      writesPerSecond: 10_000,
    });
    this.client = new PlatformClient(this.context, {
      http: this.http,
      sleep: clock.sleep,
    });
    return this;
  }

  async stop(): Promise<void> {
    this.client.stop();
    await this.http.stop();
    await this.table.server.stop();
  }

  async claim(): Promise<unknown> {
    await this.client.writeClaim(CLAIM);
    const { requestId: _, kind: __, ...status } = await this.context
      .waitForEvent(
        EventKind.ClaimAnswered,
      );
    return status;
  }
}

function testWith(
  title: string,
  run: (bench: TestBench) => Promise<void>,
): void {
  test(title, async () => {
    const bench = await new TestBench().start();
    try {
      await run(bench);
    } finally {
      await bench.stop();
    }
  });
}

const { AnswerLost, CallLost, Down } = TableFault;

for (
  const [title, writeFaults, readFaults] of [
    ["at the first attempt", [], []],
    ["when the answer is lost after the write", [AnswerLost], []],
    ["when the answer and the read back are lost", [AnswerLost], [CallLost]],
    ["when the write is lost", [CallLost], []],
    ["when the table is briefly down", [Down, Down], [Down]],
  ] as const
) {
  testWith(`should hold a claim ${title}`, async (bench) => {
    bench.table.writeFaults.push(...writeFaults);
    bench.table.readFaults.push(...readFaults);
    assert.equal(await bench.claim(), { outcome: ClaimOutcome.Held });
    assert.is(bench.table.rows.size, 1);
    assert.equal(bench.table.value(KEY), ROW);
  });
}

testWith("should report who holds a claim", async (bench) => {
  bench.table.put(KEY, OTHER);
  const heldElsewhere = { outcome: ClaimOutcome.HeldElsewhere, found: OTHER };
  assert.equal(await bench.claim(), heldElsewhere);
  bench.table.writeFaults.push(AnswerLost);
  bench.context.events.length = 0;
  assert.equal(await bench.claim(), heldElsewhere);
});

testWith("should treat a corrupt claim row as another's", async (bench) => {
  bench.table.put(KEY, { nonce: "n1" });
  assert.equal(await bench.claim(), {
    outcome: ClaimOutcome.HeldElsewhere,
    found: undefined,
  });
});

testWith(
  "should report an unknown claim outcome while the table is down",
  async (bench) => {
    bench.table.defaultFault = Down;
    assert.equal(await bench.claim(), { outcome: ClaimOutcome.Unknown });
  },
);

testWith("should void its own claim only", async (bench) => {
  await bench.claim();
  await bench.client.voidClaim(CLAIM);
  assert.is(bench.table.rows.size, 0);
  bench.table.put(KEY, OTHER);
  await bench.client.voidClaim(CLAIM);
  assert.is(bench.table.rows.size, 1);
  assert.is(bench.client.pendingVoids, 0);
});

testWith("should void a claim once the table recovers", async (bench) => {
  const OUTAGE_CALLS = 10;
  await bench.claim();
  bench.table.defaultFault = Down;
  let calls = 0;
  bench.table.onCall = () => {
    calls += 1;
    bench.table.defaultFault = calls < OUTAGE_CALLS ? Down : TableFault.None;
  };
  bench.table.writeFaults.push(AnswerLost);
  await bench.client.voidClaim(CLAIM);
  assert.is(bench.table.rows.size, 0);
});

testWith(
  "should void a write that takes effect after a read found no row",
  async (bench) => {
    bench.table.defaultFault = Down;
    await bench.claim();
    bench.table.defaultFault = TableFault.None;
    const lateReadNumber = 3;
    let reads = 0;
    bench.table.onCall = (path) => {
      reads += path === "/table/read" ? 1 : 0;
      if (reads === lateReadNumber) {
        bench.table.put(KEY, ROW);
        reads += 1;
      }
    };
    await bench.client.voidClaim(CLAIM);
    assert.ok(reads > lateReadNumber);
    assert.is(bench.table.rows.size, 0);
  },
);

testWith("should cancel a write whose claim is voided", async (bench) => {
  bench.table.writeFaults.push(CallLost);
  let voided: Promise<void> | undefined;
  bench.table.onCall = () => {
    voided ??= bench.client.voidClaim(CLAIM);
  };
  assert.equal(await bench.claim(), { outcome: ClaimOutcome.Unknown });
  await voided;
  assert.is(bench.table.rows.size, 0);
});

testWith("should keep an answer and read it back", async (bench) => {
  const key = "answer/njiro/a%2Fb";
  bench.table.writeFaults.push(CallLost, AnswerLost);
  await bench.client.keepAnswer({
    kind: EffectKind.KeepAnswer,
    requestId: "r1",
    key,
    content: "mowed",
  });
  assert.is(bench.table.objects.get(key), "mowed");
  const read = { kind: EffectKind.ReadKeptAnswer, requestId: "r1" } as const;
  await bench.client.readKeptAnswer({ ...read, key });
  await bench.client.readKeptAnswer({ ...read, key: "answer/njiro/none" });
  bench.table.defaultFault = Down;
  await bench.client.readKeptAnswer({ ...read, key });
  assert.equal(
    bench.context.events.map((event) =>
      event.kind === EventKind.KeptAnswerRead &&
      [event.content, event.unavailable]
    ),
    [["mowed", false], [undefined, false], [undefined, true]],
  );
});

testWith(
  "should emit newer settings and never corrupt ones",
  async (bench) => {
    const content = "fleet: {}";
    const version = {
      version: 2,
      changeId: "c2",
      author: "asha",
      note: "",
      contentHash: hashContent(content),
      content,
    };
    const poll = { kind: EffectKind.PollSettings, haveVersion: 1 } as const;
    await bench.client.pollSettings(poll);
    bench.table.put(HEAD_KEY, { version: 2, changeId: "c2" });
    bench.table.put(versionKey(2), { ...version, content: "torn" });
    await bench.client.pollSettings(poll);
    bench.table.put(versionKey(2), { ...version, changeId: "c9" });
    await bench.client.pollSettings(poll);
    bench.table.put(versionKey(2), version);
    await bench.client.pollSettings({ ...poll, haveVersion: 2 });
    assert.equal(bench.context.events, []);
    await bench.client.pollSettings(poll);
    assert.equal(bench.context.events, [
      { kind: EventKind.SettingsRead, version: 2, changeId: "c2", content },
    ]);
  },
);

testWith(
  "should emit no event and throttle log lines while the store is down",
  async (bench) => {
    bench.table.defaultFault = Down;
    await bench.client.pollSettings({
      kind: EffectKind.PollSettings,
      haveVersion: 0,
    });
    await bench.client.pollInstanceList();
    await bench.client.pollInstanceList();
    assert.equal(bench.context.events, []);
    assert.is(bench.context.logs.length, 2);
  },
);

testWith("should fail fast when too many calls are queued", async (bench) => {
  const rateLimited = new PlatformHttp({
    address: bench.table.server.address,
    clock: bench.context.clock,
    readsPerSecond: 10,
    callTimeoutMs: 100,
  });
  const first = rateLimited.read([KEY]);
  const second = rateLimited.read([KEY]);
  const third = await rateLimited.read([KEY]);
  assert.is(third._unsafeUnwrapErr(), PlatformFault.RateLimited);
  bench.context.clock.atMs = 100;
  await first;
  assert.is((await second)._unsafeUnwrapErr(), PlatformFault.RateLimited);
  assert.ok(bench.table.server.received.length <= 1);
  await rateLimited.stop();
});

test.run();
