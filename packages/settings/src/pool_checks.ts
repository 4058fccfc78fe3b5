/** Checks that pools have targets and that the fields of both fit the kind. */

import { TargetKind } from "@chestnuthatch/wire/shared_types";
import { faultAt, type LocatedFault } from "./located_fault.ts";
import {
  isMap,
  namesAt,
  numberAt,
  stringAt,
  type TreePath,
  valueAt,
} from "./unchecked_tree.ts";
import { describeValue, SettingsFaultKind } from "./settings_fault.ts";

/** Target fields that engines require and services must not set. */
const ENGINE_ONLY_FIELDS = [
  "kvTokens",
  "prefillTokensPerSecond",
  "decodeTokensPerSecond",
];

/**
 * Checks every pool, and the fields of every target against its pool's kind.
 *
 * @param root Root of the parsed tree.
 * @returns All faults found.
 */
export function poolFaults(root: unknown): LocatedFault[] {
  const pools = namesAt(root, ["pools"]).flatMap((pool) => [
    ...emptyPoolFaults(root, pool),
    ...incompleteEnginePoolFaults(root, pool),
    ...oversizedContextFaults(root, pool),
  ]);
  return [...pools, ...targetKindFaults(root)];
}

function emptyPoolFaults(root: unknown, pool: string): LocatedFault[] {
  const targets = valueAt(root, ["targets"]) ?? {};
  if (!isMap(targets) || targetsInPool(root, pool).length > 0) return [];
  return [faultAt(["pools", pool], {
    kind: SettingsFaultKind.Missing,
    found: "no target in this pool",
    allowed: "at least one target whose pool is this one",
    message: "the pool has no targets",
  })];
}

function incompleteEnginePoolFaults(
  root: unknown,
  pool: string,
): LocatedFault[] {
  if (poolKind(root, pool) !== TargetKind.Engine) return [];
  const model = valueAt(root, ["pools", pool, "model"]) ?? "";
  const contextTokens = valueAt(root, ["pools", pool, "contextTokens"]) ?? 0;
  const faults: LocatedFault[] = [];
  if (model === "") {
    faults.push(
      missingForEngineFault(["pools", pool, "model"], "a model's name"),
    );
  }
  if (contextTokens === 0) {
    faults.push(
      missingForEngineFault(
        ["pools", pool, "contextTokens"],
        "a number above 0",
      ),
    );
  }
  return faults;
}

function oversizedContextFaults(root: unknown, pool: string): LocatedFault[] {
  if (poolKind(root, pool) !== TargetKind.Engine) return [];
  const steps = ["pools", pool, "contextTokens"];
  const contextTokens = numberAt(root, steps) ?? 0;
  const kvTokens = targetsInPool(root, pool)
    .map((target) => numberAt(root, ["targets", target, "kvTokens"]) ?? 0);
  const maxKvTokens = Math.max(0, ...kvTokens);
  if (maxKvTokens === 0 || contextTokens <= maxKvTokens) return [];
  return [faultAt(steps, {
    kind: SettingsFaultKind.Conflict,
    found: String(contextTokens),
    allowed: `at most ${maxKvTokens}, the largest kvTokens in the pool`,
    message: "no target of the pool can hold a request of this size",
  })];
}

function targetKindFaults(root: unknown): LocatedFault[] {
  return namesAt(root, ["targets"]).flatMap((target) => {
    const pool = stringAt(root, ["targets", target, "pool"]);
    const kind = pool === undefined ? undefined : poolKind(root, pool);
    if (kind === TargetKind.Engine) return engineTargetFaults(root, target);
    if (kind === TargetKind.Service) return serviceTargetFaults(root, target);
    return [];
  });
}

function engineTargetFaults(root: unknown, target: string): LocatedFault[] {
  return ENGINE_ONLY_FIELDS
    .map((field) => ["targets", target, field])
    .filter((steps) => (valueAt(root, steps) ?? 0) === 0)
    .map((steps) => missingForEngineFault(steps, "a number above 0"));
}

function serviceTargetFaults(root: unknown, target: string): LocatedFault[] {
  return ENGINE_ONLY_FIELDS
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

function missingForEngineFault(steps: TreePath, allowed: string): LocatedFault {
  return faultAt(steps, {
    kind: SettingsFaultKind.Missing,
    found: "nothing",
    allowed,
    message: "missing for an engine",
  });
}

function targetsInPool(root: unknown, pool: string): string[] {
  return namesAt(root, ["targets"])
    .filter((target) => stringAt(root, ["targets", target, "pool"]) === pool);
}

function poolKind(root: unknown, pool: string): string | undefined {
  return stringAt(root, ["pools", pool, "kind"]);
}
