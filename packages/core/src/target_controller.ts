/** Keeps what this instance knows of targets: load, health, leaving, speed. */

import type {
  SettingsInForce,
  TargetSettings,
} from "@chestnuthatch/settings/settings_types";
import {
  type PeerMessage,
  PeerMessageKind,
  type PeerMessageOf,
} from "@chestnuthatch/wire/peer_messages";
import { ListedKind } from "@chestnuthatch/wire/platform_protocol";
import type { TargetLoad } from "@chestnuthatch/wire/shared_types";
import {
  type Shard,
  shardKey,
  type Target,
  TargetHealth,
} from "./blackboard.ts";
import type { Controller, EventHandlers, Turn } from "./controller.ts";
import {
  type CoordinatorOptions,
  DEFAULT_COORDINATOR_OPTIONS,
} from "./coordinator_options.ts";
import { EventKind, type EventOf } from "./events.ts";
import { learnFrom } from "./learned_rates.ts";
import { watchPace } from "./pace_watch.ts";
import { suspend, takeLoad } from "./target_health.ts";
import { pollNewShard, pollTargets } from "./target_polls.ts";
import { forwardSigns, heedList, heedSign, tellSigns } from "./target_signs.ts";
import { priorRates } from "./work_cost.ts";

/** Polls that fail in a row before a target counts as unreachable. */
const MAX_FAILED_POLLS = 3;

type MessageHandlers = {
  readonly [K in PeerMessageKind]?: (
    message: PeerMessageOf<K>,
    turn: Turn,
    fromId: string,
  ) => void;
};

/** Writes the targets section. */
export class TargetController implements Controller {
  readonly name = "target";
  readonly handlers: EventHandlers = {
    [EventKind.Tick]: (_event, turn) => this.#onTick(turn),
    [EventKind.PeerMessageReceived]: (event, turn) =>
      this.#onMessage(event, turn),
    [EventKind.PeerConnected]: ({ peerId }, turn) => tellSigns(turn, peerId),
    [EventKind.LoadReported]: ({ load }, turn) => this.#onLoad(load, turn),
    [EventKind.LoadReportFailed]: onLoadFailed,
    [EventKind.CacheEventsRead]: onCacheEvents,
    [EventKind.InstanceListRead]: (event, turn) => this.#onList(event, turn),
  };
  readonly #options: CoordinatorOptions;
  #knownSettings: SettingsInForce | undefined;

  /** @param options Switches for measurements. */
  constructor(options: CoordinatorOptions = DEFAULT_COORDINATOR_OPTIONS) {
    this.#options = options;
  }

  #onTick(turn: Turn): void {
    this.#takeSettings(turn);
    watchPace(turn);
    pollTargets(turn, this.#options.affinity);
  }

  #onMessage(
    { message, fromId }: EventOf<EventKind.PeerMessageReceived>,
    turn: Turn,
  ): void {
    this.#takeSettings(turn);
    const handler = MESSAGE_HANDLERS[message.kind] as
      | ((message: PeerMessage, turn: Turn, fromId: string) => void)
      | undefined;
    handler?.(message, turn, fromId);
  }

  #onLoad(load: TargetLoad, turn: Turn): void {
    this.#takeSettings(turn);
    const target = turn.board.targets.byId.get(load.targetId);
    if (target !== undefined) {
      target.pollPending = false;
      target.failedPolls = 0;
      takeLoad(turn, target, load);
    }
  }

  #onList({ list }: EventOf<EventKind.InstanceListRead>, turn: Turn): void {
    this.#takeSettings(turn);
    for (const { id, kind, leaving } of list.instances) {
      const target = turn.board.targets.byId.get(id);
      if (kind === ListedKind.Target && target !== undefined) {
        heedList(turn, target, leaving);
      }
    }
  }

  /** Makes entries for the targets that the settings name, and no others. */
  #takeSettings(turn: Turn): void {
    const { settings, targets } = turn.board;
    const { inForce } = settings;
    if (inForce === undefined || inForce === this.#knownSettings) {
      return;
    }
    this.#knownSettings = inForce;
    for (const targetId of [...targets.byId.keys()]) {
      if (!inForce.targets.has(targetId)) {
        targets.byId.delete(targetId);
      }
    }
    for (const each of inForce.targets.values()) {
      if (!targets.byId.has(each.id)) {
        targets.byId.set(each.id, newTarget(each));
      }
    }
  }
}

