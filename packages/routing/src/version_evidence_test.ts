/** Verdicts on sound and bad versions, by seeded series of random answers. */

import { seededRandomSource } from "@chestnuthatch/core/random_source";
import fc from "fast-check";
import { test } from "uvu";
import * as assert from "uvu/assert";
import type { VersionAnswer } from "./version_answers.ts";
import { Verdict, VersionEvidence } from "./version_evidence.ts";

const SEEDS = 20;
const TARGETS = 16;
const ROUTES = ["plan", "note", "query"];
/** Relative response times of targets with different engines. */
const SPEEDS = [0.55, 1, 2.8];
const CANARY_ANSWERS = 160;
const BASELINE_FOR_EACH = 10;
/** Number of canary answers between two verdicts. */
const ANSWERS_PER_VERDICT = 5;
/** Number of consecutive canary answers of the same target. */
const ANSWERS_PER_TARGET = 5;

/** Fault of the answers of one version. */
interface Fault {
  /** Share of its answers, on this route or on all, that fail. */
  readonly failing?: number;
  /** Share of these answers that take four times as long. */
  readonly slow?: number;
  readonly route?: string;
  /** Number of canary answers before the fault begins. */
  readonly afterAnswers?: number;
  /** Share of the targets that have the fault. */
  readonly targets?: number;
}

interface Trial {
  readonly canary?: Fault;
  readonly baseline?: Fault;
}

function idsOf(targets: number): string[] {
  return Array.from({ length: targets }, (_, index) => `new-${index}`);
}

/** Verdict on a version whose first targets fail all requests. */
function verdictWith(
  { targets, failing, staying = targets, baselineAnswers = 100 }: {
    targets: number;
    failing: number;
    /** How many of the targets have not left by the time of the verdict. */
    staying?: number;
    baselineAnswers?: number;
  },
  answersOfEach: number,
): Verdict {
  const evidence = new VersionEvidence();
  for (let answer = 0; answer < baselineAnswers; answer++) {
    const targetId = `old-${answer % targets}`;
    evidence.add({ isCanary: false, targetId, route: "plan", failed: false });
  }
  for (let answer = 0; answer < answersOfEach; answer++) {
    idsOf(targets).forEach((targetId, index) => {
      const failed = index < failing;
      evidence.add({ isCanary: true, targetId, route: "plan", failed });
    });
  }
  const newTargetIds = idsOf(targets).slice(0, staying);
  return evidence.verdict({ newTargetIds, isPromoted: false }).verdict;
}

/**
 * Number of canary answers until the verdict is bad; undefined if it never is.
 */
function answersUntilBad(seed: number, trial: Trial): number | undefined {
  const random = seededRandomSource(seed);
  const evidence = new VersionEvidence();
  const newTargetIds = idsOf(TARGETS);
  const scope = { newTargetIds, isPromoted: false };
  const add = (isCanary: boolean, index: number, canaryAnswers: number) => {
    const fault = (isCanary ? trial.canary : trial.baseline) ?? {};
    const route = ROUTES[Math.floor(random.next() * ROUTES.length)]!;
    const isFaulty = index < TARGETS * (fault.targets ?? 1) &&
      (fault.route ?? route) === route &&
      canaryAnswers >= (fault.afterAnswers ?? 0);
    const failed = isFaulty && random.next() < (fault.failing ?? 0);
    const isSlow = isFaulty && random.next() < (fault.slow ?? 0);
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
    add(true, Math.floor(answers / ANSWERS_PER_TARGET) % TARGETS, answers);
    const isVerdictDue = answers % ANSWERS_PER_VERDICT === 0;
    if (isVerdictDue && evidence.verdict(scope).verdict === Verdict.Bad) {
      return answers + 1;
    }
  }
  return undefined;
}

/**
 * For each seed with a bad verdict, the number of canary answers until then.
 */
function verdicts(trial: Trial): number[] {
  return Array.from(
    { length: SEEDS },
    (_, seed) => answersUntilBad(seed, trial),
  )
    .filter((after) => after !== undefined);
}

function assertSound(trial: Trial): void {
  assert.equal(verdicts(trial), [], "canary answers until false verdicts");
}

function assertBad(trial: Trial, withinAnswers: number): void {
  const after = verdicts(trial);
  assert.is(after.length, SEEDS, "seeds with a bad verdict");
  const latest = Math.max(...after);
  assert.ok(latest <= withinAnswers, `bad verdict after ${latest} answers`);
}

test("a version that is as good as the old one is not called bad", () => {
  assertSound({});
});

test("failures of both versions are not attributed to the new one", () => {
  const both = { failing: 0.5, route: "query" };
  assertSound({ canary: both, baseline: both });
});

