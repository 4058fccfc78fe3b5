/**
 * The coordinator of shards: keeps their waiting asks and the account of
 * their targets, grants, sheds, and reconciles with holders and targets.
 */

import {
  type PeerMessage,
  PeerMessageKind,
  type PeerMessageOf,
} from "@chestnuthatch/wire/peer_messages";
import { CacheEventKind } from "@chestnuthatch/wire/target_protocol";
import { TargetKind } from "@chestnuthatch/wire/shared_types";
import { onAsk } from "./ask_intake.ts";
import { type GrantAccount, type Shard, shardKey } from "./blackboard.ts";
import type { Controller, EventHandlers, Turn } from "./controller.ts";
import {
  type CoordinatorOptions,
  DEFAULT_COORDINATOR_OPTIONS,
} from "./coordinator_options.ts";
import { rankCoordinators } from "./coordinators.ts";
import { EventKind, type EventOf } from "./events.ts";
import { pruneShares } from "./fair_share.ts";
import {
  cancelGrant,
  closeAsk,
  closeGrant,
  prefixIndexOf,
} from "./grant_account.ts";
import { dropGone, hearHolder, type HolderWord } from "./holder_presence.ts";
import { reconcileReport } from "./holder_reconcile.ts";
import { reconcileOrphans } from "./orphaned_work.ts";
import { placeWaiting } from "./placement.ts";
import { newShard } from "./shard_queue.ts";
import { ShardView } from "./shard_view.ts";
import { shedOverload } from "./shedding.ts";
import { shedBelow } from "./urgent_asks.ts";

/** An empty shard is kept this long after its last ask or report. */
const IDLE_SHARD_MS = 30_000;

type MessageEvent = EventOf<EventKind.PeerMessageReceived>;

/** Handles the messages of one kind about a shard that is served here. */
type MessageHandlers = {
  readonly [K in PeerMessageKind]?: (
    view: ShardView,
    message: PeerMessageOf<K>,
    from: HolderWord,
  ) => void;
};

/** Writes the shards section. */
export class CoordinatorController implements Controller {
  readonly name = "coordinator";
  readonly handlers: EventHandlers = {
    [EventKind.PeerMessageReceived]: (event, turn) =>
      this.#onMessage(event, turn),
    [EventKind.LoadReported]: (event, turn) => this.#onLoad(event, turn),
    [EventKind.CacheEventsRead]: (event, turn) =>
      this.#onCacheEvents(event, turn),
    [EventKind.Tick]: (_event, turn) => this.#onTick(turn),
  };
  readonly #options: CoordinatorOptions;

  /** @param options Switches for measurements. */
  constructor(options: CoordinatorOptions = DEFAULT_COORDINATOR_OPTIONS) {
    this.#options = options;
  }

  #onMessage(event: MessageEvent, turn: Turn): void {
    const { message } = event;
    const handler = MESSAGE_HANDLERS[message.kind] as
      | ((view: ShardView, message: PeerMessage, from: HolderWord) => void)
      | undefined;
    const place = placeOf(message);
    if (handler === undefined || place === undefined) {
      return;
    }
    const from = holderWordOf(event);
    hearInAllShards(turn, from);
    const shard = shardFor(turn, message, place);
    const view = shard && this.#viewOf(shard, turn);
    if (view !== undefined) {
      handler(view, message, from);
      shard!.lastActiveMs = turn.nowMs;
    }
  }

  #onLoad({ load }: EventOf<EventKind.LoadReported>, turn: Turn): void {
    const target = turn.board.settings.inForce?.targets.get(load.targetId);
    const shard = target &&
      turn.board.shards.byKey.get(shardKey(target.pool, target.failureDomain));
    const view = shard && this.#viewOf(shard, turn);
    if (view !== undefined) {
      reconcileOrphans(view, load);
      placeWaiting(view);
    }
  }

  #onCacheEvents(
    { targetId, answer }: EventOf<EventKind.CacheEventsRead>,
    turn: Turn,
  ): void {
    for (const shard of turn.board.shards.byKey.values()) {
      const index = shard.prefixes.get(targetId);
      for (const { kind, blockHash } of answer.events) {
        if (kind === CacheEventKind.Stored) {
          index?.store([blockHash]);
        } else {
          index?.evict(blockHash);
        }
      }
    }
  }

  #onTick(turn: Turn): void {
    for (const [key, shard] of [...turn.board.shards.byKey]) {
      const view = this.#viewOf(shard, turn);
      if (view === undefined) {
        continue;
      }
      dropGone(view);
      placeWaiting(view);
      shedOverload(this.#viewOf(shard, turn)!);
      pruneShares(shard);
      if (isIdle(shard, key, turn)) {
        turn.board.shards.byKey.delete(key);
      }
    }
  }

  #viewOf(shard: Shard, turn: Turn): ShardView | undefined {
    const settings = turn.board.settings.inForce;
    if (settings === undefined) {
      return undefined;
    }
    const view = new ShardView(shard, settings, turn);
    if (this.#options.affinity && view.kind === TargetKind.Engine) {
      view.rooms.forEach((room) => prefixIndexOf(shard, room.targetId));
    }
    return view;
  }
}

