import { test } from "uvu";
import * as assert from "uvu/assert";
import { MemberView } from "./member_view.ts";
import { memberOf } from "./routing_test_support.ts";

const NONE = new Set<string>();

function viewOf(selfId: string, others: readonly string[]): MemberView {
  const view = new MemberView(memberOf(selfId));
  for (const id of others) {
    view.heartbeatReceived(memberOf(id), 0);
  }
  return view;
}

test("instances with the same view pick the same coordinator", () => {
  const ids = ["i1", "i2", "i3", "i4"];
  const picked = ids.map((self) =>
    viewOf(self, ids.filter((id) => id !== self)).coordinator(100, NONE)
      .instanceId
  );
  assert.is(new Set(picked).size, 1);
});

test("a silent or leaving coordinator is replaced by another", () => {
  const view = viewOf("i1", ["i2", "i3"]);
  const first = view.coordinator(100, NONE).instanceId;
  assert.is.not(view.coordinator(100, new Set([first])).instanceId, first);
  const others = ["i2", "i3"].filter((id) => id !== first);
  view.heartbeatReceived(memberOf(first, { leaving: true }), 100);
  assert.ok(["i1", ...others].includes(view.coordinator(100, NONE).instanceId));
  assert.is(view.coordinator(5000, NONE).instanceId, "i1");
});

test("an instance stands aside once half of the others passed it over", () => {
  const others = ["i2", "i3", "i4", "i5"];
  const view = viewOf("i1", others);
  view.passedOverBy("i2", 100);
  view.passedOverBy("i2", 200);
  assert.is(view.standsAside(200), false);
  others.forEach((id) => view.heartbeatReceived(memberOf(id), 1500));
  view.passedOverBy("i3", 1500);
  assert.is(view.standsAside(1500), false, "the first report is too old");
  view.passedOverBy("i2", 1600);
  assert.is(view.standsAside(1600), true);
  assert.is(view.standsAside(20_000), false);
});

test("an instance that is slow because of its load does not stand aside", () => {
  const view = viewOf("i1", ["i2", "i3"]);
  view.isLoaded = true;
  ["i2", "i3"].forEach((id) => view.passedOverBy(id, 100));
  assert.not.ok(view.standsAside(100));
  view.isLoaded = false;
  view.passedOverBy("i2", 200);
  assert.ok(view.standsAside(200));
});

test("a heartbeat changes the revision only with the member's description", () => {
  const view = viewOf("i1", ["i2"]);
  const before = view.revision;
  view.heartbeatReceived(memberOf("i2"), 300);
  assert.is(view.revision, before);
  view.heartbeatReceived(memberOf("i2", { standsAside: true }), 400);
  assert.is(view.revision, before + 1);
});

test("all replace a coordinator that stands aside, itself included", () => {
  const ids = ["i1", "i2", "i3"];
  const slowId = viewOf("i1", ["i2", "i3"]).coordinator(100, NONE).instanceId;
  const picked = ids.map((self) => {
    const others = ids.filter((id) => id !== self);
    const view = viewOf(self, others);
    if (self === slowId) {
      others.forEach((id) => view.passedOverBy(id, 100));
    }
    view.heartbeatReceived(memberOf(slowId, { standsAside: true }), 100);
    return view.coordinator(100, NONE).instanceId;
  });
  assert.is(new Set(picked).size, 1);
  assert.is.not(picked[0], slowId);
});

test("if all members stand aside, one of them coordinates", () => {
  const view = viewOf("i1", ["i2"]);
  view.heartbeatReceived(memberOf("i2", { standsAside: true }), 0);
  view.passedOverBy("i2", 100);
  assert.is(view.standsAside(100), true);
  assert.ok(["i1", "i2"].includes(view.coordinator(100, NONE).instanceId));
});

test("an instance that has just started replaces no coordinator", () => {
  const ids = ["i1", "i2", "i3", "i4", "i5", "i6"];
  const view = viewOf("i1", ids.slice(1));
  const first = view.coordinator(100, NONE).instanceId;
  const viewWithStarts = (startOf: (id: string) => number) => {
    const startedView = new MemberView(
      memberOf("i1", { incarnation: startOf("i1") }),
    );
    for (const id of ids.slice(1)) {
      const member = memberOf(id, { incarnation: startOf(id) });
      startedView.heartbeatReceived(member, 0);
    }
    return startedView;
  };
  const restarted = viewWithStarts((id) => id === first ? 60_000 : 500);
  assert.is.not(restarted.coordinator(100, NONE).instanceId, first);
  const together = viewWithStarts((id) => 500 + ids.indexOf(id) * 100);
  assert.is(together.coordinator(100, NONE).instanceId, first);
});

