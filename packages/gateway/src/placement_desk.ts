/**
 * The holder's side of placement: asks the coordinator for places, asks again
 * while no word comes, and decides by itself when the coordinator is silent.
 */

import type { Coordinator } from "@chestnuthatch/routing/coordinator";
import type { MemberRecord } from "@chestnuthatch/routing/member_view";
import {
  MessageKind,
  type RoutingMessage,
} from "@chestnuthatch/routing/peer_messages";
import type { RoutingBoard } from "@chestnuthatch/routing/routing_board";
import { SpendingLog } from "@chestnuthatch/routing/spending_log";
import type {
  AskDecision,
  HolderReport,
  RunningWork,
  WorkAsk,
  WorkEnd,
} from "@chestnuthatch/routing/work_ask";
import { CoordinatorChoice } from "./coordinator_choice.ts";
import { type EventLog, LogPart } from "./event_log.ts";
import type { Clock } from "./ports.ts";

/**
 * Time after which an ask without any word is sent again. Between failure
 * domains a word takes about 3 ms; a lost datagram costs this much.
 */
const ASK_AGAIN_MS = 40;

/**
 * Time without any word after which the coordinator is passed over: two lost
 * datagrams, and little against the objectives of streams.
 */
const SILENT_COORDINATOR_MS = 130;

/** Time after which a waiting ask is renewed; a lost decision costs this much. */
const RENEW_MS = 250;

/** Time between two reports of what is open. */
const REPORT_MS = 500;

/** An ask with what is known of it here. */
interface OpenAsk {
  readonly ask: WorkAsk;
  readonly sinceMs: number;
  readonly onDecision: (decision: AskDecision) => void;
  coordinatorId: string;
  sentAtMs: number;
  /** When it was first sent to its present coordinator. */
  firstSentAtMs: number;
  heard: boolean;
  running?: RunningWork;
}

/** How the desk reaches other instances. */
export type PeerSend = (member: MemberRecord, message: RoutingMessage) => void;

/** What the desk works with. */
export interface DeskParts {
  readonly board: RoutingBoard;
  readonly coordinator: Coordinator;
  readonly clock: Clock;
  readonly log: EventLog;
  readonly send: PeerSend;
  /** When this instance began to remember what workspaces spent. */
  readonly startedAtMs: number;
  /** Time over which the operators judge what workspaces spend. */
  readonly spendingWindowMs: number;
}

/** Open asks of this instance, as holder and as coordinator for others. */
export class PlacementDesk {
  readonly #parts: DeskParts;
  readonly #open = new Map<string, OpenAsk>();
  readonly #choice: CoordinatorChoice;
  readonly #spending: SpendingLog;
  #reportedAtMs = -Infinity;
  #reportedTo = "";

  /** @param parts What the desk works with. */
  constructor(parts: DeskParts) {
    this.#parts = parts;
    this.#spending = new SpendingLog(parts.spendingWindowMs);
    const { board, startedAtMs } = parts;
    this.#choice = new CoordinatorChoice(board.members, startedAtMs);
  }

  /** The coordinator that asks go to now. */
  get coordinatorId(): string {
    return this.#coordinator().instanceId;
  }

  /**
   * Asks for a place.
   *
   * @param ask The ask.
   * @param onDecision Called once, unless the ask is dropped before.
   */
  ask(ask: WorkAsk, onDecision: (decision: AskDecision) => void): void {
    const nowMs = this.#nowMs();
    const open: OpenAsk = {
      ask,
      sinceMs: nowMs,
      onDecision,
      coordinatorId: "",
      sentAtMs: nowMs,
      firstSentAtMs: nowMs,
      heard: false,
    };
    this.#open.set(ask.askId, open);
    this.#sendTo(this.#coordinator(), open);
  }

  /** @param askId An ask whose caller no longer waits for a place. */
  drop(askId: string): void {
    const open = this.#open.get(askId);
    if (open !== undefined) {
      this.#open.delete(askId);
      this.#tellDropped(open.coordinatorId, askId);
    }
  }

  /** @param askId Work at a target whose first event came. */
  firstSeen(askId: string): void {
    const open = this.#open.get(askId);
    if (open?.running === undefined) {
      return;
    }
    open.running = { ...open.running, firstSeen: true };
    if (this.#isSelf(open.coordinatorId)) {
      this.#parts.coordinator.firstSeen(askId);
    } else {
      this.#send(open.coordinatorId, { kind: MessageKind.FirstSeen, askId });
    }
  }

