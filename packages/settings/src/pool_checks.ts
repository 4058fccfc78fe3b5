/** Checks that pools have targets, and that both fit the pool's kind. */

import { TargetKind } from "@chestnuthatch/wire/work";
import { faultAt, type PlacedFault } from "./placed_fault.ts";
import {
  isMap,
  namesAt,
  numberAt,
  textAt,
  type TreePath,
  valueAt,
} from "./raw_view.ts";
import { describeValue, SettingsFaultKind } from "./settings_fault.ts";

/** What an engine must have and a service cannot have. */
const ENGINE_FIELDS = [
  "kvTokens",
  "prefillTokensPerSecond",
  "decodeTokensPerSecond",
];

/**
 * Checks every pool and every target against its pool's kind.
 *
 * @param root The parsed tree.
 * @returns All faults found.
 */
export function poolFaults(root: unknown): PlacedFault[] {
  const pools = namesAt(root, ["pools"]).flatMap((pool) => [
    ...poolWithoutTargets(root, pool),
    ...engineWithoutModel(root, pool),
    ...contextThatFitsNowhere(root, pool),
  ]);
  return [...pools, ...targetKindFaults(root)];
}

function poolWithoutTargets(root: unknown, pool: string): PlacedFault[] {
  const targets = valueAt(root, ["targets"]) ?? {};
  if (!isMap(targets) || targetsOf(root, pool).length > 0) return [];
  return [faultAt(["pools", pool], {
    kind: SettingsFaultKind.Missing,
    found: "no target in this pool",
    allowed: "at least one target whose pool is this one",
    message: "the pool has no targets",
  })];
}

function engineWithoutModel(root: unknown, pool: string): PlacedFault[] {
  if (kindOf(root, pool) !== TargetKind.Engine) return [];
  const model = valueAt(root, ["pools", pool, "model"]) ?? "";
  const context = valueAt(root, ["pools", pool, "contextTokens"]) ?? 0;
  const faults: PlacedFault[] = [];
  if (model === "") {
    faults.push(missingForEngine(["pools", pool, "model"], "a model's name"));
  }
  if (context === 0) {
    faults.push(
      missingForEngine(["pools", pool, "contextTokens"], "a number above 0"),
    );
  }
  return faults;
}

function contextThatFitsNowhere(root: unknown, pool: string): PlacedFault[] {
  if (kindOf(root, pool) !== TargetKind.Engine) return [];
  const steps = ["pools", pool, "contextTokens"];
  const contextTokens = numberAt(root, steps) ?? 0;
  const sizes = targetsOf(root, pool)
    .map((target) => numberAt(root, ["targets", target, "kvTokens"]) ?? 0);
  const largest = Math.max(0, ...sizes);
  if (largest === 0 || contextTokens <= largest) return [];
  return [faultAt(steps, {
    kind: SettingsFaultKind.Conflict,
    found: String(contextTokens),
    allowed: `at most ${largest}, the largest kvTokens in the pool`,
    message: "no target of the pool can hold a request of this size",
  })];
}

function targetKindFaults(root: unknown): PlacedFault[] {
  return namesAt(root, ["targets"]).flatMap((target) => {
    const pool = textAt(root, ["targets", target, "pool"]);
    const kind = pool === undefined ? undefined : kindOf(root, pool);
    if (kind === TargetKind.Engine) return engineTargetFaults(root, target);
    if (kind === TargetKind.Service) return serviceTargetFaults(root, target);
    return [];
  });
}

function engineTargetFaults(root: unknown, target: string): PlacedFault[] {
  return ENGINE_FIELDS
    .map((field) => ["targets", target, field])
    .filter((steps) => (valueAt(root, steps) ?? 0) === 0)
    .map((steps) => missingForEngine(steps, "a number above 0"));
}

function serviceTargetFaults(root: unknown, target: string): PlacedFault[] {
  return ENGINE_FIELDS
    .map((field) => ["targets", target, field])
    .filter((steps) => (numberAt(root, steps) ?? 0) > 0)
    .map((steps) =>
      faultAt(steps, {
        kind: SettingsFaultKind.Conflict,
        found: describeValue(valueAt(root, steps)),
        allowed: "nothing for a target of a service pool",
        message: "only engines have tokens",
      })
    );
}

function missingForEngine(steps: TreePath, allowed: string): PlacedFault {
  return faultAt(steps, {
    kind: SettingsFaultKind.Missing,
    found: "nothing",
    allowed,
    message: "missing for an engine",
  });
}

function targetsOf(root: unknown, pool: string): string[] {
  return namesAt(root, ["targets"])
    .filter((target) => textAt(root, ["targets", target, "pool"]) === pool);
}

function kindOf(root: unknown, pool: string): string | undefined {
  return textAt(root, ["pools", pool, "kind"]);
}