// Guards against two coordinators: two instances that started about the
// tolerance apart judged each other by uptimes that heartbeats delayed.
test("instances choose the same coordinator however far apart they started", () => {
  for (const [olderId, youngerId] of [["i1", "i2"], ["i2", "i1"]]) {
    for (let apartMs = 1900; apartMs <= 2100; apartMs++) {
      const pair = [
        memberOf(olderId!, { incarnation: 1000 }),
        memberOf(youngerId!, { incarnation: 1000 + apartMs }),
      ];
      const chosen = pair.map((self) => {
        const view = new MemberView(self);
        pair.forEach((member) => view.heartbeatReceived(member, 10_000));
        return view.coordinator(10_000, NONE).instanceId;
      });
      assert.is(chosen[0], chosen[1], `${apartMs} ms apart`);
    }
  }
});

test("an instance with few cores coordinates only if all alive have few", () => {
  const ids = ["i1", "i2", "i3", "i4", "i5", "i6", "i7", "i8"];
  for (const strong of ids) {
    const view = new MemberView(memberOf("i0", { cores: 0.3 }));
    for (const id of ids) {
      view.heartbeatReceived(
        memberOf(id, { cores: id === strong ? 1.3 : 0.3 }),
        0,
      );
    }
    assert.is(view.coordinator(100, NONE).instanceId, strong);
    const next = view.coordinator(100, new Set([strong])).instanceId;
    assert.is.not(next, strong);
  }
});

test("a coordinator of a large fleet detects a lost part within the timeout", () => {
  const ids = Array.from({ length: 80 }, (_, index) => `i${index + 1}`);
  const view = viewOf("i0", ids);
  for (const id of ids.slice(0, 60)) {
    view.heartbeatReceived(memberOf(id), 1000);
  }
  assert.is(view.shares.reachable(1100), 1);
  assert.is(view.shares.directlyCoordinated(1100, () => 1100), 61 / 81);
});

test("a part that was cut off counts once it has reported its spending", () => {
  const view = viewOf("i1", ["i2", "i3", "i4"]);
  const never = () => -Infinity;
  assert.is(
    view.shares.directlyCoordinated(500, never),
    1,
    "nobody was silent",
  );
  ["i3", "i4"].forEach((id) => view.heartbeatReceived(memberOf(id), 800));
  ["i2", "i3", "i4"].forEach((id) =>
    view.heartbeatReceived(memberOf(id), 1600)
  );
  assert.is(view.shares.directlyCoordinated(1600, never), 3 / 4);
  const reportedAtMs = (id: string) => id === "i2" ? 1700 : -Infinity;
  assert.is(view.shares.directlyCoordinated(1700, reportedAtMs), 1);
});

// Guards against two instances that hand out the limits of the same members.
test("members that ask another coordinator don't count for this one", () => {
  const view = viewOf("i1", ["i2", "i3", "i4"]);
  ["i2", "i3"].forEach((id) => view.coordinatorReported(id, "i2"));
  view.coordinatorReported("i4", "i1");
  assert.is(view.shares.coordinated(100), 2 / 4);
  assert.is(view.shares.reachable(100), 1);
  assert.is(view.shares.coordinated(1000), 1 / 4, "they are silent");
  view.heartbeatReceived(memberOf("i3"), 1000);
  view.heartbeatReceived(memberOf("i4"), 1000);
  assert.is(view.shares.coordinated(1000), 3 / 4, "i2 has failed");
});

