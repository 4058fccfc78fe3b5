/** A core with small settings, for tests of its controllers. */

import { Turn } from "./controller.ts";
import { type Effect, type EffectKind, type EffectOf } from "./effects.ts";
import { EventKind } from "./events.ts";
import { seededRandomness } from "./randomness.ts";
import { SchedulerCore } from "./scheduler_core.ts";

/** Settings of one domain without targets, as operators write them. */
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

/** Local time of the first event of a fake core. */
export const START_MS = 10_000;

const TEST_INCARNATION = 3;
const TEST_SEED = 7;

/**
 * Makes the core of instance `njiro-1` that knows the given peers.
 *
 * @param peerIds Instances of the same domain.
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
    random: seededRandomness(TEST_SEED),
  });
  core.handle({ kind: EventKind.Tick, nowMs: START_MS });
  return core;
}

/**
 * Makes a turn on a core's blackboard, for functions that take one.
 *
 * @param core The core.
 * @param nowMs The local time.
 * @returns The turn.
 */
export function createTurn(core: SchedulerCore, nowMs = START_MS): Turn {
  const random = seededRandomness(TEST_SEED);
  return new Turn(core.board, { nowMs, random });
}

/**
 * Picks the effects of one kind.
 *
 * @param effects Effects of any kind.
 * @param kind The kind wanted.
 * @returns Those of that kind, in order.
 */
export function effectsOf<K extends EffectKind>(
  effects: readonly Effect[],
  kind: K,
): EffectOf<K>[] {
  return effects.filter((effect): effect is EffectOf<K> =>
    effect.kind === kind
  );
}
