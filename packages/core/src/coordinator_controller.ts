/**
 * The controller of the shards that this instance coordinates. It queues asks,
 * records grants, places and sheds work, and reconciles its records with the
 * reports of holders and targets.
 */

import {
  type PeerMessage,
  PeerMessageKind,
  type PeerMessageOf,
} from "@chestnuthatch/wire/peer_messages";
import { CacheEventKind } from "@chestnuthatch/wire/target_protocol";
import { TargetKind } from "@chestnuthatch/wire/shared_types";
import { handleAsk } from "./ask_intake.ts";
import { type GrantRecord, type Shard, shardKey } from "./blackboard.ts";
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
  ensurePrefixIndex,
} from "./grant_lifecycle.ts";
import {
  dropStaleHolderState,
  type HolderSender,
  recordHolder,
} from "./holder_presence.ts";
import { reconcileReport } from "./holder_reconcile.ts";
import { reconcileOrphans } from "./orphaned_work.ts";
import { placeWaiting } from "./placement.ts";
import { createShard } from "./shard_queue.ts";
import { ShardView } from "./shard_view.ts";
import { shedOverload } from "./shedding.ts";
import { shedBelow } from "./urgent_asks.ts";

/**
 * Time after its last ask or report at which an empty shard is deleted, unless
 * this instance is still its coordinator.
 */
const IDLE_SHARD_TTL_MS = 30_000;

type PeerMessageEvent = EventOf<EventKind.PeerMessageReceived>;

/** Handlers of peer messages that concern one shard, by kind of message. */
type MessageHandlers = {
  readonly [K in PeerMessageKind]?: (
    view: ShardView,
    message: PeerMessageOf<K>,
    sender: HolderSender,
  ) => void;
};

/**
 * Schedules the work of the shards that this instance coordinates. It is the
 * only writer of the `shards` section of the blackboard.
 *
 * A shard is the targets of one pool in one failure domain. Holders, the
 * instances that have accepted requests, send asks (scheduling requests) to the
 * shard's coordinator, which answers them with grants (leases of capacity on
 * one target), with refusals, or with the predicted wait in its queue.
 */
export class CoordinatorController implements Controller {
  readonly name = "coordinator";
  readonly handlers: EventHandlers = {
    [EventKind.PeerMessageReceived]: (event, turn) =>
      this.#handleMessage(event, turn),
    [EventKind.LoadReported]: (event, turn) => this.#handleLoad(event, turn),
    [EventKind.CacheEventsRead]: (event, turn) =>
      this.#handleCacheEvents(event, turn),
    [EventKind.Tick]: (_event, turn) => this.#handleTick(turn),
  };
  readonly #options: CoordinatorOptions;

  /** @param options Which parts of the placement policy are enabled. */
  constructor(options: CoordinatorOptions = DEFAULT_COORDINATOR_OPTIONS) {
    this.#options = options;
  }

  #handleMessage(event: PeerMessageEvent, turn: Turn): void {
    const { message } = event;
    const handler = MESSAGE_HANDLERS[message.kind] as
      | ((view: ShardView, message: PeerMessage, sender: HolderSender) => void)
      | undefined;
    const shardId = shardIdOf(message);
    if (handler === undefined || shardId === undefined) {
      return;
    }
    const sender = senderOf(event);
    recordSenderInAllShards(turn, sender);
    const shard = findOrCreateShard(turn, message, shardId);
    const view = shard && this.#viewOf(shard, turn);
    if (view !== undefined) {
      handler(view, message, sender);
      shard!.lastActiveAtMs = turn.nowMs;
    }
  }

  #handleLoad({ load }: EventOf<EventKind.LoadReported>, turn: Turn): void {
    const target = turn.board.settings.inForce?.targets.get(load.targetId);
    const shard = target &&
      turn.board.shards.byKey.get(shardKey(target.pool, target.failureDomain));
    const view = shard && this.#viewOf(shard, turn);
    if (view !== undefined) {
      reconcileOrphans(view, load);
      placeWaiting(view);
    }
  }

  #handleCacheEvents(
    { targetId, answer }: EventOf<EventKind.CacheEventsRead>,
    turn: Turn,
  ): void {
    for (const shard of turn.board.shards.byKey.values()) {
      const index = shard.prefixIndexes.get(targetId);
      for (const { kind, blockHash } of answer.events) {
        if (kind === CacheEventKind.Stored) {
          index?.store([blockHash]);
        } else {
          index?.evict(blockHash);
        }
      }
    }
  }

  #handleTick(turn: Turn): void {
    for (const [key, shard] of [...turn.board.shards.byKey]) {
      const view = this.#viewOf(shard, turn);
      if (view === undefined) {
        continue;
      }
      dropStaleHolderState(view);
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
      view.capacities.forEach((capacity) =>
        ensurePrefixIndex(shard, capacity.targetId)
      );
    }
    return view;
  }
}

