/**
 * Controls the roll-outs that the operators order: merges orders and the
 * progress that other instances report, advances the phases on the coordinator,
 * and writes each outcome to the platform's store once.
 */

import type { Coordinator } from "@chestnuthatch/routing/coordinator";
import {
  isFinal,
  type RolloutOrder,
  RolloutPhase,
  type RolloutState,
  type RolloutUpdate,
  STATE_OF,
  WRITTEN_PHASE,
} from "@chestnuthatch/routing/rollout";
import type { RolloutStep } from "@chestnuthatch/routing/rollouts";
import type { RoutingBoard } from "@chestnuthatch/routing/routing_board";
import { type EventLog, LogPart } from "./event_log.ts";
import type { RolloutSink } from "./fleet_state_sync.ts";
import type { GatewayMetrics } from "./gateway_metrics.ts";
import {
  type Clock,
  type PlatformPort,
  StatusWriteOutcome,
  type StatusWriteResult,
} from "./ports.ts";
import { reportUnhandled } from "./run_isolated.ts";

/** Time between two checks of whether a roll-out advances to its next phase. */
const CHECK_INTERVAL_MS = 100;

/** Delay before the write of a status is retried. */
const WRITE_RETRY_MS = 300;

/**
 * Time within which the operators write their orders again after the store was
 * restored from an older copy.
 */
const ORDERS_REWRITE_MS = 5000;

/**
 * Age of an order from which its absence from a list of all orders means that
 * it was withdrawn: a first list may be seconds behind what the store has
 * confirmed.
 */
const MAX_LIST_LAG_MS = 8000;

/** Dependencies of {@link RolloutController}. */
export interface RolloutParts {
  readonly board: RoutingBoard;
  readonly coordinator: Coordinator;
  readonly platform: PlatformPort;
  readonly clock: Clock;
  readonly log: EventLog;
  readonly metrics: GatewayMetrics;
  /** @returns Whether this instance reaches the platform's store. */
  reachesStore(): boolean;
}

/** Roll-out status of a pool as the platform's store holds it. */
interface KnownStatus {
  readonly version: string;
  readonly state: RolloutState;
}

/** Controls roll-outs from the order to the written outcome. */
export class RolloutController implements RolloutSink {
  readonly #parts: RolloutParts;
  readonly #status = new Map<string, KnownStatus>();
  /** Version of each status row, by pool; absent where it is unknown. */
  readonly #rowVersions = new Map<string, number>();
  readonly #writing = new Set<string>();
  /** Pools with an order in the store; absent while they are not known. */
  #orderedPools?: Set<string>;
  /** Versions of orders that were recorded but not listed yet, by pool. */
  readonly #recordedVersions = new Map<string, string>();
  #checkedAtMs = -Infinity;
  #writeNotBeforeMs = -Infinity;
  #storeRestoredAtMs = -Infinity;

  /** @param parts Dependencies. */
  constructor(parts: RolloutParts) {
    this.#parts = parts;
  }

  /** @param order Roll-out that the operators ordered. */
  ordered(order: RolloutOrder): void {
    this.#orderedPools?.add(order.pool);
    this.#recordedVersions.delete(order.pool);
    this.#merge({ ...order, phase: RolloutPhase.Pending, ageMs: 0 }, "order");
  }

  /**
   * Withdraws the orders of all other pools, except shortly after the store was
   * restored from an older copy, when orders may be missing that the operators
   * have yet to write again.
   *
   * @param pools All pools with a roll-out order.
   */
  ordersListed(pools: ReadonlySet<string>): void {
    const sinceRestoreMs = this.#nowMs() - this.#storeRestoredAtMs;
    if (sinceRestoreMs < ORDERS_REWRITE_MS) {
      return;
    }
    this.#orderedPools = new Set(pools);
    this.#parts.board.rollouts.pools().filter((pool) => !pools.has(pool))
      .forEach((pool) => this.withdrawn(pool));
  }

