import { test } from "uvu";
import * as assert from "uvu/assert";
import { configurationOf, routeOf } from "./routing_test_support.ts";
import { RouteTable } from "./route_table.ts";

const TABLE = new RouteTable(configurationOf({
  routes: [
    routeOf({ name: "short", prefix: "/a/" }),
    routeOf({ name: "long", prefix: "/a/b/" }),
    routeOf({
      name: "split",
      prefix: "/s/",
      pools: [{ pool: "p", weight: 90 }, { pool: "q", weight: 10 }],
    }),
  ],
  workspaces: [{ name: "w", keys: ["k1", "k2"] }],
}));

test("the route with the longest prefix of the path matches", () => {
  assert.is(TABLE.match("h.example", "/a/b/c")?.name, "long");
  assert.is(TABLE.match("h.example", "/a/bc")?.name, "short");
  assert.is(TABLE.match("h.example", "/a"), undefined);
  assert.is(TABLE.match("other.example", "/a/b/"), undefined);
});

test("a key identifies its workspace", () => {
  assert.is(TABLE.workspaceOfKey("k2")?.name, "w");
  assert.is(TABLE.workspaceOfKey("k3"), undefined);
});

test("requests are split by weight, and each request id always the same way", () => {
  const route = TABLE.match("h.example", "/s/")!;
  const pools = Array.from(
    { length: 2000 },
    (_, i) => TABLE.pickPool(route, `request ${i}`),
  );
  const share = pools.filter((pool) => pool === "q").length / pools.length;
  assert.ok(share > 0.07 && share < 0.13, String(share));
  assert.is(TABLE.pickPool(route, "request 7"), pools[7]);
});

test.run();
