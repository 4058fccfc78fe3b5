/** Schedules polls of load reports and cache events from targets. */

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

/** Interval between reads of an engine's cache events. */
const CACHE_POLL_INTERVAL_MS = 3000;

/** Load poll intervals after which an unanswered poll counts as lost. */
const LOST_POLL_INTERVALS = 4;

/**
 * Polls the targets that are due, in all shards that this instance serves.
 *
 * @param turn The turn of a tick event.
 * @param affinity Whether placement uses prefix caches, so that the cache
 * events of engines are polled too.
 */
export function pollTargets(turn: Turn, affinity: boolean): void {
  const settings = turn.board.settings.inForce;
  if (settings === undefined) {
    return;
  }
  for (const key of servedShardKeys(turn, settings)) {
    const shard = shardsOf(settings).get(key);
    const kind = settings.pools.get(shard?.pool ?? "")?.kind;
    const pollsCacheEvents = affinity && kind === TargetKind.Engine;
    for (const targetSettings of shard?.targets ?? []) {
      pollWhenDue(turn, targetSettings, pollsCacheEvents);
    }
  }
}

function pollWhenDue(
  turn: Turn,
  settings: TargetSettings,
  pollsCacheEvents: boolean,
): void {
  const target = turn.board.targets.byId.get(settings.id);
  if (target === undefined) {
    return;
  }
  pollLoadWhenDue(turn, target, settings);
  if (pollsCacheEvents) {
    pollCacheEventsWhenDue(turn, target, settings);
  }
}

/**
 * Polls immediately those targets of a shard that were never polled.
 *
 * @param turn The current turn.
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
  const elapsedMs = turn.nowMs - target.lastPollAtMs;
  const isLost = elapsedMs >= loadPollMs * LOST_POLL_INTERVALS;
  if (elapsedMs >= loadPollMs && (!target.isPollInFlight || isLost)) {
    pollLoad(turn, target, settings);
  }
}

function pollLoad(turn: Turn, target: Target, settings: TargetSettings): void {
  target.lastPollAtMs = turn.nowMs;
  target.isPollInFlight = true;
  turn.emit({
    kind: EffectKind.PollLoad,
    targetId: target.targetId,
    address: settings.address,
  });
}

function pollCacheEventsWhenDue(
  turn: Turn,
  target: Target,
  settings: TargetSettings,
): void {
  if (
    turn.nowMs - (target.lastCachePollAtMs ?? -Infinity) <
      CACHE_POLL_INTERVAL_MS
  ) {
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

/** Shards that this instance coordinates, or holds asks or grants of. */
function servedShardKeys(turn: Turn, settings: SettingsInForce): Set<string> {
  return new Set([
    ...turn.board.shards.byKey.keys(),
    ...coordinatedShardKeys(turn, settings),
  ]);
}

/** Cached until the member view or the settings version changes. */
function coordinatedShardKeys(
  turn: Turn,
  settings: SettingsInForce,
): readonly string[] {
  const { board, nowMs } = turn;
  const { viewNumber } = board.members;
  const { coordinatedShards: coordinated } = board.targets;
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
  board.targets.coordinatedShards = {
    viewNumber,
    settingsVersion: settings.version,
    shardKeys,
  };
  return shardKeys;
}
