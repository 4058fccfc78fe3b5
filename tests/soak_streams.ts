/**
 * Adds versions of the engines beside the faults of a seed, and checks that no
 * stream has events of two of them.
 */

import { setTimeout as pause } from "node:timers/promises";
import { ENGINE_POOL } from "@chestnuthatch/platform/standin_fleet";
import type { CallRecord } from "./soak_callers.ts";
import type { BrokenPromise } from "./soak_checks.ts";
import type { SoakFleet } from "./soak_fleet.ts";
import type { PlannedVersion } from "./soak_stream_plan.ts";

/** Version that an event of a stand-in target names. */
const EVENT_VERSION = / at (v\d+)$/gm;
const STATUS_OK = 200;

/**
 * Starts targets of a version beside the others, without an order for it, and
 * lets some of those before it leave.
 *
 * @param fleet Fleet whose engines get the version.
 * @param version The version, and its time.
 * @returns Settles once the targets are listed, and others leave.
 */
export async function addVersion(
  fleet: SoakFleet,
  { name, atMs, targets, leaving }: PlannedVersion,
): Promise<void> {
  await pause(atMs);
  const before = fleet.targets.filter(({ pool }) => pool === ENGINE_POOL);
  await fleet.startVersion(ENGINE_POOL, name, targets);
  before.slice(0, leaving).forEach((target) => fleet.markLeaving(target));
}

/**
 * Checks the streams of a seed, over their callers' attempts.
 *
 * @param records All calls.
 * @returns Streams with events of several versions.
 */
export function findMixedStreams(
  records: readonly CallRecord[],
): BrokenPromise[] {
  const bodies = new Map<CallRecord, string>();
  for (const record of records) {
    const first = record.takesUp?.first ?? record;
    const body = record.result?.body ?? "";
    bodies.set(first, `${bodies.get(first) ?? ""}${body}`);
  }
  return [...bodies].flatMap(([{ requestId, instance }, body]) => {
    const versions = new Set(
      [...body.matchAll(EVENT_VERSION)].map(([, version]) => version),
    );
    return versions.size <= 1 ? [] : [{
      promise: "a stream keeps to the version that began it",
      requestId,
      instanceId: instance.id,
      detail: `has events of ${[...versions].join()}`,
    }];
  });
}

/**
 * Counts the streams that callers took up.
 *
 * @param records All calls.
 * @returns Attempts that took a stream up, and those of them that went on.
 */
export function countTakenUp(
  records: readonly CallRecord[],
): { takenUp: number; wentOn: number } {
  const takenUp = records.filter((record) => record.takesUp !== undefined);
  const wentOn = takenUp.filter(({ result }) => result?.status === STATUS_OK);
  return { takenUp: takenUp.length, wentOn: wentOn.length };
}
