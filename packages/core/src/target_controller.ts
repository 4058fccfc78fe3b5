/** Target controller: maintains the load, health and speed of each target. */

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
import { updateRates } from "./learned_rates.ts";
import { adjustSlotShares } from "./slot_shares.ts";
import { applyLoad, markUnreachable } from "./target_health.ts";
import { pollNewShard, pollTargets } from "./target_polls.ts";
import {
  applyListedLeaving,
  applySign,
  forwardSigns,
  sendAllSigns,
} from "./target_signs.ts";
import { priorRates } from "./service_prediction.ts";

/** Consecutive failed polls after which a target counts as unreachable. */
const MAX_FAILED_POLLS = 3;

type MessageHandlers = {
  readonly [K in PeerMessageKind]?: (
    message: PeerMessageOf<K>,
    turn: Turn,
    fromId: string,
  ) => void;
};

/**
 * Maintains the targets section of the blackboard from load reports, peer
 * messages and the platform's instance list.
 */
export class TargetController implements Controller {
  readonly name = "target";
  readonly handlers: EventHandlers = {
    [EventKind.Tick]: (_event, turn) => this.#onTick(turn),
    [EventKind.PeerMessageReceived]: (event, turn) =>
      this.#onMessage(event, turn),
    [EventKind.PeerConnected]: ({ peerId }, turn) => sendAllSigns(turn, peerId),
    [EventKind.LoadReported]: ({ load }, turn) => this.#onLoad(load, turn),
    [EventKind.LoadReportFailed]: onLoadFailed,
    [EventKind.CacheEventsRead]: onCacheEvents,
    [EventKind.InstanceListRead]: (event, turn) =>
      this.#onInstanceList(event, turn),
  };
  readonly #options: CoordinatorOptions;
  #syncedSettings: SettingsInForce | undefined;

  /** @param options Features of placement that measurements can disable. */
  constructor(options: CoordinatorOptions = DEFAULT_COORDINATOR_OPTIONS) {
    this.#options = options;
  }

  #onTick(turn: Turn): void {
    this.#syncTargets(turn);
    adjustSlotShares(turn);
    pollTargets(turn, this.#options.affinity);
  }

  #onMessage(
    { message, fromId }: EventOf<EventKind.PeerMessageReceived>,
    turn: Turn,
  ): void {
    this.#syncTargets(turn);
    const handler = MESSAGE_HANDLERS[message.kind] as
      | ((message: PeerMessage, turn: Turn, fromId: string) => void)
      | undefined;
    handler?.(message, turn, fromId);
  }

  #onLoad(load: TargetLoad, turn: Turn): void {
    this.#syncTargets(turn);
    const target = turn.board.targets.byId.get(load.targetId);
    if (target !== undefined) {
      target.isPollInFlight = false;
      target.failedPolls = 0;
      applyLoad(turn, target, load);
    }
  }

  #onInstanceList(
    { list }: EventOf<EventKind.InstanceListRead>,
    turn: Turn,
  ): void {
    this.#syncTargets(turn);
    for (const { id, kind, leaving } of list.instances) {
      const target = turn.board.targets.byId.get(id);
      if (kind === ListedKind.Target && target !== undefined) {
        applyListedLeaving(turn, target, leaving);
      }
    }
  }

  /** Adds and removes entries to match the targets of the settings in force. */
  #syncTargets(turn: Turn): void {
    const { settings, targets } = turn.board;
    const { inForce } = settings;
    if (inForce === undefined || inForce === this.#syncedSettings) {
      return;
    }
    this.#syncedSettings = inForce;
    for (const targetId of [...targets.byId.keys()]) {
      if (!inForce.targets.has(targetId)) {
        targets.byId.delete(targetId);
      }
    }
    for (const targetSettings of inForce.targets.values()) {
      if (!targets.byId.has(targetSettings.id)) {
        targets.byId.set(targetSettings.id, createTarget(targetSettings));
      }
    }
  }
}

/**
 * Creates the entry of a target that has not reported its load yet.
 *
 * @param settings The target's settings.
 * @returns The entry: healthy, with rates estimated from its settings.
 */
export function createTarget(settings: TargetSettings): Target {
  return {
    targetId: settings.id,
    health: TargetHealth.Healthy,
    leaving: false,
    signNumber: 0,
    loadAsOfMs: -Infinity,
    lastPollAtMs: -Infinity,
    isPollInFlight: false,
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
  [PeerMessageKind.TargetsHeard]: onTargetUpdates,
};

function onLoadFailed(
  { targetId }: EventOf<EventKind.LoadReportFailed>,
  turn: Turn,
): void {
  const target = turn.board.targets.byId.get(targetId);
  if (target === undefined) {
    return;
  }
  target.isPollInFlight = false;
  target.failedPolls += 1;
  if (target.failedPolls >= MAX_FAILED_POLLS) {
    markUnreachable(
      turn,
      target,
      `${target.failedPolls} polls failed in a row`,
    );
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
    markUnreachable(turn, target, "it refused a connection");
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
    updateRates(target, message, {
      settings: settings!,
      kind: pool.kind,
      grant: shardOf(turn, message)?.grants.get(message.grantId),
      prefillGrantedMs: shardOf(turn, message)?.cumulativePrefillMs
        .get(message.targetId) ?? 0,
    });
  }
}

function onTargetUpdates(
  message: PeerMessageOf<PeerMessageKind.TargetsHeard>,
  turn: Turn,
  fromId: string,
): void {
  const { byId } = turn.board.targets;
  const newSigns = message.signs.filter((sign) => {
    const target = byId.get(sign.targetId);
    return target !== undefined && applySign(turn, target, sign);
  });
  if (newSigns.length > 0) {
    forwardSigns(turn, newSigns, fromId);
  }
  for (const load of message.loads) {
    const target = byId.get(load.targetId);
    if (target !== undefined) {
      applyLoad(turn, target, load);
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
