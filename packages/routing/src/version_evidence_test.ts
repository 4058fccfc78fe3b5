/** Sound and bad versions told apart, by seeded series of answers. */

import { seededRandomness } from "@chestnuthatch/core/randomness";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { Verdict, VersionEvidence } from "./version_evidence.ts";

const SEEDS = 20;
const TARGETS = 16;
const ROUTES = ["plan", "note", "query"];
/** Paces of unlike engines. */
const SPEEDS = [0.55, 1, 2.8];
const CANARY_ANSWERS = 160;
const BASELINE_FOR_EACH = 10;
/** Canary answers between two looks at the verdict. */
const LOOK_EVERY = 5;
/** Answers of a target before the next one has its turn. */
const TURN = 5;

/** What ails answers of one version. */
interface Ailment {
  /** Part of its answers, on this route or on all, that fail. */
  readonly failing?: number;
  /** Part of them that take four times as long. */
  readonly slow?: number;
  readonly route?: string;
  /** Canary answers that are still well. */
  readonly afterAnswers?: number;
  /** Part of the targets that it is about. */
  readonly targets?: number;
}

interface Trial {
  readonly canary?: Ailment;
  readonly baseline?: Ailment;
}

/** Canary answers until the version was told bad; undefined where it was not. */
function toldBadAfter(seed: number, trial: Trial): number | undefined {
  const random = seededRandomness(seed);
  const evidence = new VersionEvidence();
  const scope = { newTargets: TARGETS, isPromoted: false };
  const add = (isCanary: boolean, index: number, canaryAnswers: number) => {
    const ailment = (isCanary ? trial.canary : trial.baseline) ?? {};
    const route = ROUTES[Math.floor(random.next() * ROUTES.length)]!;
    const isIll = index < TARGETS * (ailment.targets ?? 1) &&
      (ailment.route ?? route) === route &&
      canaryAnswers >= (ailment.afterAnswers ?? 0);
    const failed = isIll && random.next() < (ailment.failing ?? 0);
    const isSlow = isIll && random.next() < (ailment.slow ?? 0);
    const spread = 0.7 + 0.6 * random.next();
    const slowness = SPEEDS[index % SPEEDS.length]! * spread * (isSlow ? 4 : 1);
    evidence.add({
      isCanary,
      targetId: `${isCanary ? "new" : "old"}-${index}`,
      route,
      failed,
      slowness: failed ? undefined : slowness,
    });
  };
  for (let answers = 0; answers < CANARY_ANSWERS; answers++) {
    for (let i = 0; i < BASELINE_FOR_EACH; i++) {
      add(false, Math.floor(random.next() * TARGETS), answers);
    }
    add(true, Math.floor(answers / TURN) % TARGETS, answers);
    const isLook = answers % LOOK_EVERY === 0;
    if (isLook && evidence.verdict(scope).verdict === Verdict.Bad) {
      return answers + 1;
    }
  }
  return undefined;
}

/** Over all seeds, after how many canary answers each bad verdict was reached. */
function verdicts(trial: Trial): number[] {
  return Array.from({ length: SEEDS }, (_, seed) => toldBadAfter(seed, trial))
    .filter((after) => after !== undefined);
}

function assertSound(trial: Trial): void {
  assert.equal(verdicts(trial), [], "canary answers at false verdicts");
}

function assertBad(trial: Trial, withinAnswers: number): void {
  const after = verdicts(trial);
  assert.is(after.length, SEEDS, "seeds in which it was told");
  const latest = Math.max(...after);
  assert.ok(latest <= withinAnswers, `told after ${latest} answers`);
}

test("a version that is as good as the old one is not called bad", () => {
  assertSound({});
});

test("failures that both versions show are none of the new one's", () => {
  const both = { failing: 0.5, route: "query" };
  assertSound({ canary: both, baseline: both });
});

test("a failing target or two are no fault of their version", () => {
  assertSound({ canary: { failing: 0.9, targets: 2 / TARGETS } });
});

test("a version that fails half of its answers is told within its budget", () => {
  assertBad({ canary: { failing: 0.5 } }, 40);
});

test("one that turns bad late is told soon after", () => {
  assertBad({ canary: { failing: 0.5, afterAnswers: 90 } }, 140);
});

test("one that fails on a single route is told", () => {
  assertBad({ canary: { failing: 0.8, route: "note" } }, 120);
});

test("one all of whose answers are several times slower is told", () => {
  assertBad({ canary: { slow: 1 } }, 80);
});

test("one that is several times slower on a single route is told", () => {
  assertBad({ canary: { slow: 1, route: "plan" } }, 120);
});

test("failures at a target or two leave the verdict to the other targets", () => {
  const evidence = new VersionEvidence();
  const scope = { newTargets: 4, isPromoted: false };
  const add = (targetId: string, failed: boolean) => {
    for (let i = 0; i < 12; i++) {
      const answer = { targetId, route: "plan", failed };
      evidence.add({ ...answer, isCanary: true, slowness: 1 });
      const old = { isCanary: false, targetId: "old", route: "plan" };
      evidence.add({ ...old, failed: false, slowness: 1 });
    }
  };
  add("new-1", true);
  add("new-2", true);
  assert.is(evidence.verdict(scope).verdict, Verdict.TooFew);
  add("new-3", false);
  add("new-4", false);
  assert.is(evidence.verdict(scope).verdict, Verdict.Sound);
});

test("few answers say nothing", () => {
  const evidence = new VersionEvidence();
  for (let i = 0; i < 5; i++) {
    const answer = { isCanary: true, targetId: `t${i}`, route: "plan" };
    evidence.add({ ...answer, failed: true });
  }
  const scope = { newTargets: 5, isPromoted: false };
  assert.is(evidence.verdict(scope).verdict, Verdict.TooFew);
});

test.run();
