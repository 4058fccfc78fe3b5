/** Which targets this instance polls, and when. */

import type {
  SettingsInForce,
  TargetSettings,
} from "@chestnuthatch/settings/settings_types";
import { TargetKind } from "@chestnuthatch/wire/shared_types";
import { shardKey, type Target } from "./blackboard.ts";
import type { Turn } from "./controller.ts";
import { rankCoordinators } from "./coordinators.ts";
import { EffectKind } from "./effects.ts";
import { shardsOf } from "./settings_index.ts";

/** How often the cache events of an engine are read. */
const CACHE_POLL_MS = 3000;

/** A poll not answered for this many intervals counts as lost. */
const LOST_AFTER_INTERVALS = 4;

/**
 * Polls the targets whose turn it is, of all shards served here.
 *
 * @param turn The turn of a tick.
 * @param affinity Whether cache events are wanted too.
 */
export function pollTargets(turn: Turn, affinity: boolean): void {
  const settings = turn.board.settings.inForce;
  if (settings === undefined) {
    return;
  }
  for (const key of servedShards(turn, settings)) {
    const shard = shardsOf(settings).get(key);
    const kind = settings.pools.get(shard?.pool ?? "")?.kind;
    const wantsCache = affinity && kind === TargetKind.Engine;
    for (const targetSettings of shard?.targets ?? []) {
      pollWhenDue(turn, targetSettings, wantsCache);
    }
  }
}

function pollWhenDue(
  turn: Turn,
  settings: TargetSettings,
  wantsCache: boolean,
): void {
  const target = turn.board.targets.byId.get(settings.id);
  if (target === undefined) {
    return;
  }
  pollLoadWhenDue(turn, target, settings);
  if (wantsCache) {
    pollCacheWhenDue(turn, target, settings);
  }
}

/**
 * Polls at once the targets of a shard that were never polled.
 *
 * @param turn The turn.
 * @param shard The shard's pool and failure domain.
 */
export function pollNewShard(
  turn: Turn,
  shard: { pool: string; failureDomain: string },
): void {
  const settings = turn.board.settings.inForce;
  const key = shardKey(shard.pool, shard.failureDomain);
  const targets = settings && shardsOf(settings).get(key)?.targets;
  for (const targetSettings of targets ?? []) {
    const target = turn.board.targets.byId.get(targetSettings.id);
    if (target !== undefined && target.lastPollAtMs === -Infinity) {
      pollLoad(turn, target, targetSettings);
    }
  }
}

function pollLoadWhenDue(
  turn: Turn,
  target: Target,
  settings: TargetSettings,
): void {
  const { loadPollMs } = turn.board.settings.inForce!.timing;
  const sinceMs = turn.nowMs - target.lastPollAtMs;
  const isLost = sinceMs >= loadPollMs * LOST_AFTER_INTERVALS;
  if (sinceMs >= loadPollMs && (!target.pollPending || isLost)) {
    pollLoad(turn, target, settings);
  }
}

function pollLoad(turn: Turn, target: Target, settings: TargetSettings): void {
  target.lastPollAtMs = turn.nowMs;
  target.pollPending = true;
  turn.emit({
    kind: EffectKind.PollLoad,
    targetId: target.targetId,
    address: settings.address,
  });
}

function pollCacheWhenDue(
  turn: Turn,
  target: Target,
  settings: TargetSettings,
): void {
  if (turn.nowMs - (target.lastCachePollAtMs ?? -Infinity) < CACHE_POLL_MS) {
    return;
  }
  target.lastCachePollAtMs = turn.nowMs;
  turn.emit({
    kind: EffectKind.PollCacheEvents,
    targetId: target.targetId,
    address: settings.address,
    after: target.cacheSequence,
  });
}

/** Shards that this instance coordinates, or was asked to serve. */
function servedShards(turn: Turn, settings: SettingsInForce): Set<string> {
  return new Set([
    ...turn.board.shards.byKey.keys(),
    ...coordinatedShards(turn, settings),
  ]);
}

/** Ranked anew only when the members or the settings have changed. */
function coordinatedShards(
  turn: Turn,
  settings: SettingsInForce,
): readonly string[] {
  const { board, nowMs } = turn;
  const { viewNumber } = board.members;
  const { coordinated } = board.targets;
  if (
    coordinated?.viewNumber === viewNumber &&
    coordinated.settingsVersion === settings.version
  ) {
    return coordinated.shardKeys;
  }
  const shardKeys = [...shardsOf(settings).values()]
    .filter((shard) =>
      rankCoordinators(board, shard, nowMs)[0]?.instanceId ===
        board.self.instanceId
    )
    .map(({ key }) => key);
  board.targets.coordinated = {
    viewNumber,
    settingsVersion: settings.version,
    shardKeys,
  };
  return shardKeys;
}
