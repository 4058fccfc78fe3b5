import {
  type EngineState,
  OrderKind,
  type OrderRequest,
} from "@chestnuthatch/wire/target_protocol";
import { test } from "uvu";
import * as assert from "uvu/assert";
import {
  type ReceivedRequest,
  TableFault,
  TestClock,
  TestServer,
  TestTable,
} from "./edge_test_support.ts";
import {
  type EngineOrder,
  OrderIssuer,
  type OrderOutcome,
  OrderOutcomeKind,
} from "./order_issuer.ts";
import { OrderState } from "./order_rows.ts";
import { PlatformHttp } from "./platform_http.ts";

const LEASE_MS = 30_000;
const ORDER_DELAY_MS = 10_000;
const KEY = "order/t1";
const PREVIOUS_ORDER = {
  holder: "former",
  fencingNumber: 4,
  leaseMs: LEASE_MS,
  orderId: "former-order",
  kind: OrderKind.LoadModel,
  value: "m0",
  state: OrderState.Leased,
};

class TestHarness {
  readonly table = new TestTable();
  readonly clock = new TestClock();
  readonly engine = new TestServer((seen) => this.#answer(seen));
  readonly issuers: OrderIssuer[] = [];
  http!: PlatformHttp;
  checksFencing = true;
  loseOrderAnswers = false;
  /** Called before the engine answers a read of its state. */
  onState: () => void = () => {};
  state: EngineState = {
    targetId: "t1",
    model: "m0",
    adapter: "",
    version: "1",
    role: "decode",
    fencingNumber: 0,
    lastOrderId: "",
  };

  async start(): Promise<this> {
    await this.table.server.start();
    await this.engine.start();
    const { address } = this.table.server;
    this.http = new PlatformHttp({ address, clock: this.clock });
    return this;
  }

  async stop(): Promise<void> {
    await Promise.all(this.issuers.map((issuer) => issuer.stop()));
    await this.http.stop();
    await this.engine.stop();
    await this.table.server.stop();
  }

  issue(value: string, holder = "issuer"): Promise<OrderOutcome> {
    const issuer = new OrderIssuer({
      platform: this.http,
      holder,
      clock: this.clock,
      sleep: this.clock.sleep,
      newOrderId: () => `${holder}-order`,
      leaseMs: LEASE_MS,
      maxOrderDelayMs: ORDER_DELAY_MS,
    });
    this.issuers.push(issuer);
    return issuer.issue(this.order(value));
  }

  order(value: string): EngineOrder {
    return {
      targetId: "t1",
      address: this.engine.address,
      checksFencing: this.checksFencing,
      kind: OrderKind.LoadModel,
      value,
    };
  }

  orderCount(): number {
    return this.engine.paths().filter((path) => path === "/v1/orders").length;
  }

  obey(order: OrderRequest): boolean {
    if (this.checksFencing && order.fencingNumber <= this.state.fencingNumber) {
      return false;
    }
    const fencingNumber = this.checksFencing ? order.fencingNumber : 0;
    const { value: model, orderId: lastOrderId } = order;
    this.state = { ...this.state, model, lastOrderId, fencingNumber };
    return true;
  }

  #answer({ path, body, response }: ReceivedRequest): void {
    if (path === "/v1/state") {
      this.onState();
      response.end(JSON.stringify(this.state));
      return;
    }
    const obeyed = this.obey(JSON.parse(body));
    if (this.loseOrderAnswers) {
      response.destroy();
      return;
    }
    response.writeHead(obeyed ? 200 : 409)
      .end(JSON.stringify({ obeyed, state: this.state }));
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

testWith(
  "should issue orders with increasing fencing numbers",
  async (harness) => {
    const first = await harness.issue("m1", "a");
    const second = await harness.issue("m2", "b");
    assert.equal([first.kind, second.kind], [
      OrderOutcomeKind.Obeyed,
      OrderOutcomeKind.Obeyed,
    ]);
    assert.equal([first.fencingNumber, second.fencingNumber], [1, 2]);
    assert.is(second.before?.model, "m1");
    assert.is(second.after?.model, "m2");
    assert.is(harness.table.value(KEY).state, OrderState.Settled);
    assert.is(harness.clock.atMs, 0);
  },
);

for (const checksFencing of [true, false]) {
  testWith(
    `should let one of two issuers win, fencing checked: ${checksFencing}`,
    async (harness) => {
      harness.checksFencing = checksFencing;
      const outcomes = await Promise.all([
        harness.issue("m1", "a"),
        harness.issue("m2", "b"),
      ]);
      const winner = outcomes.find(({ kind }) =>
        kind === OrderOutcomeKind.Obeyed
      );
      const refused = outcomes.find((outcome) => outcome !== winner);
      assert.is(refused?.kind, OrderOutcomeKind.HeldElsewhere);
      assert.is(refused?.other?.orderId, winner?.orderId);
      assert.is(harness.orderCount(), 1);
      assert.is(harness.state.lastOrderId, winner?.orderId);
    },
  );
}

testWith(
  "should report that an old fencing number was refused",
  async (harness) => {
    let states = 0;
    harness.onState = () => {
      states += 1;
      if (states === 2) {
        harness.obey({ ...PREVIOUS_ORDER, fencingNumber: 9, orderId: "later" });
      }
    };
    const outcome = await harness.issue("m1");
    assert.is(outcome.kind, OrderOutcomeKind.RefusedAsOld);
    assert.is(outcome.after?.lastOrderId, "later");
  },
);

testWith("should exceed the fencing number of the target", async (harness) => {
  harness.state = { ...harness.state, fencingNumber: 7 };
  assert.is((await harness.issue("m1")).fencingNumber, 8);
});

for (
  const [checksFencing, waitedMs] of [
    [true, LEASE_MS],
    [false, LEASE_MS + ORDER_DELAY_MS],
  ] as const
) {
  testWith(
    `should wait out an unsettled lease, fencing checked: ${checksFencing}`,
    async (harness) => {
      harness.checksFencing = checksFencing;
      harness.table.put(KEY, PREVIOUS_ORDER);
      const outcome = await harness.issue("m1");
      assert.is(outcome.kind, OrderOutcomeKind.Obeyed);
      assert.is(outcome.fencingNumber, 5);
      assert.is(harness.clock.atMs, waitedMs);
    },
  );
}

testWith(
  "should not send an order after its lease expired",
  async (harness) => {
    harness.checksFencing = false;
    let states = 0;
    harness.onState = () => {
      states += 1;
      harness.clock.atMs += states === 2 ? LEASE_MS : 0;
    };
    const outcome = await harness.issue("m1");
    assert.is(outcome.kind, OrderOutcomeKind.LeaseLapsed);
    assert.is(harness.orderCount(), 0);
  },
);

testWith(
  "should report when a target that ignores fencing is not as ordered",
  async (harness) => {
    harness.checksFencing = false;
    harness.onState = () => {
      if (harness.orderCount() === 1) {
        harness.obey({ ...PREVIOUS_ORDER, orderId: "late" });
      }
    };
    const outcome = await harness.issue("m1");
    assert.is(outcome.kind, OrderOutcomeKind.NotAsOrdered);
    assert.is(outcome.after?.lastOrderId, "late");
  },
);

testWith(
  "should resolve a lost answer to the lease write by the order id",
  async (harness) => {
    harness.table.writeFaults.push(TableFault.AnswerLost);
    const outcome = await harness.issue("m1");
    assert.is(outcome.kind, OrderOutcomeKind.Obeyed);
    assert.is(outcome.fencingNumber, 1);
  },
);

testWith(
  "should resolve a lost answer to the order by the target's state",
  async (harness) => {
    harness.loseOrderAnswers = true;
    const outcome = await harness.issue("m1");
    assert.is(outcome.kind, OrderOutcomeKind.Obeyed);
    assert.is(harness.orderCount(), 1);
  },
);

testWith(
  "should send nothing while the table is down or its row corrupt",
  async (harness) => {
    harness.table.defaultFault = TableFault.Down;
    const down = await harness.issue("m1");
    assert.is(down.kind, OrderOutcomeKind.StoreUnavailable);
    harness.table.defaultFault = TableFault.None;
    harness.table.put(KEY, { holder: "former" });
    const corrupt = await harness.issue("m1");
    assert.is(corrupt.kind, OrderOutcomeKind.RowUnreadable);
    assert.is(harness.orderCount(), 0);
  },
);

test.run();
