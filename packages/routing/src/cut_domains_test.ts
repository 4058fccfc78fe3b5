import { test } from "uvu";
import * as assert from "uvu/assert";
import { CutDomains } from "./cut_domains.ts";
import type { KnownTarget } from "./target_directory.ts";
import { MemberView } from "./member_view.ts";
import { memberOf } from "./routing_test_support.ts";

function targetOf(targetId: string, failureDomain: string): KnownTarget {
  return {
    targetId,
    incarnation: 1,
    pool: "p",
    address: `${targetId}:80`,
    failureDomain,
    slots: 2,
    leaving: false,
    version: "v1",
    rowVersion: 1,
    warmAtMs: 0,
  };
}

const TARGETS = [targetOf("t1", "a"), targetOf("t2", "b"), targetOf("t3", "b")];

/** Instances of domains `a`, where this one is, and `b`, heard at time 0. */
function fleet() {
  const members = new MemberView(memberOf("i1"));
  members.heard(memberOf("i2", { failureDomain: "b" }), 0);
  members.heard(memberOf("i3", { failureDomain: "b" }), 0);
  const cut = new CutDomains(members);
  const ids = (nowMs: number) =>
    cut.unreachable(TARGETS, nowMs).map(({ targetId }) => targetId);
  return { members, cut, ids };
}

test("a domain that gives no sign of life at all is passed over at once", () => {
  const { cut, ids } = fleet();
  assert.is(cut.unanswered("b", 600), true);
  assert.equal(ids(610), ["t2", "t3"]);
  assert.equal(ids(600 + 3200), []);
});

test("a silent target is not enough where instances beside it are heard", () => {
  const { members, cut, ids } = fleet();
  members.heard(memberOf("i3", { failureDomain: "b" }), 400);
  assert.is(cut.unanswered("b", 600), false);
  assert.equal(ids(610), []);
});

test("silent instances are not enough where targets beside them answer", () => {
  const { ids } = fleet();
  assert.equal(ids(600), []);
});

test("a domain is used again once any of its instances is heard", () => {
  const { members, cut, ids } = fleet();
  cut.unanswered("b", 600);
  members.heard(memberOf("i2", { failureDomain: "b" }), 900);
  assert.equal(ids(901), []);
});

test("this instance's own domain is never cut off from it", () => {
  const { cut, ids } = fleet();
  assert.is(cut.unanswered("a", 5000), false);
  assert.equal(ids(5000), []);
});

test.run();