  /** @param end How work at a target ended. */
  ended(end: WorkEnd): void {
    const open = this.#open.get(end.askId);
    this.#open.delete(end.askId);
    // This instance learns from its own work, in case it has to coordinate.
    this.#carryOut(this.#parts.coordinator.ended(end, this.#nowMs()));
    if (open !== undefined && !this.#isSelf(open.coordinatorId)) {
      this.#send(open.coordinatorId, { kind: MessageKind.End, end });
    }
  }

  /**
   * Takes in a message of another instance.
   *
   * @param message An ask, a decision, or what follows on them.
   * @param fromId Who sent it, where that is known.
   */
  heard(message: RoutingMessage, fromId: string | undefined): void {
    const { coordinator } = this.#parts;
    const nowMs = this.#nowMs();
    switch (message.kind) {
      case MessageKind.Ask:
        this.#serve(message.ask);
        return;
      case MessageKind.FirstSeen:
        coordinator.firstSeen(message.askId);
        return;
      case MessageKind.End:
        this.#carryOut(coordinator.ended(message.end, nowMs));
        return;
      case MessageKind.Drop:
        this.#carryOut(coordinator.dropped(message.askId, nowMs));
        return;
      case MessageKind.Report:
        this.#carryOut(coordinator.report(message.report, nowMs));
        return;
      case MessageKind.Queued:
        this.#noteHeard(message.askId, fromId);
        return;
      case MessageKind.Decision:
        this.#decided(message.decision, fromId);
        return;
      case MessageKind.PassedOver:
        this.#passedOver(fromId, nowMs);
        return;
      default:
        return;
    }
  }

  /** Lets time pass: silent coordinators are passed over, reports are sent. */
  tick(): void {
    const nowMs = this.#nowMs();
    const coordinator = this.#coordinator();
    for (const open of this.#open.values()) {
      if (open.running === undefined) {
        this.#chase(open, coordinator, nowMs);
      }
    }
    this.#reportIfDue(coordinator, nowMs);
    this.#carryOut(this.#parts.coordinator.tick(nowMs));
  }

