/**
 * The holder's side of placement: asks the coordinator for places, asks again
 * while no word comes, and decides by itself when the coordinator is gone.
 */

import type { Coordinator } from "@chestnuthatch/routing/coordinator";
import type { MemberRecord } from "@chestnuthatch/routing/member_view";
import {
  MessageKind,
  type RoutingMessage,
} from "@chestnuthatch/routing/peer_messages";
import type { RoutingBoard } from "@chestnuthatch/routing/routing_board";
import { RecentRefusals } from "@chestnuthatch/routing/recent_refusals";
import {
  type AskDecision,
  AskRefusal,
  type PlaceDecision,
  type RunningWork,
  type WorkAsk,
  type WorkEnd,
} from "@chestnuthatch/routing/work_ask";
import {
  CoordinatorFailureDetector,
  Responsiveness,
} from "./coordinator_failure_detector.ts";
import { CoordinatorChoice } from "./coordinator_choice.ts";
import { HolderReports } from "./holder_reports.ts";
import { PlaceService } from "./place_service.ts";
import {
  isHeld,
  mayWaitMs,
  MOST_UNHEARD,
  NOBODY,
  type OpenAsk,
  OpenAsks,
} from "./open_asks.ts";
import { type EventLog, LogPart } from "./event_log.ts";
import type { Clock } from "./ports.ts";

/**
 * Time after which an ask without any word is sent again, doubled with each
 * time. Between failure domains a word takes about 3 ms; a lost datagram costs
 * this much. A coordinator under load gets few repeats.
 */
const ASK_AGAIN_MS = 40;

/** Time after which a coordinator is told again that it answers late. */
const TELL_LATE_MS = 500;

/** When callers are asked back whose ask got no word in time. */
const UNHEARD_RETRY_MS = 500;

/** Kinds of message that a coordinator answers with. */
const IS_ANSWER: ReadonlySet<MessageKind> = new Set([
  MessageKind.Queued,
  MessageKind.Decision,
  MessageKind.Unknown,
]);

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
  /** Called when something begins to wait, so that it is soon looked at. */
  onWaiting?(): void;
  /**
   * Called before this instance gives places in place of a silent coordinator.
   *
   * @param share Part of the fleet's allotments that it hands out.
   */
  onStandIn?(share: number): void;
}

/** Open asks of this instance, as holder and as coordinator for others. */
export class PlacementDesk {
  readonly #parts: DeskParts;
  readonly #open = new OpenAsks();
  readonly #choice: CoordinatorChoice;
  readonly #service: PlaceService;
  readonly #reports: HolderReports;
  readonly #answers: CoordinatorFailureDetector;
  readonly #refusals = new RecentRefusals();
  #toldLateAtMs = -Infinity;