  /** @param pool Pool whose roll-out order was withdrawn. */
  withdrawn(pool: string): void {
    this.#orderedPools?.delete(pool);
    const { board: { rollouts }, log } = this.#parts;
    if (rollouts.isInProgress(pool)) {
      log.info(LogPart.Rollouts, "order withdrawn", { pool });
      rollouts.withdrawn(pool, this.#nowMs());
    }
  }

  /** @param updates Progress of roll-outs that another instance reported. */
  updatesReceived(updates: readonly RolloutUpdate[]): void {
    updates.forEach((each) => this.#merge(each, "peer"));
  }

  /**
   * Merges the fleet's last record of roll-outs. Orders that were withdrawn
   * since are withdrawn by the next ticks, as they may have been listed before.
   *
   * @param record Progress of the roll-outs.
   * @param recordAgeMs Age of the record, which is added to each entry's age.
   */
  recordRead(record: readonly RolloutUpdate[], recordAgeMs: number): void {
    for (const each of record) {
      if (this.#orderedPools?.has(each.pool) !== true) {
        this.#recordedVersions.set(each.pool, each.version);
      }
      const ageMs = each.ageMs + recordAgeMs;
      this.#merge({ ...each, ageMs }, "record");
    }
  }

  /**
   * The store was restored from an older copy: orders, statuses and the record
   * may be lost, and statuses are written again.
   */
  storeRestored(): void {
    this.#storeRestoredAtMs = this.#nowMs();
    this.#status.clear();
    this.#rowVersions.clear();
    this.#orderedPools = undefined;
  }

  /**
   * This instance became the coordinator, which alone writes statuses: final
   * outcomes count as already written.
   */
  becameCoordinator(): void {
    const { rollouts } = this.#parts.board;
    for (const pool of rollouts.pools()) {
      const phase = rollouts.phaseOf(pool)!;
      if (isFinal(phase)) {
        this.#setKnownStatus(pool, STATE_OF[phase]);
      }
    }
  }

  /**
   * Advances the roll-outs and writes statuses that are due; to be called
   * regularly, by the coordinator only.
   *
   * @param share Share of the fleet that the coordinator decides for.
   */
  tick(share: number): void {
    const { board: { rollouts } } = this.#parts;
    const nowMs = this.#nowMs();
    if (nowMs - this.#checkedAtMs < CHECK_INTERVAL_MS) {
      return;
    }
    this.#checkedAtMs = nowMs;
    this.#withdrawUnlisted(nowMs);
    rollouts.accrue(share, nowMs);
    for (const pool of rollouts.pools()) {
      this.#advance(pool, nowMs);
      this.#writeIfDue(pool, nowMs);
    }
  }

  /**
   * Withdraws recorded orders that the store does not list. Others may have
   * read a later order of the pool before this instance.
   */
  #withdrawUnlisted(nowMs: number): void {
    const { board: { rollouts }, reachesStore } = this.#parts;
    const orderedPools = this.#orderedPools;
    if (this.#recordedVersions.size === 0 || !reachesStore()) {
      return;
    }
    rollouts.updatesToStore(nowMs)
      .filter(({ pool, version, ageMs }) =>
        this.#recordedVersions.get(pool) === version &&
        orderedPools?.has(pool) === false && ageMs >= MAX_LIST_LAG_MS
      )
      .forEach(({ pool }) => this.withdrawn(pool));
  }

  #merge(update: RolloutUpdate, by: string): void {
    const { board: { rollouts }, log } = this.#parts;
    if (rollouts.merge(update, this.#nowMs())) {
      const earlier = update.earlier
        ?.map(({ version, phase }) => `${version} ${phase}`);
      log.info(LogPart.Rollouts, "roll-out update received", {
        ...update,
        earlier,
        by,
      });
    }
  }

  #advance(pool: string, nowMs: number): void {
    const { board, coordinator, reachesStore } = this.#parts;
    if (!board.rollouts.isInProgress(pool)) {
      return;
    }
    const usable = board.targets.usable(pool, nowMs);
    const old = board.rollouts.oldTargets(pool, usable)
      .map(({ targetId }) => targetId);
    const step = board.rollouts.advance(pool, {
      nowMs,
      usable,
      oldInFlight: coordinator.runningAt(pool, old),
      reachesStore: reachesStore(),
    });
    if (step !== undefined) {
      this.#logStep(step);
    }
  }