// Guards against handing out again what a member spent that was cut off and then
// killed.
test("a process after a long silence counts when a window has passed", () => {
  const view = viewOf("i1", ["i2", "i3"]);
  view.processes.limitWindowMs = 8000;
  view.heartbeatReceived(memberOf("i2", { incarnation: 2 }), 1500);
  assert.is(view.shares.coordinated(1500), 2 / 3);
  view.heartbeatReceived(memberOf("i3"), 5000);
  view.heartbeatReceived(memberOf("i2", { incarnation: 2 }), 5000);
  assert.is(view.shares.coordinated(5000), 1, "a short silence");
  view.memberReported(memberOf("i2", { incarnation: 3 }), {
    nowMs: 9000,
    ageMs: 0,
  });
  const beat = (nowMs: number) => {
    view.heartbeatReceived(memberOf("i2", { incarnation: 3 }), nowMs);
    view.heartbeatReceived(memberOf("i3"), nowMs);
  };
  beat(9500);
  assert.is(view.shares.coordinated(9500), 2 / 3);
  beat(17_400);
  assert.is(view.shares.coordinated(17_400), 2 / 3);
  beat(17_500);
  assert.is(view.shares.coordinated(17_500), 1);
});

// Guards against the same where the instance that hears the process has just
// started itself.
test("a process after a silence that others report counts when a window has passed", () => {
  const view = viewOf("i1", []);
  view.processes.limitWindowMs = 8000;
  view.silenceReported(memberOf("i2"), { nowMs: 0, ageMs: 5000 });
  view.silenceReported(memberOf("i3"), { nowMs: 0, ageMs: 1000 });
  ["i2", "i3"].forEach((id) =>
    view.heartbeatReceived(memberOf(id, { incarnation: 2 }), 100)
  );
  assert.is(view.shares.coordinated(100), 2 / 3);
});

test("silent members are reported with the age of what is known of them", () => {
  const view = viewOf("i1", ["i2"]);
  view.memberReported(memberOf("i3"), { nowMs: 2000, ageMs: 500 });
  assert.equal(
    view.absent(2000).map(({ info, ageMs }) => [info.instanceId, ageMs]),
    [["i2", 2000], ["i3", 500]],
  );
  const left = memberOf("i3", { leaving: true, failureDomain: "b" });
  view.memberReported(left, { nowMs: 2000, ageMs: 0 });
  assert.is(view.absent(70_000).length, 1);
});

test("an instance that is cut off counts only its own part of the fleet", () => {
  const view = viewOf("i1", ["i2", "i3", "i4"]);
  assert.is(view.shares.reachable(100), 1);
  view.heartbeatReceived(memberOf("i2"), 5000);
  assert.is(view.shares.reachable(5000), 0.5);
});

test("a heartbeat of an earlier process of a member is ignored", () => {
  const view = viewOf("i1", []);
  view.heartbeatReceived(
    memberOf("i2", { incarnation: 2, address: "new:1" }),
    0,
  );
  view.heartbeatReceived(
    memberOf("i2", { incarnation: 1, address: "old:1" }),
    10,
  );
  assert.is(view.get("i2")?.address, "new:1");
});

test("a process that started after its clock was set back is accepted", () => {
  const view = viewOf("i1", []);
  view.heartbeatReceived(
    memberOf("i2", { incarnation: 2, address: "old:1" }),
    0,
  );
  view.heartbeatReceived(
    memberOf("i2", { incarnation: 1, address: "new:1" }),
    1500,
  );
  assert.is(view.get("i2")?.address, "new:1");
});

test("in a large fleet, only the coordinator has to send every heartbeat", () => {
  const ids = Array.from({ length: 60 }, (_, i) => `i${i + 2}`);
  const self = ids.pop()!;
  const view = viewOf(self, ids);
  assert.is(view.alive(4000).length, 60);
  // All sent their last heartbeat at 0: the candidate is given time to send
  // one.
  const first = view.coordinator(2000, NONE).instanceId;
  assert.is(view.coordinator(2500, NONE).instanceId, first);
  const second = view.coordinator(3000, NONE).instanceId;
  assert.is.not(second, first);
  view.heartbeatReceived(memberOf(first), 3100);
  assert.is(view.coordinator(3100, NONE).instanceId, first);
});

test("a member that was only reported by others does not coordinate", () => {
  const view = viewOf("i1", []);
  view.memberReported(memberOf("i2"), { nowMs: 0, ageMs: 0 });
  assert.is(view.coordinator(0, NONE).instanceId, "i1");
  // It may run on the other side of a partition.
  assert.is(view.shares.reachable(100), 0.5);
  assert.is(view.shares.reachable(3000), 0.5);
});

test.run();