test("failures of one or two targets are not attributed to their version", () => {
  assertSound({ canary: { failing: 0.9, targets: 2 / TARGETS } });
});

test("a version that fails half of its answers is bad after few answers", () => {
  assertBad({ canary: { failing: 0.5 } }, 40);
});

test("a version that turns bad late is detected soon after", () => {
  assertBad({ canary: { failing: 0.5, afterAnswers: 90 } }, 140);
});

test("a version that fails on a single route is bad", () => {
  assertBad({ canary: { failing: 0.8, route: "note" } }, 120);
});

test("a version whose answers are all several times slower is bad", () => {
  assertBad({ canary: { slow: 1 } }, 80);
});

test("a version that is several times slower on a single route is bad", () => {
  assertBad({ canary: { slow: 1, route: "plan" } }, 120);
});

test("if fewer than half of the targets fail, the others decide the verdict", () => {
  assert.is(verdictWith({ targets: 3, failing: 1 }, 12), Verdict.Sound);
  assert.is(verdictWith({ targets: 4, failing: 1 }, 12), Verdict.Sound);
  assert.is(verdictWith({ targets: 5, failing: 2 }, 12), Verdict.Sound);
  assert.is(verdictWith({ targets: 40, failing: 2 }, 12), Verdict.Sound);
});

// Guards against completing a version most of whose targets fail all requests.
test("a version of three targets is bad where two of them fail", () => {
  assert.is(verdictWith({ targets: 3, failing: 2 }, 12), Verdict.Bad);
  assert.is(verdictWith({ targets: 3, failing: 3 }, 12), Verdict.Bad);
  assert.is(verdictWith({ targets: 4, failing: 3 }, 12), Verdict.Bad);
  assert.is(verdictWith({ targets: 5, failing: 3 }, 12), Verdict.Bad);
});

// Guards against promoting a version half of whose targets fail all requests.
test("a version is not sound where half of its targets fail", () => {
  assert.is(verdictWith({ targets: 2, failing: 1 }, 12), Verdict.TooFew);
  assert.is(verdictWith({ targets: 4, failing: 2 }, 12), Verdict.TooFew);
});

// Guards against a canary phase without end while the verdict stays open.
test("a version that is not sound becomes bad with its failures", () => {
  assert.is(verdictWith({ targets: 2, failing: 1 }, 25), Verdict.Bad);
  assert.is(verdictWith({ targets: 4, failing: 2 }, 13), Verdict.Bad);
  assert.is(verdictWith({ targets: 16, failing: 6 }, 5), Verdict.Bad);
});

// Guards against a version that is sound only by answers of targets that left.
test("good answers of targets that left don't make a version sound", () => {
  const verdict = verdictWith({ targets: 3, failing: 1, staying: 1 }, 12);
  assert.is(verdict, Verdict.TooFew);
});

// Guards against completing a failing version after a change of coordinator.
test("failures count where answers of the old version are missing", () => {
  const trial = { targets: 8, failing: 3, baselineAnswers: 0 };
  assert.is(verdictWith(trial, 6), Verdict.TooFew);
  assert.is(verdictWith({ ...trial, failing: 0 }, 6), Verdict.Sound);
});

// Guards against a version that is sound only by old answers.
test("a version is not sound while half of its targets fail recently", () => {
  const evidence = new VersionEvidence();
  const newTargetIds = idsOf(4);
  const addAll = (rounds: number, isFailing: (index: number) => boolean) => {
    for (let round = 0; round < rounds; round++) {
      newTargetIds.forEach((targetId, index) => {
        const failed = isFailing(index);
        evidence.add({ isCanary: true, targetId, route: "plan", failed });
        const old = { isCanary: false, targetId: `old-${index}` };
        evidence.add({ ...old, route: "plan", failed: false });
      });
    }
  };
  addAll(100, () => false);
  const scope = { newTargetIds, isPromoted: true };
  assert.is(evidence.verdict(scope).verdict, Verdict.Sound);
  addAll(8, (index) => index < 2);
  assert.is(evidence.verdict(scope).verdict, Verdict.TooFew);
});

test("too few answers give no verdict", () => {
  const evidence = new VersionEvidence();
  for (let i = 0; i < 5; i++) {
    const answer = { isCanary: true, targetId: `t${i}`, route: "plan" };
    evidence.add({ ...answer, failed: true });
  }
  const newTargetIds = Array.from({ length: 5 }, (_, i) => `t${i}`);
  const scope = { newTargetIds, isPromoted: false };
  assert.is(evidence.verdict(scope).verdict, Verdict.TooFew);
});

/**
 * Number of answers until a version that fails all of them is bad; undefined if
 * it is not within a limit.
 */
