/** Test support: a scheduler core with few settings and a manual clock. */

import { Turn } from "./controller.ts";
import { type Effect, type EffectKind, type EffectOf } from "./effects.ts";
import { EventKind } from "./events.ts";
import { seededRandomSource } from "./random_source.ts";
import { SchedulerCore } from "./scheduler_core.ts";

/** Settings of one region with one target, as operators write them. */
export const TEST_SETTINGS = `
regions:
  arusha: { failureDomains: [njiro-hall, sakina-hall] }
tiers:
  fault-notes: { rank: 0 }
workspaces:
  shamba-safi: {}
pools:
  kazi-desk: { kind: service }
targets:
  kazi-1:
    pool: kazi-desk
    failureDomain: njiro-hall
    address: 127.0.1.20:8000
    slots: 8
`;

/** Local time in milliseconds of a test core's first event. */
export const START_MS = 10_000;

const TEST_INCARNATION = 3;
const TEST_SEED = 7;

/**
 * Creates the core of instance `njiro-1` with the given seed peers.
 *
 * @param peerIds Ids of seed peers, all in the core's own failure domain.
 * @returns The core, after its first tick.
 */
export function createTestCore(peerIds: readonly string[] = []): SchedulerCore {
  const core = new SchedulerCore({
    instanceId: "njiro-1",
    incarnation: TEST_INCARNATION,
    failureDomain: "njiro-hall",
    region: "arusha",
    seedPeers: peerIds.map((instanceId) => ({
      instanceId,
      failureDomain: "njiro-hall",
      address: `${instanceId}:7000`,
    })),
    random: seededRandomSource(TEST_SEED),
  });
  core.handle({ kind: EventKind.Tick, nowMs: START_MS });
  return core;
}

/**
 * Creates a turn on a core's blackboard, for functions that need one.
 *
 * @param core The core.
 * @param nowMs The local time in milliseconds, by default {@link START_MS}.
 * @returns The turn.
 */
export function createTurn(core: SchedulerCore, nowMs = START_MS): Turn {
  const random = seededRandomSource(TEST_SEED);
  return new Turn(core.board, { nowMs, random });
}

/**
 * Filters effects by kind.
 *
 * @param effects Effects of any kind.
 * @param kind The kind wanted.
 * @returns The effects of that kind, in order.
 */
export function effectsOf<K extends EffectKind>(
  effects: readonly Effect[],
  kind: K,
): EffectOf<K>[] {
  return effects.filter((effect): effect is EffectOf<K> =>
    effect.kind === kind
  );
}
