/**
 * Drives the roll-outs that the operators order: takes in orders and what other
 * instances tell, lets the coordinator decide, and has each outcome written once.
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
import type { RolloutNewsSink } from "./fleet_news.ts";
import type { GatewayMetrics } from "./gateway_metrics.ts";
import {
  type Clock,
  type PlatformPort,
  StatusWrite,
  type StatusWritten,
} from "./ports.ts";

/** Time between two looks at whether a roll-out goes on. */
const LOOK_MS = 100;

/** Pause after a status that the platform did not take. */
const WRITE_RETRY_MS = 300;

/**
 * Time after the store came back from an older copy within which the operators
 * write their orders again.
 */
const ORDERS_RETURN_MS = 5000;

/** What the keeper works with. */
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

/** What is known of a pool's status in the platform's store. */
interface KnownStatus {
  readonly version: string;
  readonly state: RolloutState;
}

/** Roll-outs, from the order to the outcome. */
export class RolloutKeeper implements RolloutNewsSink {
  readonly #parts: RolloutParts;
  readonly #status = new Map<string, KnownStatus>();
  /** Version of each status row, by pool; absent where it is not known. */
  readonly #rowVersions = new Map<string, number>();
  readonly #writing = new Set<string>();
  #lookedAtMs = -Infinity;
  #writeNotBeforeMs = -Infinity;
  #storeWentBackAtMs = -Infinity;

  /** @param parts What the keeper works with. */
  constructor(parts: RolloutParts) {
    this.#parts = parts;
  }

  /** @param order An order of the operators. */
  ordered(order: RolloutOrder): void {
    this.#toldOf({ ...order, phase: RolloutPhase.Pending, ageMs: 0 }, "order");
  }

  /**
   * @param pools Pools that the operators have orders for; others were taken
   * back, unless the store has lost them and they are still to come again.
   */
  listed(pools: ReadonlySet<string>): void {
    const sinceReturnMs = this.#nowMs() - this.#storeWentBackAtMs;
    if (sinceReturnMs < ORDERS_RETURN_MS) {
      return;
    }
    this.#parts.board.rollouts.pools().filter((pool) => !pools.has(pool))
      .forEach((pool) => this.withdrawn(pool));
  }

  /** @param pool A pool whose order was taken back. */
  withdrawn(pool: string): void {
    const { board: { rollouts }, log } = this.#parts;
    if (rollouts.isInProgress(pool)) {
      log.info(LogPart.Rollouts, "order taken back", { pool });
      rollouts.withdrawn(pool, this.#nowMs());
    }
  }

  /** @param news What another instance tells. */
  told(news: readonly RolloutUpdate[]): void {
    news.forEach((each) => this.#toldOf(each, "peer"));
  }

  /**
   * @param record What the fleet recorded.
   * @param recordAgeMs How long ago it did.
   */
  recordRead(record: readonly RolloutUpdate[], recordAgeMs: number): void {
    for (const each of record) {
      const ageMs = each.ageMs + recordAgeMs;
      this.#toldOf({ ...each, ageMs }, "record");
    }
  }

  /** Orders, statuses and the record may be gone: they are written again. */
  storeWentBack(): void {
    this.#storeWentBackAtMs = this.#nowMs();
    this.#status.clear();
    this.#rowVersions.clear();
  }

  /** Some instance has become the coordinator: it alone writes statuses. */
  becameCoordinator(): void {
    const { rollouts } = this.#parts.board;
    for (const pool of rollouts.pools()) {
      const phase = rollouts.phaseOf(pool)!;
      if (isFinal(phase)) {
        this.#noteStatus(pool, STATE_OF[phase]);
      }
    }
  }

  /**
   * Lets time pass; for the coordinator alone.
   *
   * @param share Part of the fleet that it decides for.
   */
  tick(share: number): void {
    const { board: { rollouts } } = this.#parts;
    const nowMs = this.#nowMs();
    if (nowMs - this.#lookedAtMs < LOOK_MS) {
      return;
    }
    this.#lookedAtMs = nowMs;
    rollouts.accrue(share, nowMs);
    for (const pool of rollouts.pools()) {
      this.#advance(pool, nowMs);
      this.#writeIfDue(pool, nowMs);
    }
  }

  #toldOf(news: RolloutUpdate, by: string): void {
    const { board: { rollouts }, log } = this.#parts;
    if (rollouts.merge(news, this.#nowMs())) {
      log.info(LogPart.Rollouts, "told of roll-out", { ...news, by });
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
      this.#noteStep(step);
    }
  }

  #noteStep({ order, from, to, facts }: RolloutStep): void {
    const { log, metrics } = this.#parts;
    const { pool, version } = order;
    log.info(LogPart.Rollouts, "roll-out goes on", {
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
    this.#writing.add(pool);
    const written = await platform.writeRolloutStatus({
      pool,
      version,
      state,
      rowVersion: this.#rowVersions.get(pool) ?? 0,
      record: rollouts.updatesToStore(this.#nowMs()),
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
    const now = STATE_AFTER[written.outcome](written, { version, state });
    if (now === undefined) {
      this.#writeNotBeforeMs = this.#nowMs() + WRITE_RETRY_MS;
    } else {
      this.#statusIs(pool, now);
    }
  }

  /** The store holds a status of the order in force. */
  #statusIs(pool: string, state: RolloutState): void {
    this.#noteStatus(pool, state);
    const phase = WRITTEN_PHASE[state];
    if (phase !== undefined) {
      const { rollouts } = this.#parts.board;
      rollouts.written(pool, phase, this.#nowMs());
    }
  }

  #noteStatus(pool: string, state: RolloutState): void {
    const { version } = this.#parts.board.rollouts.orderOf(pool)!;
    this.#status.set(pool, { version, state });
  }

  #nowMs(): number {
    return this.#parts.clock.nowMs();
  }
}

/**
 * The state that a status row has after a write, of the order that was to be
 * written; undefined where that is not known, or the row is about another one.
 */
const STATE_AFTER: Readonly<
  Record<
    StatusWrite,
    (written: StatusWritten, wanted: KnownStatus) => RolloutState | undefined
  >
> = {
  [StatusWrite.Done]: (_written, wanted) => wanted.state,
  [StatusWrite.Found]: ({ version, state }, wanted) => {
    // An outcome that is written stands, whoever reached it.
    const stands = state === wanted.state ||
      (state !== undefined && WRITTEN_PHASE[state] !== undefined);
    return version === wanted.version && stands ? state : undefined;
  },
  // It may have been done, or be done later: the next one finds it.
  [StatusWrite.Unknown]: () => undefined,
};
