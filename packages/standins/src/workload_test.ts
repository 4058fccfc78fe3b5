/** Tests of the generated workloads and request bodies. */

import { test } from "uvu";
import * as assert from "uvu/assert";
import {
  burstPhases,
  constantRatePhases,
  createRequestBody,
  generateWorkload,
  RAIN_MIX,
} from "./workload.ts";
import {
  Deployment,
  listWorkKinds,
  TIERS_BY_DEPLOYMENT,
  WorkKind,
} from "./work_kinds.ts";

const MINUTE_MS = 60_000;

for (const deployment of Object.values(Deployment)) {
  const options = {
    deployment,
    seed: 11,
    durationMs: MINUTE_MS,
    phases: constantRatePhases(20),
  };

  test(`should generate equal requests for equal seeds (${deployment})`, () => {
    const items = generateWorkload(options);
    assert.equal(generateWorkload(options), items);
    assert.ok(items.length > 1_000 && items.length < 1_400);
    assert.equal(
      new Set(items.map(({ kind }) => kind)),
      new Set(listWorkKinds(deployment)),
    );
    assert.ok(
      items.every(({ tier }) => TIERS_BY_DEPLOYMENT[deployment].includes(tier)),
    );
  });

  test(`should create bodies of the expected length (${deployment})`, () => {
    const items = generateWorkload(options).slice(0, 100);
    for (const item of items) {
      const body = createRequestBody(item);
      assert.is(body.length, item.promptTokens * 4);
      assert.ok(body.endsWith(` [output=${item.outputTokens}]`));
    }
    assert.is(new Set(items.map(createRequestBody)).size, items.length);
  });

  test(`should give every non-idempotent request a key (${deployment})`, () => {
    const nonIdempotent = generateWorkload(options).filter((item) =>
      !item.idempotent
    );
    assert.ok(nonIdempotent.length > 0);
    assert.ok(nonIdempotent.every((item) => item.idempotencyKey !== undefined));
  });
}

test("should share leading text within a workspace and kind", () => {
  const items = generateWorkload({
    deployment: Deployment.SunuRegistrs,
    seed: 1,
    durationMs: MINUTE_MS,
    phases: constantRatePhases(20),
  });
  const [first, second] = items.filter(({ kind, workspace }) =>
    kind === WorkKind.LicenceRenewal && workspace === "riga-city"
  );
  const sharedChars = first.prefixTokens * 4;
  assert.is(second.prefixId, first.prefixId);
  assert.is(
    createRequestBody(second).slice(0, sharedChars),
    createRequestBody(first).slice(0, sharedChars),
  );
});

test("should change rate and mix in a burst, and repeat requests", () => {
  const items = generateWorkload({
    deployment: Deployment.ShambaSafi,
    seed: 5,
    durationMs: 3 * MINUTE_MS,
    phases: burstPhases({
      baseRatePerSecond: 5,
      burstRatePerSecond: 50,
      burstFromMs: MINUTE_MS,
      burstUntilMs: 2 * MINUTE_MS,
      mix: RAIN_MIX,
    }),
    repeats: { share: 0.1, afterMs: 2_000 },
  });
  const countFaults = (minute: number) => {
    const inMinute = items.filter(({ atMs }) =>
      Math.floor(atMs / MINUTE_MS) === minute
    );
    const faults = inMinute.filter(({ kind }) => kind === WorkKind.FaultNote);
    return { count: inMinute.length, share: faults.length / inMinute.length };
  };
  assert.ok(countFaults(1).count > 5 * countFaults(0).count);
  assert.ok(countFaults(1).share > countFaults(0).share);
  const repeat = items.find(({ isRepeat }) => isRepeat);
  const original = items.find((item) =>
    item.idempotencyKey === repeat?.idempotencyKey && !item.isRepeat
  );
  assert.is(original?.uniqueText, repeat?.uniqueText);
  assert.ok(items.every(({ atMs }, i) => i === 0 || items[i - 1].atMs <= atMs));
});

test.run();