const MESSAGE_HANDLERS: MessageHandlers = {
  [PeerMessageKind.Ask]: (view, message, sender) =>
    handleAsk(view, message.ask, sender),
  [PeerMessageKind.AskWithdrawn]: handleAskWithdrawn,
  [PeerMessageKind.GrantUsed]: handleGrantUsed,
  [PeerMessageKind.GrantReturned]: handleGrantReturned,
  [PeerMessageKind.PromptRead]: handlePromptRead,
  [PeerMessageKind.WorkDone]: handleWorkDone,
  [PeerMessageKind.ShedBelow]: (view, { tierRank }) =>
    shedBelow(view, tierRank),
  [PeerMessageKind.HolderReport]: (view, message, sender) => {
    reconcileReport(view, message, sender);
    placeWaiting(new ShardView(view.shard, view.settings, view.turn));
  },
};

function handleAskWithdrawn(
  view: ShardView,
  { requestId }: PeerMessageOf<PeerMessageKind.AskWithdrawn>,
  sender: HolderSender,
): void {
  const ask = view.shard.waiting.get(requestId);
  if (ask?.holderId === sender.holderId) {
    closeAsk(view, ask);
  }
}

function handleGrantUsed(
  view: ShardView,
  { grantId }: PeerMessageOf<PeerMessageKind.GrantUsed>,
): void {
  const grant = view.shard.grants.get(grantId);
  if (grant !== undefined && !grant.used) {
    grant.used = true;
    grant.usedAtMs = view.nowMs;
  }
}

function handleGrantReturned(
  view: ShardView,
  { grantId }: PeerMessageOf<PeerMessageKind.GrantReturned>,
): void {
  const grant = view.shard.grants.get(grantId);
  if (grant !== undefined) {
    cancelGrant(view, grant);
    placeWaiting(new ShardView(view.shard, view.settings, view.turn));
  }
}

function handlePromptRead(
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
  shard.lastPromptReadAtMs.set(grant.work.targetId, nowMs);
  placeWaiting(view);
}

/**
 * Marks the prompts of earlier grants on the same target as read, since engines
 * read prompts in order of arrival. The `PromptRead` messages of those grants
 * may have been lost, or their holders may have failed.
 */
function markEarlierPromptsRead(shard: Shard, readGrant: GrantRecord): void {
  for (const grant of shard.grants.values()) {
    if (
      grant.work.targetId === readGrant.work.targetId &&
      grant.usedAtMs < readGrant.usedAtMs
    ) {
      grant.promptRead = true;
    }
  }
}

function handleWorkDone(
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
    shard.prefixIndexes.get(message.targetId)?.store(blockHashes);
  }
  placeWaiting(new ShardView(shard, view.settings, view.turn));
}

function senderOf(event: PeerMessageEvent): HolderSender {
  const { message } = event;
  return {
    holderId: event.fromId,
    incarnation: event.fromIncarnation,
    holderBeat: "holderBeat" in message ? message.holderBeat : undefined,
  };
}

/**
 * Records the sender's beat counter in every shard that has a record of it as a
 * holder, so that a message about one shard keeps its asks in all others alive.
 */
function recordSenderInAllShards(turn: Turn, sender: HolderSender): void {
  for (const shard of turn.board.shards.byKey.values()) {
    if (shard.holders.has(sender.holderId)) {
      recordHolder(shard, sender, turn.nowMs);
    }
  }
}

function shardIdOf(
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

/**
 * Finds the shard that a message is about. An ask, or a holder's report that
 * lists work, creates the shard where there is none.
 */
function findOrCreateShard(
  turn: Turn,
  message: PeerMessage,
  shardId: { pool: string; failureDomain: string },
): Shard | undefined {
  const { byKey } = turn.board.shards;
  const key = shardKey(shardId.pool, shardId.failureDomain);
  const existing = byKey.get(key);
  const opensShard = message.kind === PeerMessageKind.Ask ||
    (message.kind === PeerMessageKind.HolderReport &&
      message.running.length + message.waitingRequestIds.length > 0);
  if (existing !== undefined || !opensShard) {
    return existing;
  }
  const shard = createShard(shardId.pool, shardId.failureDomain, turn.nowMs);
  byKey.set(key, shard);
  return shard;
}

function isIdle(shard: Shard, key: string, turn: Turn): boolean {
  const isEmpty = shard.waiting.size === 0 && shard.grants.size === 0;
  if (!isEmpty || turn.nowMs - shard.lastActiveAtMs < IDLE_SHARD_TTL_MS) {
    return false;
  }
  const [coordinator] = rankCoordinators(
    turn.board,
    { key, failureDomain: shard.failureDomain },
    turn.nowMs,
  );
  return coordinator?.instanceId !== turn.board.self.instanceId;
}