/**
 * Makes the entry of a target of which nothing was heard yet.
 *
 * @param settings The target as the operators describe it.
 * @returns The entry.
 */
export function newTarget(settings: TargetSettings): Target {
  return {
    targetId: settings.id,
    health: TargetHealth.Healthy,
    leaving: false,
    signNumber: 0,
    loadAsOfMs: -Infinity,
    lastPollAtMs: -Infinity,
    pollPending: false,
    failedPolls: 0,
    unreachableSinceMs: 0,
    rates: priorRates(settings),
    cacheSequence: 0,
  };
}

const MESSAGE_HANDLERS: MessageHandlers = {
  [PeerMessageKind.Ask]: ({ ask, failureDomain }, turn) =>
    pollNewShard(turn, { pool: ask.pool, failureDomain }),
  [PeerMessageKind.HolderReport]: (message, turn) =>
    message.running.length > 0 && pollNewShard(turn, message),
  [PeerMessageKind.GrantReturned]: onGrantReturned,
  [PeerMessageKind.WorkDone]: onWorkDone,
  [PeerMessageKind.TargetsHeard]: onTargetsHeard,
};

function onLoadFailed(
  { targetId }: EventOf<EventKind.LoadReportFailed>,
  turn: Turn,
): void {
  const target = turn.board.targets.byId.get(targetId);
  if (target === undefined) {
    return;
  }
  target.pollPending = false;
  target.failedPolls += 1;
  if (target.failedPolls >= MAX_FAILED_POLLS) {
    suspend(turn, target, `${target.failedPolls} polls failed in a row`);
  }
}

function onCacheEvents(
  { targetId, answer }: EventOf<EventKind.CacheEventsRead>,
  turn: Turn,
): void {
  const target = turn.board.targets.byId.get(targetId);
  if (target !== undefined) {
    target.cacheSequence = answer.lastSequence;
  }
}

function onGrantReturned(
  message: PeerMessageOf<PeerMessageKind.GrantReturned>,
  turn: Turn,
): void {
  const grant = shardOf(turn, message)?.grants.get(message.grantId);
  const target = grant && turn.board.targets.byId.get(grant.work.targetId);
  if (message.targetUnreachable && target !== undefined) {
    suspend(turn, target, "it refused a connection");
  }
}

function onWorkDone(
  message: PeerMessageOf<PeerMessageKind.WorkDone>,
  turn: Turn,
): void {
  const inForce = turn.board.settings.inForce;
  const settings = inForce?.targets.get(message.targetId);
  const target = turn.board.targets.byId.get(message.targetId);
  const pool = settings && inForce?.pools.get(settings.pool);
  if (target !== undefined && pool !== undefined) {
    learnFrom(target, message, {
      settings: settings!,
      kind: pool.kind,
      grant: shardOf(turn, message)?.grants.get(message.grantId),
      prefillGrantedMs: shardOf(turn, message)?.prefillGrantedMs
        .get(message.targetId) ?? 0,
    });
  }
}

function onTargetsHeard(
  message: PeerMessageOf<PeerMessageKind.TargetsHeard>,
  turn: Turn,
  fromId: string,
): void {
  const { byId } = turn.board.targets;
  const news = message.signs.filter((sign) => {
    const target = byId.get(sign.targetId);
    return target !== undefined && heedSign(turn, target, sign);
  });
  if (news.length > 0) {
    forwardSigns(turn, news, fromId);
  }
  for (const load of message.loads) {
    const target = byId.get(load.targetId);
    if (target !== undefined) {
      takeLoad(turn, target, load);
    }
  }
}

function shardOf(
  turn: Turn,
  message: { pool: string; failureDomain: string },
): Shard | undefined {
  const key = shardKey(message.pool, message.failureDomain);
  return turn.board.shards.byKey.get(key);
}
