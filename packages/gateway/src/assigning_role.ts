/**
 * Tracks whether this instance assigns requests to targets, as the coordinator
 * or in place of one that does not respond. When it begins to, it takes over
 * the accounts of its predecessor.
 */

import type { Coordinator } from "@chestnuthatch/routing/coordinator";
import type { RoutingBoard } from "@chestnuthatch/routing/routing_board";
import { type EventLog, LogPart } from "./event_log.ts";
import type { Clock } from "./ports.ts";
import { runIsolated } from "./run_isolated.ts";

/**
 * Time without assignments after which an instance that is not the coordinator
 * takes over again when it is asked: its accounts are outdated by then.
 */
const MAX_ASSIGNING_GAP_MS = 1000;

/**
 * Time after its start in which an instance hears from the others: one heartbeat
 * interval and the delay of the network. Before that it may take itself for the
 * only one.
 */
const JOINING_MS = 300;

/** An account that an instance takes over when it begins to assign requests. */
export interface InheritedAccount {
  /**
   * This instance became the coordinator of all members that it reaches, or it
   * was stalled as the coordinator.
   *
   * @param ranUntilMs Local time until which it received heartbeats.
   */
  becameCoordinator(ranUntilMs: number): void;
  /**
   * This instance assigns requests although it is not the coordinator, which
   * may still be running on the other side of a partition.
   *
   * @param share Share of the fleet's limits, above 0 and at most 1, that this
   * instance may hand out.
   */
  becameActingCoordinator?(share: number): void;
}

/** Dependencies of {@link AssigningRole}. */
export interface AssigningRoleParts {
  readonly board: RoutingBoard;
  readonly coordinator: Coordinator;
  readonly clock: Clock;
  readonly log: EventLog;
  /** Local time at which this instance started. */
  readonly startedAtMs: number;
  /** Accounts that are taken over, in this order. */
  readonly accounts: readonly InheritedAccount[];
  /** @returns Instance id of the coordinator in the view of this instance. */
  coordinatorId(): string;
  /** @returns Share of the fleet's limits that this instance may hand out. */
  share(): number;
}

/** The role of this instance in assigning requests. */
export class AssigningRole {
  readonly #parts: AssigningRoleParts;
  #isCoordinator = false;
  /** Local time of the last update. */
  #updatedAtMs = -Infinity;
  /** Local time of the last assignment that was made without the role. */
  #actedAtMs = -Infinity;

  /** @param parts Dependencies. */
  constructor(parts: AssigningRoleParts) {
    this.#parts = parts;
  }

  /** Whether this instance was the coordinator at the last update. */
  get isCoordinator(): boolean {
    return this.#isCoordinator;
  }

  /** Updates the role; to be called regularly. */
  update(): void {
    const { board, coordinator, clock, log, coordinatorId } = this.#parts;
    const nowMs = clock.nowMs();
    this.#updatedAtMs = nowMs;
    const hasJoined = nowMs - this.#parts.startedAtMs >= JOINING_MS;
    const isCoordinator = hasJoined &&
      coordinatorId() === board.members.selfId;
    if (isCoordinator === this.#isCoordinator) {
      return;
    }
    this.#isCoordinator = isCoordinator;
    coordinator.setRole(isCoordinator, nowMs);
    if (isCoordinator) {
      this.#takeOverAccounts();
    } else {
      // The accounts still cover asks that are on the way to this instance.
      this.#actedAtMs = nowMs;
    }
    log.info(LogPart.Placement, "coordinator changed", {
      coordinatorId: coordinatorId(),
      alive: board.members.aliveCount(nowMs),
    });
  }

  /**
   * Takes over before this instance assigns a request without being the
   * coordinator, unless it did so a moment ago.
   */
  beforeAssigning(): void {
    if (this.#isCoordinator) {
      return;
    }
    const { coordinator, clock, accounts, share } = this.#parts;
    const nowMs = clock.nowMs();
    const isOutdated = nowMs - this.#actedAtMs > MAX_ASSIGNING_GAP_MS;
    this.#actedAtMs = nowMs;
    if (isOutdated) {
      coordinator.accountingBegan(nowMs);
      for (const account of accounts) {
        runIsolated(() => account.becameActingCoordinator?.(share()));
      }
    }
  }

  /**
   * The process was stalled, and the members may have followed another
   * coordinator meanwhile: its accounts are taken over.
   */
  stalled(): void {
    this.#actedAtMs = -Infinity;
    if (this.#isCoordinator) {
      this.#takeOverAccounts();
    }
  }

  #takeOverAccounts(): void {
    for (const account of this.#parts.accounts) {
      runIsolated(() => account.becameCoordinator(this.#updatedAtMs));
    }
  }
}