  #logStep({ order, from, to, facts }: RolloutStep): void {
    const { log, metrics } = this.#parts;
    const { pool, version } = order;
    log.info(LogPart.Rollouts, "roll-out advanced", {
      pool,
      version,
      from,
      to,
      ...facts,
    });
    metrics.rolloutStep(pool, to);
  }

  #writeIfDue(pool: string, nowMs: number): void {
    const { board: { rollouts }, reachesStore } = this.#parts;
    const { version } = rollouts.orderOf(pool)!;
    const state = STATE_OF[rollouts.phaseOf(pool)!];
    const known = this.#status.get(pool);
    const isWritten = known?.version === version && known.state === state;
    const isDue = !isWritten && !this.#writing.has(pool) && reachesStore() &&
      nowMs >= this.#writeNotBeforeMs;
    if (isDue) {
      void this.#write(pool, state);
    }
  }

  async #write(pool: string, state: RolloutState): Promise<void> {
    const { board: { rollouts }, platform, log } = this.#parts;
    const { version } = rollouts.orderOf(pool)!;
    const rowVersion = this.#rowVersions.get(pool) ?? 0;
    const record = rollouts.updatesToStore(this.#nowMs());
    this.#writing.add(pool);
    const written = await platform
      .writeRolloutStatus({ pool, version, state, rowVersion, record })
      .catch((error) => {
        reportUnhandled(error);
        return { outcome: StatusWriteOutcome.Unknown, rowVersion };
      });
    this.#writing.delete(pool);
    log.info(LogPart.Rollouts, "status write", {
      pool,
      version,
      state,
      ...written,
    });
    if (rollouts.orderOf(pool)?.version !== version) {
      return;
    }
    this.#rowVersions.set(pool, written.rowVersion);
    const stored = STATE_AFTER[written.outcome](written, { version, state });
    if (stored === undefined) {
      this.#writeNotBeforeMs = this.#nowMs() + WRITE_RETRY_MS;
    } else {
      this.#statusConfirmed(pool, stored);
    }
  }

  /** The store holds a status of the current order. */
  #statusConfirmed(pool: string, state: RolloutState): void {
    this.#setKnownStatus(pool, state);
    const phase = WRITTEN_PHASE[state];
    if (phase !== undefined) {
      const { rollouts } = this.#parts.board;
      rollouts.written(pool, phase, this.#nowMs());
    }
  }

  #setKnownStatus(pool: string, state: RolloutState): void {
    const { version } = this.#parts.board.rollouts.orderOf(pool)!;
    this.#status.set(pool, { version, state });
  }

  #nowMs(): number {
    return this.#parts.clock.nowMs();
  }
}

/**
 * State in a status row after a write, by the outcome of the write; undefined
 * where it is unknown or belongs to another order.
 */
const STATE_AFTER: Readonly<
  Record<
    StatusWriteOutcome,
    (
      written: StatusWriteResult,
      wanted: KnownStatus,
    ) => RolloutState | undefined
  >
> = {
  [StatusWriteOutcome.Done]: (_written, wanted) => wanted.state,
  [StatusWriteOutcome.Conflict]: ({ version, state }, wanted) => {
    // A written outcome is final, whichever instance wrote it.
    const isAccepted = state === wanted.state ||
      (state !== undefined && WRITTEN_PHASE[state] !== undefined);
    return version === wanted.version && isAccepted ? state : undefined;
  },
  // The write may have been applied, or may be applied later; the next write
  // then conflicts with it and reads the row.
  [StatusWriteOutcome.Unknown]: () => undefined,
};