  /** @param parts What the desk works with. */
  constructor(parts: DeskParts) {
    this.#parts = parts;
    const { board, startedAtMs, spendingWindowMs } = parts;
    this.#reports = new HolderReports({
      board,
      open: this.#open,
      spendingWindowMs,
    });
    this.#choice = new CoordinatorChoice(board.members, {
      startedAtMs,
      spendingToldAtMs: (id) => parts.coordinator.spendingToldAtMs(id),
    });
    this.#answers = new CoordinatorFailureDetector(board.members);
    this.#service = new PlaceService({
      coordinator: parts.coordinator,
      clock: parts.clock,
      selfId: board.members.selfId,
      scope: () => this.#choice.scope(this.#nowMs()),
      send: (holderId, message) => this.#send(holderId, message),
      onOwnDecision: (decision) => this.#decided(decision, decision.holderId),
      onWaiting: () => this.#parts.onWaiting?.(),
    });
  }

  /** The coordinator that asks go to now. */
  get coordinatorId(): string {
    return this.#coordinator().instanceId;
  }

  /** Whether asks wait, of this holder or for this coordinator. */
  get hasWaiting(): boolean {
    return this.#open.waiting().length > 0 || this.#service.hasWaiting;
  }

  /**
   * Asks for a place.
   *
   * @param ask The ask.
   * @param onDecision Called once, unless the ask is dropped before.
   */
  ask(ask: WorkAsk, onDecision: (decision: AskDecision) => void): void {
    const nowMs = this.#nowMs();
    const refusal = this.#refusals.refusalOf(ask, nowMs);
    if (refusal !== undefined) {
      onDecision(refusal);
      return;
    }
    const open: OpenAsk = {
      ask,
      sinceMs: nowMs,
      onDecision,
      coordinatorId: NOBODY,
      sentAtMs: nowMs,
      firstSentAtMs: nowMs,
      heard: false,
      againMs: ASK_AGAIN_MS,
    };
    this.#open.add(open);
    this.#sendHeld();
    if (isHeld(open) && this.#heldForMs(open) > mayWaitMs(open)) {
      this.#refuse(open);
    } else if (open.running === undefined) {
      this.#parts.onWaiting?.();
    }
  }

  /** How long an ask will be held back, by what goes out before it. */
  #heldForMs(open: OpenAsk): number {
    return this.#open.heldUpTo(open) * this.#answers.meanAnswerMs /
      MOST_UNHEARD;
  }

  /** Sends asks that are held back, as far as may be. */
  #sendHeld(): void {
    for (const open of this.#open.toSend()) {
      // What this instance decides by itself may have sent it meanwhile.
      if (isHeld(open)) {
        this.#sendTo(this.#coordinator(), open);
      }
    }
  }

  /** @param askId An ask whose caller no longer waits for a place. */
  drop(askId: string): void {
    const open = this.#open.get(askId);
    if (open !== undefined) {
      this.#open.remove(askId);
      this.#tellDropped(open.coordinatorId, askId);
      this.#sendHeld();
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
      this.#service.firstSeen(askId);
    } else {
      this.#send(open.coordinatorId, { kind: MessageKind.FirstSeen, askId });
    }
  }

  /** @param end How work at a target ended. */
  ended(end: WorkEnd): void {
    const open = this.#open.get(end.askId);
    this.#open.ended(end.askId);
    // This instance learns from its own work, in case it has to coordinate.
    this.#service.ended(end);
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
    const nowMs = this.#nowMs();
    if (fromId !== undefined && IS_ANSWER.has(message.kind)) {
      const tookMs = this.#answerTookMs(message, fromId);
      this.#answers.recordAnswer(fromId, { nowMs, tookMs });
    }
    switch (message.kind) {
      case MessageKind.Ask:
        this.#service.ask(message.ask);
        return;
      case MessageKind.FirstSeen:
        this.#service.firstSeen(message.askId);
        return;
      case MessageKind.End:
        this.#service.ended(message.end);
        return;
      case MessageKind.Drop:
        this.#service.dropped(message.askId);
        return;
      case MessageKind.Report:
        this.#service.report(message.report);
        return;
      case MessageKind.Unknown:
        this.#askAnew(message.askIds, fromId);
        return;
      case MessageKind.Queued:
        this.#noteHeard(message.askId, fromId);
        return;
      case MessageKind.Decision:
        this.#decided(message.decision, fromId);
        return;
      case MessageKind.Unanswered:
        this.#leftUnanswered(fromId, nowMs);
        return;
      default:
        return;
    }
  }

  /** How long the first word on an ask took, where the message is that. */
  #answerTookMs(message: RoutingMessage, fromId: string): number | undefined {
    const askId = message.kind === MessageKind.Queued
      ? message.askId
      : message.kind === MessageKind.Decision
      ? message.decision.askId
      : "";
    const open = this.#open.get(askId);
    const isFirst = open !== undefined && !open.heard &&
      open.coordinatorId === fromId;
    return isFirst ? this.#nowMs() - open.firstSentAtMs : undefined;
  }

  /** Lets time pass: silent coordinators are passed over, reports are sent. */
  tick(): void {
    const nowMs = this.#nowMs();
    const coordinator = this.#coordinator();
    for (const open of this.#open.waiting()) {
      // The ones before it may have ended its wait.
      if (this.#open.isWaiting(open)) {
        this.#chase(open, coordinator, nowMs);
      }
    }
    this.#sendHeld();
    this.#reportIfDue(coordinator, nowMs);
    this.#service.tick();
  }

  #chase(open: OpenAsk, coordinator: MemberRecord, nowMs: number): void {
    if (nowMs - open.sinceMs > mayWaitMs(open)) {
      this.#refuse(open);
      return;
    }
    if (isHeld(open)) {
      return;
    }
    const { coordinatorId, firstSentAtMs: sinceMs } = open;
    const sign = open.heard
      ? Responsiveness.InTime
      : this.#answers.responsivenessOf(coordinatorId, { sinceMs, nowMs });
    if (sign === Responsiveness.Gone) {
      this.#shun(coordinatorId, nowMs);
      this.#tellDropped(coordinatorId, open.ask.askId);
      this.#sendTo(this.#self(), open);
      return;
    }
    if (sign === Responsiveness.Late) {
      this.#tellLate(coordinatorId, nowMs);
    }
    const moved = coordinatorId !== coordinator.instanceId &&
      !this.#isSelf(coordinatorId);
    const waitedMs = nowMs - open.sentAtMs;
    if (moved && waitedMs >= ASK_AGAIN_MS) {
      this.#tellDropped(coordinatorId, open.ask.askId);
      this.#sendTo(coordinator, open);
    } else if (!open.heard && waitedMs >= open.againMs) {
      open.againMs *= 2;
      this.#sendTo(this.#member(coordinatorId) ?? coordinator, open);
    }
  }

  /** Refuses what the coordinator gave no word on: nothing ran. */
  #refuse(open: OpenAsk): void {
    const { askId, holderId } = open.ask;
    const nowMs = this.#nowMs();
    this.#open.remove(askId);
    this.#tellDropped(open.coordinatorId, askId);
    open.onDecision({
      askId,
      holderId,
      refusal: AskRefusal.Overload,
      retryAfterMs: UNHEARD_RETRY_MS,
      figures: {
        heldBack: Number(isHeld(open)),
        unheardMs: Math.round(nowMs - open.sinceMs),
        answersTakeMs: Math.round(this.#answers.meanAnswerMs),
      },
    });
  }

  /** A coordinator that is slower than others would be makes way for one. */
  #tellLate(coordinatorId: string, nowMs: number): void {
    if (nowMs - this.#toldLateAtMs >= TELL_LATE_MS) {
      this.#toldLateAtMs = nowMs;
      this.#send(coordinatorId, { kind: MessageKind.Unanswered });
    }
  }

  #sendTo(member: MemberRecord, open: OpenAsk): void {
    const nowMs = this.#nowMs();
    const spentMs = nowMs - open.sinceMs;
    if (open.coordinatorId !== member.instanceId) {
      open.coordinatorId = member.instanceId;
      open.firstSentAtMs = nowMs;
      open.heard = false;
      open.againMs = Math.max(ASK_AGAIN_MS, this.#answers.usualAnswerMs);
    }
    open.sentAtMs = nowMs;
    // By the time that the coordinator has it and this instance its decision,
    // so much of the objective has gone by.
    const wayMs = this.#isSelf(member.instanceId)
      ? 0
      : this.#answers.meanAnswerMs;
    const ask = {
      ...open.ask,
      objectiveLeftMs: open.ask.objectiveLeftMs - spentMs - wayMs,
      patienceLeftMs: open.ask.patienceLeftMs - spentMs,
      deadlineLeftMs: open.ask.deadlineLeftMs - spentMs,
    };
    if (this.#isSelf(member.instanceId)) {
      open.heard = true;
      this.#service.ask(ask);
    } else {
      this.#parts.send(member, { kind: MessageKind.Ask, ask });
    }
  }

  #decided(decision: AskDecision, fromId: string | undefined): void {
    const open = this.#open.get(decision.askId);
    const isWanted = open !== undefined && open.running === undefined &&
      open.coordinatorId === fromId;
    if (!isWanted) {
      const isKnown = open?.coordinatorId === fromId ||
        this.#open.hasEnded(decision.askId);
      if ("targetId" in decision && fromId !== undefined && !isKnown) {
        this.#tellDropped(fromId, decision.askId);
      }
      return;
    }
    if ("targetId" in decision) {
      open.running = runningOf(open.ask, decision);
      this.#reports.placed(open.ask, this.#nowMs());
    } else {
      this.#open.remove(decision.askId);
      if (fromId === this.coordinatorId) {
        this.#refusals.note(open.ask, decision, this.#nowMs());
      }
    }
    open.onDecision(decision);
    this.#sendHeld();
  }

  #reportIfDue(coordinator: MemberRecord, nowMs: number): void {
    const due = this.#reports.due(coordinator.instanceId, nowMs);
    if (due === undefined) {
      return;
    }
    if (due.isFirst) {
      this.#refusals.clear();
    }
    const { report } = due;
    if (this.#isSelf(coordinator.instanceId)) {
      this.#service.report(report);
    } else {
      this.#parts.send(coordinator, { kind: MessageKind.Report, report });
    }
  }

  /** Its coordinator knows nothing of these: they, or its refusals, were lost. */
  #askAnew(askIds: readonly string[], fromId: string | undefined): void {
    for (const askId of askIds) {
      const open = this.#open.get(askId);
      const member = this.#member(fromId ?? "");
      if (
        open === undefined || open.running !== undefined ||
        open.coordinatorId !== member?.instanceId
      ) {
        continue;
      }
      if (this.#nowMs() - open.sentAtMs >= ASK_AGAIN_MS) {
        this.#sendTo(member, open);
      }
    }
  }

  #noteHeard(askId: string, fromId: string | undefined): void {
    const open = this.#open.get(askId);
    if (open !== undefined && open.coordinatorId === fromId) {
      open.heard = true;
      this.#sendHeld();
    }
  }

  #tellDropped(coordinatorId: string, askId: string): void {
    if (coordinatorId === NOBODY) {
      return;
    }
    if (this.#isSelf(coordinatorId)) {
      this.#service.dropped(askId);
    } else {
      this.#send(coordinatorId, { kind: MessageKind.Drop, askId });
    }
  }

  #shun(instanceId: string, nowMs: number): void {
    if (this.#choice.shun(instanceId, nowMs)) {
      this.#parts.onStandIn?.(this.#choice.scope(nowMs).share);
      this.#send(instanceId, { kind: MessageKind.Unanswered });
      this.#parts.log.warn(LogPart.Placement, "coordinator is silent", {
        coordinatorId: instanceId,
        silentMs: Math.round(this.#answers.silenceTimeoutMs),
      });
    }
  }

  #leftUnanswered(byId: string | undefined, nowMs: number): void {
    const { members } = this.#parts.board;
    if (byId !== undefined) {
      members.leftUnanswered(byId, nowMs);
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

function runningOf(
  ask: WorkAsk,
  { targetId, isTrial }: PlaceDecision,
): RunningWork {
  const { askId, pool, rank, promptTokens, outputTokens, fingerprint } = ask;
  return {
    askId,
    pool,
    targetId,
    rank,
    promptTokens,
    outputTokens,
    firstSeen: false,
    ...(isTrial ? { trialOf: fingerprint } : undefined),
  };
}
