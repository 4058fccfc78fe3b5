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

class TestHarness {
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
  run: (harness: TestHarness) => Promise<void>,
): void {
  test(title, async () => {
    const harness = await new TestHarness().start();
    try {
      await run(harness);
    } finally {
      await harness.stop();
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
  testWith(`should hold a claim ${title}`, async (harness) => {
    harness.table.writeFaults.push(...writeFaults);
    harness.table.readFaults.push(...readFaults);
    assert.equal(await harness.claim(), { outcome: ClaimOutcome.Held });
    assert.is(harness.table.rows.size, 1);
    assert.equal(harness.table.value(KEY), ROW);
  });
}

testWith("should report who holds a claim", async (harness) => {
  harness.table.put(KEY, OTHER);
  const heldElsewhere = { outcome: ClaimOutcome.HeldElsewhere, found: OTHER };
  assert.equal(await harness.claim(), heldElsewhere);
  harness.table.writeFaults.push(AnswerLost);
  harness.context.events.length = 0;
  assert.equal(await harness.claim(), heldElsewhere);
});

testWith("should treat a corrupt claim row as another's", async (harness) => {
  harness.table.put(KEY, { nonce: "n1" });
  assert.equal(await harness.claim(), {
    outcome: ClaimOutcome.HeldElsewhere,
    found: undefined,
  });
});

testWith(
  "should report an unknown claim outcome while the table is down",
  async (harness) => {
    harness.table.defaultFault = Down;
    assert.equal(await harness.claim(), { outcome: ClaimOutcome.Unknown });
  },
);

testWith("should void its own claim only", async (harness) => {
  await harness.claim();
  await harness.client.voidClaim(CLAIM);
  assert.is(harness.table.rows.size, 0);
  harness.table.put(KEY, OTHER);
  await harness.client.voidClaim(CLAIM);
  assert.is(harness.table.rows.size, 1);
  assert.is(harness.client.pendingVoids, 0);
});

testWith("should void a claim once the table recovers", async (harness) => {
  const OUTAGE_CALLS = 10;
  await harness.claim();
  harness.table.defaultFault = Down;
  let calls = 0;
  harness.table.onCall = () => {
    calls += 1;
    harness.table.defaultFault = calls < OUTAGE_CALLS ? Down : TableFault.None;
  };
  harness.table.writeFaults.push(AnswerLost);
  await harness.client.voidClaim(CLAIM);
  assert.is(harness.table.rows.size, 0);
});

testWith(
  "should void a write that takes effect after a read found no row",
  async (harness) => {
    harness.table.defaultFault = Down;
    await harness.claim();
    harness.table.defaultFault = TableFault.None;
    const lateReadNumber = 3;
    let reads = 0;
    harness.table.onCall = (path) => {
      reads += path === "/table/read" ? 1 : 0;
      if (reads === lateReadNumber) {
        harness.table.put(KEY, ROW);
        reads += 1;
      }
    };
    await harness.client.voidClaim(CLAIM);
    assert.ok(reads > lateReadNumber);
    assert.is(harness.table.rows.size, 0);
  },
);

testWith("should cancel a write whose claim is voided", async (harness) => {
  harness.table.writeFaults.push(CallLost);
  let voided: Promise<void> | undefined;
  harness.table.onCall = () => {
    voided ??= harness.client.voidClaim(CLAIM);
  };
  assert.equal(await harness.claim(), { outcome: ClaimOutcome.Unknown });
  await voided;
  assert.is(harness.table.rows.size, 0);
});

testWith("should keep an answer and read it back", async (harness) => {
  const key = "answer/njiro/a%2Fb";
  harness.table.writeFaults.push(CallLost, AnswerLost);
  await harness.client.keepAnswer({
    kind: EffectKind.KeepAnswer,
    requestId: "r1",
    key,
    content: "mowed",
  });
  assert.is(harness.table.objects.get(key), "mowed");
  const read = { kind: EffectKind.ReadKeptAnswer, requestId: "r1" } as const;
  await harness.client.readKeptAnswer({ ...read, key });
  await harness.client.readKeptAnswer({ ...read, key: "answer/njiro/none" });
  harness.table.defaultFault = Down;
  await harness.client.readKeptAnswer({ ...read, key });
  assert.equal(
    harness.context.events.map((event) =>
      event.kind === EventKind.KeptAnswerRead &&
      [event.content, event.unavailable]
    ),
    [["mowed", false], [undefined, false], [undefined, true]],
  );
});

testWith(
  "should emit newer settings and never corrupt ones",
  async (harness) => {
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
    await harness.client.pollSettings(poll);
    harness.table.put(HEAD_KEY, { version: 2, changeId: "c2" });
    harness.table.put(versionKey(2), { ...version, content: "torn" });
    await harness.client.pollSettings(poll);
    harness.table.put(versionKey(2), { ...version, changeId: "c9" });
    await harness.client.pollSettings(poll);
    harness.table.put(versionKey(2), version);
    await harness.client.pollSettings({ ...poll, haveVersion: 2 });
    assert.equal(harness.context.events, []);
    await harness.client.pollSettings(poll);
    assert.equal(harness.context.events, [
      { kind: EventKind.SettingsRead, version: 2, changeId: "c2", content },
    ]);
  },
);

testWith(
  "should emit no event and throttle log lines while the store is down",
  async (harness) => {
    harness.table.defaultFault = Down;
    await harness.client.pollSettings({
      kind: EffectKind.PollSettings,
      haveVersion: 0,
    });
    await harness.client.pollInstanceList();
    await harness.client.pollInstanceList();
    assert.equal(harness.context.events, []);
    assert.is(harness.context.logs.length, 2);
  },
);

testWith("should fail fast when too many calls are queued", async (harness) => {
  const rateLimited = new PlatformHttp({
    address: harness.table.server.address,
    clock: harness.context.clock,
    readsPerSecond: 10,
    callTimeoutMs: 100,
  });
  const first = rateLimited.read([KEY]);
  const second = rateLimited.read([KEY]);
  const third = await rateLimited.read([KEY]);
  assert.is(third._unsafeUnwrapErr(), PlatformFault.RateLimited);
  harness.context.clock.atMs = 100;
  await first;
  assert.is((await second)._unsafeUnwrapErr(), PlatformFault.RateLimited);
  assert.ok(harness.table.server.received.length <= 1);
  await rateLimited.stop();
});

test.run();
