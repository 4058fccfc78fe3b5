import { test } from "uvu";
import * as assert from "uvu/assert";
import { UnreachableDomains } from "./unreachable_domains.ts";
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

/** This instance, in domain `a`, and two of domain `b`, all alive at time 0. */
function fleet() {
  const members = new MemberView(memberOf("i1"));
  members.heartbeatReceived(memberOf("i2", { failureDomain: "b" }), 0);
  members.heartbeatReceived(memberOf("i3", { failureDomain: "b" }), 0);
  const domains = new UnreachableDomains(members);
  const ids = (nowMs: number) =>
    domains.unreachableTargets(TARGETS, nowMs).map(({ targetId }) => targetId);
  return { members, domains, ids };
}

test("a domain with silent instances and a silent target is unreachable", () => {
  const { domains, ids } = fleet();
  assert.is(domains.targetUnreachable("b", 600), true);
  assert.equal(ids(610), ["t2", "t3"]);
  assert.equal(ids(600 + 3200), []);
});

test("a domain with a silent target and a live instance is reachable", () => {
  const { members, domains, ids } = fleet();
  members.heartbeatReceived(memberOf("i3", { failureDomain: "b" }), 400);
  assert.is(domains.targetUnreachable("b", 600), false);
  assert.equal(ids(610), []);
});

test("a domain with silent instances whose targets answer is reachable", () => {
  const { ids } = fleet();
  assert.equal(ids(600), []);
});

test("a domain is reachable again after a heartbeat of any of its instances", () => {
  const { members, domains, ids } = fleet();
  domains.targetUnreachable("b", 600);
  members.heartbeatReceived(memberOf("i2", { failureDomain: "b" }), 900);
  assert.equal(ids(901), []);
});

test("the domain of this instance is never unreachable", () => {
  const { domains, ids } = fleet();
  assert.is(domains.targetUnreachable("a", 5000), false);
  assert.equal(ids(5000), []);
});

test.run();