function failuresUntilBad(
  of: { newTargets: number; baselineAnswers: number },
): number | undefined {
  const evidence = new VersionEvidence();
  const newTargetIds = idsOf(of.newTargets);
  for (let answer = 0; answer < of.baselineAnswers; answer++) {
    evidence.add({
      isCanary: false,
      targetId: "old-0",
      route: "plan",
      failed: false,
    });
  }
  for (let answer = 0; answer < 4 * MAX_FAILURES_UNTIL_BAD; answer++) {
    const targetId = newTargetIds[answer % newTargetIds.length]!;
    evidence.add({ isCanary: true, targetId, route: "plan", failed: true });
    const { verdict } = evidence.verdict({ newTargetIds, isPromoted: false });
    if (verdict === Verdict.Bad) {
      return answer + 1;
    }
  }
  return undefined;
}

const MAX_FAILURES_UNTIL_BAD = 25;

// Guards against failures that are put down to single targets, as most of the
// others have not answered yet.
test("a version of which two of sixteen targets fail everything, and no other answers, is bad", () => {
  const evidence = new VersionEvidence();
  for (let answer = 0; answer < MAX_FAILURES_UNTIL_BAD; answer++) {
    const targetId = `new-${answer % 2}`;
    evidence.add({ isCanary: true, targetId, route: "plan", failed: true });
  }
  const scope = { newTargetIds: idsOf(16), isPromoted: false };
  assert.is(evidence.verdict(scope).verdict, Verdict.Bad);
});

// Guards against a version that is never bad, as the old one has answered just
// once: a confidence interval of one answer allows any rate.
test("a version that fails everything is bad after 25 answers, whatever is known of the old one", () => {
  const late: string[] = [];
  for (let baselineAnswers = 0; baselineAnswers <= 30; baselineAnswers++) {
    for (let newTargets = 1; newTargets <= 8; newTargets++) {
      const after = failuresUntilBad({ newTargets, baselineAnswers });
      if (after === undefined || after > MAX_FAILURES_UNTIL_BAD) {
        late.push(`${baselineAnswers}/${newTargets}: ${after}`);
      }
    }
  }
  assert.equal(late, []);
});

/** Random answers of one version, by the number of failures in ten. */
function answersOf(
  of: { isCanary: boolean; failuresInTen: number; maxLength: number },
): fc.Arbitrary<VersionAnswer[]> {
  const { isCanary, failuresInTen, maxLength } = of;
  const name = isCanary ? "new" : "old";
  const answer = fc.record({
    isCanary: fc.constant(isCanary),
    targetId: fc.integer({ min: 0, max: 3 }).map((index) => `${name}-${index}`),
    route: fc.constantFrom("plan", "note"),
    failed: fc.integer({ min: 1, max: 10 }).map((n) => n <= failuresInTen),
  });
  return fc.array(answer, { minLength: maxLength / 4, maxLength });
}

function verdictOf(answers: readonly VersionAnswer[]): Verdict {
  const evidence = new VersionEvidence();
  answers.forEach((answer) => evidence.add(answer));
  return evidence.verdict({ newTargetIds: idsOf(4), isPromoted: false })
    .verdict;
}

// Guards against a verdict that gets worse with more knowledge.
test("a good answer of the old version never delays the verdict that the new one is bad", () => {
  fc.assert(
    fc.property(
      answersOf({ isCanary: true, failuresInTen: 8, maxLength: 60 }),
      answersOf({ isCanary: false, failuresInTen: 4, maxLength: 16 }),
      fc.constantFrom("plan", "note"),
      (canary, baseline, route) => {
        const before = verdictOf([...canary, ...baseline]);
        const good = {
          isCanary: false,
          targetId: "old-0",
          route,
          failed: false,
        };
        const after = verdictOf([...canary, ...baseline, good]);
        return before !== Verdict.Bad || after === Verdict.Bad;
      },
    ),
    { seed: 45, numRuns: 4000 },
  );
});

test("a failure of the new version never hastens the verdict that it is sound", () => {
  fc.assert(
    fc.property(
      answersOf({ isCanary: true, failuresInTen: 1, maxLength: 60 }),
      answersOf({ isCanary: false, failuresInTen: 2, maxLength: 16 }),
      fc.integer({ min: 0, max: 3 }),
      (canary, baseline, index) => {
        const before = verdictOf([...canary, ...baseline]);
        const failure = {
          isCanary: true,
          targetId: `new-${index}`,
          route: "plan",
          failed: true,
        };
        const after = verdictOf([...canary, ...baseline, failure]);
        return before === Verdict.Sound || after !== Verdict.Sound;
      },
    ),
    { seed: 45, numRuns: 4000 },
  );
});

test.run();