  #chase(open: OpenAsk, coordinator: MemberRecord, nowMs: number): void {
    const silentMs = nowMs - open.firstSentAtMs;
    const waitedMs = nowMs - open.sentAtMs;
    if (!open.heard && silentMs >= SILENT_COORDINATOR_MS) {
      this.#shun(open.coordinatorId, nowMs);
      this.#tellDropped(open.coordinatorId, open.ask.askId);
      this.#sendTo(this.#self(), open);
      return;
    }
    const moved = open.coordinatorId !== coordinator.instanceId &&
      !this.#isSelf(open.coordinatorId);
    if (moved && waitedMs >= ASK_AGAIN_MS) {
      this.#tellDropped(open.coordinatorId, open.ask.askId);
      this.#sendTo(coordinator, open);
    } else if (waitedMs >= (open.heard ? RENEW_MS : ASK_AGAIN_MS)) {
      this.#sendTo(this.#member(open.coordinatorId) ?? coordinator, open);
    }
  }

  #sendTo(member: MemberRecord, open: OpenAsk): void {
    const nowMs = this.#nowMs();
    const spentMs = nowMs - open.sinceMs;
    if (open.coordinatorId !== member.instanceId) {
      open.coordinatorId = member.instanceId;
      open.firstSentAtMs = nowMs;
      open.heard = false;
    }
    open.sentAtMs = nowMs;
    const ask = {
      ...open.ask,
      objectiveLeftMs: open.ask.objectiveLeftMs - spentMs,
      patienceLeftMs: open.ask.patienceLeftMs - spentMs,
      deadlineLeftMs: open.ask.deadlineLeftMs - spentMs,
    };
    if (this.#isSelf(member.instanceId)) {
      open.heard = true;
      this.#serve(ask);
    } else {
      this.#parts.send(member, { kind: MessageKind.Ask, ask });
    }
  }

  /** Serves an ask as coordinator. */
  #serve(ask: WorkAsk): void {
    const decisions = this.#parts.coordinator.ask(
      ask,
      this.#choice.scope(this.#nowMs()),
    );
    this.#carryOut(decisions);
    const isDecided = decisions.some(({ askId }) => askId === ask.askId);
    if (!isDecided && !this.#isSelf(ask.holderId)) {
      const { askId } = ask;
      this.#send(ask.holderId, { kind: MessageKind.Queued, askId });
    }
  }

  /** Sends decisions to their holders. */
  #carryOut(decisions: readonly AskDecision[]): void {
    for (const decision of decisions) {
      if (this.#isSelf(decision.holderId)) {
        this.#decided(decision, decision.holderId);
      } else {
        const message = { kind: MessageKind.Decision as const, decision };
        this.#send(decision.holderId, message);
      }
    }
  }

  #decided(decision: AskDecision, fromId: string | undefined): void {
    const open = this.#open.get(decision.askId);
    const isWanted = open !== undefined && open.running === undefined &&
      open.coordinatorId === fromId;
    if (!isWanted) {
      const isCurrent = open?.coordinatorId === fromId;
      if ("targetId" in decision && fromId !== undefined && !isCurrent) {
        this.#tellDropped(fromId, decision.askId);
      }
      return;
    }
    if ("targetId" in decision) {
      open.running = runningOf(open.ask, decision.targetId);
      this.#noteSpending(open.ask);
    } else {
      this.#open.delete(decision.askId);
    }
    open.onDecision(decision);
  }

  #noteSpending(ask: WorkAsk): void {
    if (ask.cost > 0) {
      this.#spending.note(ask.workspace, ask.cost, this.#nowMs());
    }
  }

  #reportIfDue(coordinator: MemberRecord, nowMs: number): void {
    const isNew = coordinator.instanceId !== this.#reportedTo;
    if (!isNew && nowMs - this.#reportedAtMs < REPORT_MS) {
      return;
    }
    this.#reportedAtMs = nowMs;
    this.#reportedTo = coordinator.instanceId;
    const report = this.#report(coordinator.instanceId, nowMs);
    if (this.#isSelf(coordinator.instanceId)) {
      const { coordinator: own } = this.#parts;
      this.#carryOut(own.report(report, nowMs));
    } else {
      this.#parts.send(coordinator, { kind: MessageKind.Report, report });
    }
  }

  #report(coordinatorId: string, nowMs: number): HolderReport {
    const opens = [...this.#open.values()];
    return {
      holderId: this.#selfId(),
      running: opens.flatMap(({ running }) => running ?? []),
      waiting: opens
        .filter((o) =>
          o.running === undefined && o.coordinatorId === coordinatorId
        )
        .map(({ ask }) => ask.askId),
      spent: this.#spending.lately(nowMs),
    };
  }

  #noteHeard(askId: string, fromId: string | undefined): void {
    const open = this.#open.get(askId);
    if (open !== undefined && open.coordinatorId === fromId) {
      open.heard = true;
    }
  }

  #tellDropped(coordinatorId: string, askId: string): void {
    if (this.#isSelf(coordinatorId)) {
      const { coordinator } = this.#parts;
      this.#carryOut(coordinator.dropped(askId, this.#nowMs()));
    } else {
      this.#send(coordinatorId, { kind: MessageKind.Drop, askId });
    }
  }

  #shun(instanceId: string, nowMs: number): void {
    if (this.#choice.shun(instanceId, nowMs)) {
      this.#send(instanceId, { kind: MessageKind.PassedOver });
      this.#parts.log.warn(LogPart.Placement, "coordinator is silent", {
        coordinatorId: instanceId,
        silentMs: SILENT_COORDINATOR_MS,
      });
    }
  }

  #passedOver(byId: string | undefined, nowMs: number): void {
    const { members } = this.#parts.board;
    if (byId !== undefined) {
      members.passedOver(byId, nowMs);
    }
  }

  #coordinator(): MemberRecord {
    return this.#choice.current(this.#nowMs());
  }

  #send(instanceId: string, message: RoutingMessage): void {
    const member = this.#member(instanceId);
    if (member !== undefined) {
      this.#parts.send(member, message);
    }
  }

  #member(instanceId: string): MemberRecord | undefined {
    return this.#parts.board.members.get(instanceId);
  }

  #self(): MemberRecord {
    return this.#member(this.#selfId())!;
  }

  #selfId(): string {
    return this.#parts.board.members.selfId;
  }

  #isSelf(instanceId: string): boolean {
    return instanceId === this.#selfId();
  }

  #nowMs(): number {
    return this.#parts.clock.nowMs();
  }
}

function runningOf(ask: WorkAsk, targetId: string): RunningWork {
  const { askId, pool, rank, promptTokens, outputTokens } = ask;
  const firstSeen = false;
  return { askId, pool, targetId, rank, promptTokens, outputTokens, firstSeen };
}
