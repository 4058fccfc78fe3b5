import { test } from "uvu";
import * as assert from "uvu/assert";
import {
  type TargetChange,
  TargetDirectory,
  TargetNews,
} from "./target_directory.ts";

function row(
  rowVersion: number,
  over: {
    leaving?: boolean;
    announcedLeaving?: boolean;
    targetId?: string;
    incarnation?: number;
  } = {},
): TargetChange {
  const { leaving = false, targetId = "t1", incarnation = 0 } = over;
  const { announcedLeaving } = over;
  return {
    targetId,
    rowVersion,
    entry: {
      targetId,
      incarnation,
      pool: "p",
      address: "10.0.0.1:80",
      failureDomain: "a",
      slots: 4,
      leaving,
      announcedLeaving,
      version: "v1",
    },
  };
}

function directory(): TargetDirectory {
  const targets = new TargetDirectory();
  targets.listAnswers(0);
  return targets;
}

function usableIds(targets: TargetDirectory, nowMs: number): string[] {
  return targets.usable("p", nowMs).map(({ targetId }) => targetId);
}

test("a leaving target gets no new work", () => {
  const targets = directory();
  targets.apply([row(1)], 10);
  assert.equal(usableIds(targets, 10), ["t1"]);
  const beliefs = targets.apply([row(2, { leaving: true })], 20);
  assert.is(beliefs[0]!.news, TargetNews.Leaving);
  assert.equal(usableIds(targets, 20), []);
});

test("a late heartbeat does not bring a leaving target back", () => {
  const targets = directory();
  targets.apply([row(2, { leaving: true }), row(3)], 10);
  assert.equal(usableIds(targets, 10), []);
});

test("a target that starts again under its id is used again", () => {
  const targets = directory();
  targets.apply([row(1, { incarnation: 100 })], 10);
  targets.apply([row(2, { incarnation: 100, leaving: true })], 20);
  assert.equal(usableIds(targets, 20), []);
  const beliefs = targets.apply([row(3, { incarnation: 200 })], 30);
  assert.is(beliefs[0]!.news, TargetNews.Restarted);
  assert.equal(usableIds(targets, 30), ["t1"]);
});

test("a late word of the process before counts until the next heartbeat", () => {
  const targets = directory();
  targets.apply([row(1, { incarnation: 200 })], 10);
  targets.apply([row(2, { incarnation: 100, leaving: true })], 20);
  assert.equal(usableIds(targets, 20), []);
  targets.apply([row(3, { incarnation: 200 })], 30);
  assert.equal(usableIds(targets, 30), ["t1"]);
  targets.apply([row(4, { incarnation: 200, leaving: true })], 40);
  targets.apply([row(5, { incarnation: 100 })], 50);
  assert.equal(usableIds(targets, 50), []);
});

test("news older than what is known changes nothing", () => {
  const targets = directory();
  targets.apply([row(5)], 10);
  assert.equal(targets.apply([row(4, { leaving: true })], 20), []);
  assert.equal(usableIds(targets, 20), ["t1"]);
});

test("a row that vanishes from a steady list counts at once", () => {
  const targets = directory();
  targets.apply([row(1)], 10);
  targets.apply([{ targetId: "t1", rowVersion: 2 }], 5000);
  assert.equal(usableIds(targets, 5000), []);
});

test("a row that vanished during an outage is given time to return", () => {
  const targets = directory();
  targets.apply([row(1)], 10);
  targets.listAnswers(9000);
  targets.apply([{ targetId: "t1", rowVersion: 2 }], 9100);
  assert.equal(usableIds(targets, 11_100), ["t1"]);
  assert.equal(usableIds(targets, 11_200), []);
});

test("a row that vanishes later than rows return counts at once", () => {
  const targets = directory();
  targets.apply([row(1)], 10);
  targets.listAnswers(9000);
  targets.apply([{ targetId: "t1", rowVersion: 2 }], 11_300);
  assert.equal(usableIds(targets, 11_300), []);
});

test("an outage after a removal does not bring the target back", () => {
  const targets = directory();
  targets.apply([row(1)], 10);
  targets.apply([{ targetId: "t1", rowVersion: 2 }], 5000);
  targets.listAnswers(8000);
  assert.equal(usableIds(targets, 8100), []);
});

test("a target whose row returns is used again", () => {
  const targets = directory();
  targets.apply([row(1)], 10);
  targets.apply([{ targetId: "t1", rowVersion: 2 }], 5000);
  targets.apply([row(3)], 6000);
  assert.equal(usableIds(targets, 6000), ["t1"]);
});

test("a whole read removes what it lacks, unless that is newer", () => {
  const targets = directory();
  targets.apply([row(1), row(9, { targetId: "t2" })], 10);
  targets.replace([], 5, 5000);
  assert.equal(usableIds(targets, 5000), ["t2"]);
});

test("a list that went back brings no target back, but what is written anew does", () => {
  const targets = directory();
  targets.apply([row(5)], 0);
  targets.apply([{ targetId: "t1", rowVersion: 6 }], 10);
  targets.listWentBack(5000);
  assert.equal(targets.replace([row(105)], 105, 5010), []);
  const [belief] = targets.apply([row(106)], 5020);
  assert.is(belief?.news, TargetNews.Added);
});

test("a target that a list lacks since it went back is used on for a while", () => {
  const targets = directory();
  targets.apply([row(5)], 0);
  targets.listWentBack(5000);
  targets.replace([], 105, 5010);
  const target = () => targets.get("t1")!;
  assert.ok(targets.isUsable(target(), 7000), "live ones are written again");
  assert.not.ok(targets.isUsable(target(), 7300));
});

test("a target that announces that it is leaving stays unused, whatever rows say", () => {
  const targets = directory();
  targets.apply([row(5, { incarnation: 7 })], 10);
  const [belief] = targets.announcedLeaving("t1");
  assert.is(belief!.news, TargetNews.Leaving);
  assert.equal(targets.announcedLeaving("t1"), []);
  targets.apply([row(6, { incarnation: 7 })], 20);
  targets.replace([row(8, { incarnation: 7 })], 8, 30);
  assert.equal(usableIds(targets, 30), []);
  targets.apply([row(9, { incarnation: 8 })], 40);
  assert.equal(usableIds(targets, 40), ["t1"]);
});

test("a leaving target that drops off the list stays unused", () => {
  const targets = directory();
  targets.apply([row(5)], 10);
  targets.announcedLeaving("t1");
  targets.apply([{ targetId: "t1", rowVersion: 6 }], 20);
  assert.equal(usableIds(targets, 20), []);
  targets.apply([row(7)], 30);
  assert.equal(usableIds(targets, 30), []);
});

test("an announcement reported by a peer counts with an older row", () => {
  const said = { leaving: true, announcedLeaving: true };
  const told = [row(4, { ...said, incarnation: 7 })];
  const targets = directory();
  targets.apply([row(5, { incarnation: 7 })], 10);
  assert.is(targets.apply(told, 20)[0]!.news, TargetNews.Leaving);
  const restarted = directory();
  restarted.apply([row(5, { incarnation: 8 })], 10);
  assert.equal(restarted.apply(told, 20), []);
});

test.run();