const MESSAGE_HANDLERS: MessageHandlers = {
  [PeerMessageKind.Ask]: (view, message, from) =>
    onAsk(view, message.ask, from),
  [PeerMessageKind.AskWithdrawn]: onAskWithdrawn,
  [PeerMessageKind.GrantUsed]: onGrantUsed,
  [PeerMessageKind.GrantReturned]: onGrantReturned,
  [PeerMessageKind.PromptRead]: onPromptRead,
  [PeerMessageKind.WorkDone]: onWorkDone,
  [PeerMessageKind.ShedBelow]: (view, { tierRank }) =>
    shedBelow(view, tierRank),
  [PeerMessageKind.HolderReport]: (view, message, from) => {
    reconcileReport(view, message, from);
    placeWaiting(new ShardView(view.shard, view.settings, view.turn));
  },
};

function onAskWithdrawn(
  view: ShardView,
  { requestId }: PeerMessageOf<PeerMessageKind.AskWithdrawn>,
  from: HolderWord,
): void {
  const ask = view.shard.waiting.get(requestId);
  if (ask?.holderId === from.holderId) {
    closeAsk(view, ask);
  }
}

function onGrantUsed(
  view: ShardView,
  { grantId }: PeerMessageOf<PeerMessageKind.GrantUsed>,
): void {
  const grant = view.shard.grants.get(grantId);
  if (grant !== undefined && !grant.used) {
    grant.used = true;
    grant.usedAtMs = view.nowMs;
  }
}

function onGrantReturned(
  view: ShardView,
  { grantId }: PeerMessageOf<PeerMessageKind.GrantReturned>,
): void {
  const grant = view.shard.grants.get(grantId);
  if (grant !== undefined) {
    cancelGrant(view, grant);
    placeWaiting(new ShardView(view.shard, view.settings, view.turn));
  }
}

function onPromptRead(
  view: ShardView,
  { grantId }: PeerMessageOf<PeerMessageKind.PromptRead>,
): void {
  const { shard, nowMs } = view;
  const grant = shard.grants.get(grantId);
  if (grant === undefined || grant.promptRead) {
    return;
  }
  grant.promptRead = true;
  markEarlierPromptsRead(shard, grant);
  shard.lastReadAtMs.set(grant.work.targetId, nowMs);
  placeWaiting(view);
}

/**
 * Engines read prompts in the order they came, so earlier ones were read too.
 * Their own word may be lost, or their holder gone.
 */
function markEarlierPromptsRead(shard: Shard, read: GrantAccount): void {
  for (const grant of shard.grants.values()) {
    if (
      grant.work.targetId === read.work.targetId &&
      grant.usedAtMs < read.usedAtMs
    ) {
      grant.promptRead = true;
    }
  }
}

function onWorkDone(
  view: ShardView,
  message: PeerMessageOf<PeerMessageKind.WorkDone>,
): void {
  const { shard, nowMs } = view;
  const grant = shard.grants.get(message.grantId);
  if (grant === undefined) {
    return;
  }
  const { failed, promptTokens, cachedTokens, blockHashes } = message;
  const kvTokens = failed ? 0 : Math.max(0, promptTokens - cachedTokens);
  closeGrant(shard, grant, { nowMs, kvTokens });
  if (!failed) {
    shard.prefixes.get(message.targetId)?.store(blockHashes);
  }
  placeWaiting(new ShardView(shard, view.settings, view.turn));
}

function holderWordOf(event: MessageEvent): HolderWord {
  const { message } = event;
  return {
    holderId: event.fromId,
    incarnation: event.fromIncarnation,
    beat: "holderBeat" in message ? message.holderBeat : undefined,
  };
}

/** A beat heard about one shard makes grants of all the others fresher too. */
function hearInAllShards(turn: Turn, word: HolderWord): void {
  for (const shard of turn.board.shards.byKey.values()) {
    if (shard.holders.has(word.holderId)) {
      hearHolder(shard, word, turn.nowMs);
    }
  }
}

function placeOf(
  message: PeerMessage,
): { pool: string; failureDomain: string } | undefined {
  if (message.kind === PeerMessageKind.Ask) {
    return {
      pool: message.ask.pool,
      failureDomain: message.failureDomain,
    };
  }
  return "pool" in message && "failureDomain" in message ? message : undefined;
}

/** The shard a message is about; begun by asks and by reports of work. */
function shardFor(
  turn: Turn,
  message: PeerMessage,
  place: { pool: string; failureDomain: string },
): Shard | undefined {
  const { byKey } = turn.board.shards;
  const key = shardKey(place.pool, place.failureDomain);
  const known = byKey.get(key);
  const begins = message.kind === PeerMessageKind.Ask ||
    (message.kind === PeerMessageKind.HolderReport &&
      message.running.length + message.waitingRequestIds.length > 0);
  if (known !== undefined || !begins) {
    return known;
  }
  const shard = newShard(place.pool, place.failureDomain, turn.nowMs);
  byKey.set(key, shard);
  return shard;
}

function isIdle(shard: Shard, key: string, turn: Turn): boolean {
  const isEmpty = shard.waiting.size === 0 && shard.grants.size === 0;
  if (!isEmpty || turn.nowMs - shard.lastActiveMs < IDLE_SHARD_MS) {
    return false;
  }
  const [rightful] = rankCoordinators(
    turn.board,
    { key, failureDomain: shard.failureDomain },
    turn.nowMs,
  );
  return rightful?.instanceId !== turn.board.self.instanceId;
}
