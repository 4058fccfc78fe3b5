/** Tests of the workload generator. */

import { test } from "uvu";
import * as assert from "uvu/assert";
import {
  bodyOf,
  burstPhases,
  calmPhases,
  generateWorkload,
  RAIN_MIX,
} from "./workload.ts";
import { Deployment, kindsOf, TIERS, WorkKind } from "./workload_kinds.ts";

const MINUTE_MS = 60_000;

for (const deployment of Object.values(Deployment)) {
  const options = {
    deployment,
    seed: 11,
    durationMs: MINUTE_MS,
    phases: calmPhases(20),
  };

  test(`should repeat itself for the same seed (${deployment})`, () => {
    const items = generateWorkload(options);
    assert.equal(generateWorkload(options), items);
    assert.ok(items.length > 1_000 && items.length < 1_400);
    assert.equal(
      new Set(items.map(({ kind }) => kind)),
      new Set(kindsOf(deployment)),
    );
    assert.ok(items.every(({ tier }) => TIERS[deployment].includes(tier)));
  });

  test(`should write bodies of the right length (${deployment})`, () => {
    const items = generateWorkload(options).slice(0, 100);
    for (const item of items) {
      const body = bodyOf(item);
      assert.is(body.length, item.promptTokens * 4);
      assert.ok(body.endsWith(` [output=${item.outputTokens}]`));
    }
    assert.is(new Set(items.map(bodyOf)).size, items.length);
  });

  test(`should give every non-idempotent request a key (${deployment})`, () => {
    const risky = generateWorkload(options).filter((item) => !item.idempotent);
    assert.ok(risky.length > 0);
    assert.ok(risky.every((item) => item.idempotencyKey !== undefined));
  });
}

test("should share the leading text of a workspace's kind", () => {
  const items = generateWorkload({
    deployment: Deployment.SunuRegistrs,
    seed: 1,
    durationMs: MINUTE_MS,
    phases: calmPhases(20),
  });
  const [first, second] = items.filter(({ kind, workspace }) =>
    kind === WorkKind.LicenceRenewal && workspace === "riga-city"
  );
  const sharedChars = first.prefixTokens * 4;
  assert.is(second.prefixId, first.prefixId);
  assert.is(
    bodyOf(second).slice(0, sharedChars),
    bodyOf(first).slice(0, sharedChars),
  );
});

test("should raise rate and mix in a burst, and repeat some requests", () => {
  const items = generateWorkload({
    deployment: Deployment.ShambaSafi,
    seed: 5,
    durationMs: 3 * MINUTE_MS,
    phases: burstPhases({
      calmPerSecond: 5,
      burstPerSecond: 50,
      burstFromMs: MINUTE_MS,
      burstUntilMs: 2 * MINUTE_MS,
      mix: RAIN_MIX,
    }),
    repeats: { share: 0.1, afterMs: 2_000 },
  });
  const faultShareIn = (minute: number) => {
    const inMinute = items.filter(({ atMs }) =>
      Math.floor(atMs / MINUTE_MS) === minute
    );
    const faults = inMinute.filter(({ kind }) => kind === WorkKind.FaultNote);
    return { count: inMinute.length, share: faults.length / inMinute.length };
  };
  assert.ok(faultShareIn(1).count > 5 * faultShareIn(0).count);
  assert.ok(faultShareIn(1).share > faultShareIn(0).share);
  const repeat = items.find(({ isRepeat }) => isRepeat);
  const original = items.find((item) =>
    item.idempotencyKey === repeat?.idempotencyKey && !item.isRepeat
  );
  assert.is(original?.seedText, repeat?.seedText);
  assert.ok(items.every(({ atMs }, i) => i === 0 || items[i - 1].atMs <= atMs));
});

test.run();
