/**
 * The holder's side of placement. A holder is the instance that received a
 * caller's request. It asks the coordinator, the instance elected to assign
 * requests to targets, for a placement, resends unacknowledged asks, and
 * assigns targets by itself while the coordinator does not respond.
 */

import type { AdmissionForecast } from "@chestnuthatch/routing/admission_forecast";
import { AnnouncedWaits } from "@chestnuthatch/routing/announced_waits";
import type { Coordinator } from "@chestnuthatch/routing/coordinator";
import type { MemberRecord } from "@chestnuthatch/routing/member_record";
import {
  MessageKind,
  type RoutingMessage,
} from "@chestnuthatch/routing/peer_messages";
import type { LoadReport } from "@chestnuthatch/routing/load_report";
import type { RoutingBoard } from "@chestnuthatch/routing/routing_board";
import {
  RecentRefusals,
  type Refusal,
} from "@chestnuthatch/routing/recent_refusals";
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
import { CoordinatorSelector } from "./coordinator_selector.ts";
import { HolderReporter } from "./holder_reporter.ts";
import { PlacementService } from "./placement_service.ts";
import {
  type DecisionHandler,
  isUnsent,
  MAX_UNACKNOWLEDGED_ASKS,
  maxWaitMs,
  NO_COORDINATOR,
  type OpenAsk,
  OpenAsks,
} from "./open_asks.ts";
import { type EventLog, LogPart } from "./event_log.ts";
import type { Clock } from "./ports.ts";

/**
 * Lower bound of the timeout after which an unacknowledged ask is sent again.
 * The timeout doubles with each resend, so that a coordinator under load gets
 * few repeats. An acknowledgement between failure domains takes about 3 ms; a
 * lost datagram delays a request by this timeout.
 */
const MIN_RESEND_MS = 40;

/** Minimum time between two notices to a coordinator that it answers late. */
const LATE_NOTICE_INTERVAL_MS = 500;

/**
 * Retry delay for callers whose ask this instance refuses, as the coordinator
 * did not answer it in time.
 */
const UNACKNOWLEDGED_RETRY_AFTER_MS = 500;

/** Kinds of message with which a coordinator answers asks and reports. */
const ANSWER_KINDS: ReadonlySet<MessageKind> = new Set([
  MessageKind.Queued,
  MessageKind.Decision,
  MessageKind.Unknown,
]);

/** Sends a message to another instance. */
export type PeerSend = (member: MemberRecord, message: RoutingMessage) => void;

/** Collaborators, settings and callbacks of a `PlacementClient`. */
export interface PlacementClientParts {
  readonly board: RoutingBoard;
  readonly coordinator: Coordinator;
  readonly clock: Clock;
  readonly log: EventLog;
  readonly send: PeerSend;
  /** Local time at which this instance began to record workspaces' spending. */
  readonly startedAtMs: number;
  /** Window over which the operators' bounds limit workspaces' spending. */
  readonly spendingWindowMs: number;
  /** Called when an ask begins to wait, to schedule the next tick sooner. */
  onWaiting?(): void;
  /**
   * Called when this instance refuses an ask by the coordinator's announced
   * waits.
   *
   * @param pool Name of the pool.
   */
  onRefusedByHolder?(pool: string): void;
  /** Called before this instance assigns a target. */
  onAssigning?(): void;
}

/**
 * Gets placements for this instance's requests, and passes messages of other
 * holders to the local `PlacementService`.
 */
export class PlacementClient {
  readonly #parts: PlacementClientParts;
  readonly #openAsks = new OpenAsks();
  readonly #selector: CoordinatorSelector;
  readonly #service: PlacementService;
  readonly #reporter: HolderReporter;
  readonly #failureDetector: CoordinatorFailureDetector;
  readonly #refusals = new RecentRefusals();
  readonly #announcedWaits = new AnnouncedWaits();
  #lateNoticeSentAtMs = -Infinity;

  /** @param parts Collaborators, settings and callbacks. */
  constructor(parts: PlacementClientParts) {
    this.#parts = parts;
    const { board, startedAtMs, spendingWindowMs } = parts;
    this.#reporter = new HolderReporter({
      board,
      openAsks: this.#openAsks,
      spendingWindowMs,
    });
    this.#selector = new CoordinatorSelector(board.members, {
      startedAtMs,
      spendingReportedAtMs: (id) => parts.coordinator.spendingReportedAtMs(id),
      contactedAtMs: (id) => parts.coordinator.contactedAtMs(id),
      countsSpendingOf: (id) => parts.coordinator.countsSpendingOf(id),
    });
    this.#failureDetector = new CoordinatorFailureDetector(board.members);
    this.#service = new PlacementService({
      coordinator: parts.coordinator,
      clock: parts.clock,
      selfId: board.members.selfId,
      scope: () => this.#selector.scope(this.#nowMs()),
      send: (holderId, message) => this.#send(holderId, message),
      onLocalDecision: (decision) =>
        this.#applyDecision(decision, decision.holderId),
      onWaiting: () => this.#parts.onWaiting?.(),
      onAsked: () => this.#parts.onAssigning?.(),
    });
  }

  /** Share of the fleet's limits that this instance may hand out. */
  get share(): number {
    return this.#selector.scope(this.#nowMs()).share;
  }

  /** Instance id of the coordinator that new asks are sent to. */
  get coordinatorId(): string {
    return this.#coordinator().instanceId;
  }

  /**
   * Whether any ask waits for a placement: one of this holder, or one queued at
   * this instance as coordinator.
   */
  get hasWaiting(): boolean {
    return this.#openAsks.hasWaiting || this.#service.hasWaiting;
  }

  /**
   * Asks the coordinator to assign a request to a target.
   *
   * @param ask Describes the request; its `askId` is new.
   * @param onDecision Called once with the placement or refusal, unless the ask
   * is dropped before.
   */
  ask(ask: WorkAsk, onDecision: DecisionHandler): void {
    const nowMs = this.#nowMs();
    const refusal = this.#refusals.refusalFor(ask, nowMs) ??
      this.#refuseByAnnouncedWaits(ask, nowMs);
    if (refusal !== undefined) {
      onDecision(refusal, NO_COORDINATOR);
      return;
    }
    const openAsk: OpenAsk = {
      ask,
      openedAtMs: nowMs,
      onDecision,
      coordinatorId: NO_COORDINATOR,
      sentAtMs: nowMs,
      firstSentAtMs: nowMs,
      acknowledged: false,
      resendAfterMs: MIN_RESEND_MS,
    };
    this.#openAsks.add(openAsk);
    this.#sendUnsent();
    if (isUnsent(openAsk) && this.#unsentWaitMs(openAsk) > maxWaitMs(openAsk)) {
      this.#refuse(openAsk);
    } else if (openAsk.running === undefined) {
      this.#parts.onWaiting?.();
    }
  }

  /**
   * Records the waits that the coordinator announced.
   *
   * @param coordinatorId Instance id of the coordinator.
   * @param forecasts All waits that it announced.
   */
  waitsAnnounced(
    coordinatorId: string,
    forecasts: readonly AdmissionForecast[],
  ): void {
    this.#announcedWaits.record(coordinatorId, forecasts, this.#nowMs());
  }

  #refuseByAnnouncedWaits(ask: WorkAsk, nowMs: number): Refusal | undefined {
    if (this.#parts.board.members.isFullMesh) {
      return undefined;
    }
    const { coordinatorId } = this;
    const refusal = this.#announcedWaits
      .refusalFor(ask, { coordinatorId, nowMs });
    if (refusal !== undefined) {
      this.#reporter.recordRefusal(ask);
      this.#parts.onRefusedByHolder?.(ask.pool);
    }
    return refusal;
  }

  /** Estimates how long an ask stays unsent, from the asks sent before it. */
  #unsentWaitMs(openAsk: OpenAsk): number {
    return this.#openAsks.unsentCountUpTo(openAsk) *
      this.#failureDetector.meanAnswerMs /
      MAX_UNACKNOWLEDGED_ASKS;
  }

  /** Sends unsent asks, up to the bound on unacknowledged ones. */
  #sendUnsent(): void {
    for (const openAsk of this.#openAsks.sendable()) {
      // A local decision on an earlier one may have sent it in a nested call.
      if (isUnsent(openAsk)) {
        this.#sendTo(this.#coordinator(), openAsk);
      }
    }
  }

  /**
   * Withdraws an ask whose caller no longer waits for a placement.
   *
   * @param askId The ask's id; unknown ids are ignored.
   * @param unusableTargetId Target of its placement, if that is known here as
   * removed or leaving; else absent.
   */
  drop(askId: string, unusableTargetId?: string): void {
    const openAsk = this.#openAsks.get(askId);
    if (openAsk !== undefined) {
      this.#openAsks.remove(askId);
      this.#sendDrop(openAsk.coordinatorId, askId, unusableTargetId);
      this.#sendUnsent();
    }
  }

  /**
   * Reports to the coordinator that a target sent the first event of an answer.
   *
   * @param askId Id of the ask that got the placement.
   * @param of Load that the target reported with the answer, if it did.
   */
  reportFirstEvent(askId: string, of: { load?: LoadReport } = {}): void {
    const openAsk = this.#openAsks.get(askId);
    if (openAsk?.running === undefined) {
      return;
    }
    openAsk.running = { ...openAsk.running, firstSeen: true };
    if (this.#isSelf(openAsk.coordinatorId)) {
      this.#service.handleFirstSeen(askId, of);
    } else {
      const kind = MessageKind.FirstSeen;
      this.#send(openAsk.coordinatorId, { kind, askId, ...of });
    }
  }

  /**
   * Reports to the coordinator that a request's run at a target has ended.
   *
   * @param end The run's outcome.
   */
  reportEnd(end: WorkEnd): void {
    const openAsk = this.#openAsks.get(end.askId);
    this.#openAsks.markEnded(end.askId);
    // The local coordinator records it too, in case this instance is elected.
    this.#service.handleEnd(end);
    if (openAsk !== undefined && !this.#isSelf(openAsk.coordinatorId)) {
      this.#send(openAsk.coordinatorId, { kind: MessageKind.End, end });
    }
  }

  /**
   * Handles a message of another instance, sent to this one as holder or as
   * coordinator. Kinds that do not concern placement are ignored.
   *
   * @param message The message.
   * @param fromId Instance id of the sender; undefined if its address is
   * unknown.
   */
  handleMessage(message: RoutingMessage, fromId: string | undefined): void {
    const nowMs = this.#nowMs();
    if (fromId !== undefined && ANSWER_KINDS.has(message.kind)) {
      const tookMs = this.#firstAnswerMs(message, fromId);
      this.#failureDetector.recordAnswer(fromId, { nowMs, tookMs });
    }
    switch (message.kind) {
      case MessageKind.Ask:
        this.#service.handleAsk(message.ask);
        return;
      case MessageKind.FirstSeen:
        this.#service.handleFirstSeen(message.askId, message);
        return;
      case MessageKind.End:
        this.#service.handleEnd(message.end);
        return;
      case MessageKind.Drop:
        this.#service.handleDrop(message.askId, message.unusableTargetId);
        return;
      case MessageKind.Report:
        this.#service.handleReport(message.report);
        return;
      case MessageKind.Unknown:
        this.#resendUnknown(message.askIds, fromId);
        return;
      case MessageKind.Queued:
        this.#acknowledge(message.askId, fromId);
        return;
      case MessageKind.Decision:
        this.#applyDecision(message.decision, fromId);
        return;
      case MessageKind.PassedOver:
        this.#recordUnanswered(fromId, nowMs);
        return;
      default:
        return;
    }
  }

  /**
   * Time from the first send of an ask to its first answer; undefined unless
   * the message is that answer.
   */
  #firstAnswerMs(message: RoutingMessage, fromId: string): number | undefined {
    const askId = message.kind === MessageKind.Queued
      ? message.askId
      : message.kind === MessageKind.Decision
      ? message.decision.askId
      : "";
    const openAsk = this.#openAsks.get(askId);
    const isFirst = openAsk !== undefined && !openAsk.acknowledged &&
      openAsk.coordinatorId === fromId;
    return isFirst ? this.#nowMs() - openAsk.firstSentAtMs : undefined;
  }

  /**
   * Does the periodic work: resends and expires waiting asks, skips
   * coordinators that do not respond, sends due reports, and runs the
   * coordinator's timeouts.
   */
  tick(): void {
    const nowMs = this.#nowMs();
    const coordinator = this.#coordinator();
    for (const openAsk of this.#openAsks.waiting()) {
      // A local decision on an earlier one may have ended its wait.
      if (this.#openAsks.isWaiting(openAsk)) {
        this.#checkWaiting(openAsk, coordinator, nowMs);
      }
    }
    this.#sendUnsent();
    this.#reportIfDue(coordinator, nowMs);
    this.#service.tick();
  }

  #checkWaiting(
    openAsk: OpenAsk,
    coordinator: MemberRecord,
    nowMs: number,
  ): void {
    if (nowMs - openAsk.openedAtMs > maxWaitMs(openAsk)) {
      this.#refuse(openAsk);
      return;
    }
    if (isUnsent(openAsk)) {
      return;
    }
    const { coordinatorId, firstSentAtMs: sinceMs } = openAsk;
    const responsiveness = openAsk.acknowledged
      ? Responsiveness.InTime
      : this.#failureDetector.responsivenessOf(coordinatorId, {
        sinceMs,
        nowMs,
      });
    if (responsiveness === Responsiveness.Failed) {
      this.#skipCoordinator(coordinatorId, nowMs);
      this.#sendDrop(coordinatorId, openAsk.ask.askId);
      const isKnown = this.#parts.coordinator
        .knowsVersionOf(openAsk.ask, nowMs);
      this.#sendTo(isKnown ? this.#self() : this.#coordinator(), openAsk);
      return;
    }
    if (responsiveness === Responsiveness.Late) {
      this.#sendLateNotice(coordinatorId, nowMs);
    }
    const hasMoved = coordinatorId !== coordinator.instanceId &&
      !this.#isSelf(coordinatorId);
    const waitedMs = nowMs - openAsk.sentAtMs;
    if (hasMoved && waitedMs >= MIN_RESEND_MS) {
      this.#sendDrop(coordinatorId, openAsk.ask.askId);
      this.#sendTo(coordinator, openAsk);
    } else if (!openAsk.acknowledged && waitedMs >= openAsk.resendAfterMs) {
      openAsk.resendAfterMs *= 2;
      this.#sendTo(this.#member(coordinatorId) ?? coordinator, openAsk);
    }
  }

  /**
   * Refuses an ask that the coordinator did not answer in time. Its request has
   * not been executed.
   */
  #refuse(openAsk: OpenAsk): void {
    const { askId, holderId } = openAsk.ask;
    const nowMs = this.#nowMs();
    this.#openAsks.remove(askId);
    this.#sendDrop(openAsk.coordinatorId, askId);
    openAsk.onDecision({
      askId,
      holderId,
      refusal: AskRefusal.Overload,
      retryAfterMs: UNACKNOWLEDGED_RETRY_AFTER_MS,
      figures: {
        heldBack: Number(isUnsent(openAsk)),
        unheardMs: Math.round(nowMs - openAsk.openedAtMs),
        answersTakeMs: Math.round(this.#failureDetector.meanAnswerMs),
      },
    }, openAsk.coordinatorId);
  }

  /**
   * Notifies a coordinator that it answers late. It stands aside if half
   * of the members send it such notices.
   */
  #sendLateNotice(coordinatorId: string, nowMs: number): void {
    if (nowMs - this.#lateNoticeSentAtMs >= LATE_NOTICE_INTERVAL_MS) {
      this.#lateNoticeSentAtMs = nowMs;
      this.#send(coordinatorId, { kind: MessageKind.PassedOver });
    }
  }

  #sendTo(member: MemberRecord, openAsk: OpenAsk): void {
    const nowMs = this.#nowMs();
    const elapsedMs = nowMs - openAsk.openedAtMs;
    if (openAsk.coordinatorId !== member.instanceId) {
      openAsk.coordinatorId = member.instanceId;
      openAsk.firstSentAtMs = nowMs;
      openAsk.acknowledged = false;
      openAsk.resendAfterMs = Math.max(
        MIN_RESEND_MS,
        this.#failureDetector.usualAnswerMs,
      );
    }
    openAsk.sentAtMs = nowMs;
    // The objective also has to cover the way to the coordinator and back.
    const roundTripMs = this.#isSelf(member.instanceId)
      ? 0
      : this.#failureDetector.meanAnswerMs;
    const ask = {
      ...openAsk.ask,
      objectiveLeftMs: openAsk.ask.objectiveLeftMs - elapsedMs - roundTripMs,
      patienceLeftMs: openAsk.ask.patienceLeftMs - elapsedMs,
      deadlineLeftMs: openAsk.ask.deadlineLeftMs - elapsedMs,
    };
    if (this.#isSelf(member.instanceId)) {
      openAsk.acknowledged = true;
      this.#service.handleAsk(ask);
    } else {
      this.#parts.send(member, { kind: MessageKind.Ask, ask });
    }
  }

  #applyDecision(decision: AskDecision, fromId: string | undefined): void {
    const openAsk = this.#openAsks.get(decision.askId);
    const isExpected = openAsk !== undefined && openAsk.running === undefined &&
      openAsk.coordinatorId === fromId;
    if (!isExpected) {
      const isKnown = openAsk?.coordinatorId === fromId ||
        this.#openAsks.hasEnded(decision.askId);
      if ("targetId" in decision && fromId !== undefined && !isKnown) {
        this.#sendDrop(fromId, decision.askId);
      }
      return;
    }
    if ("targetId" in decision) {
      openAsk.running = runningOf(openAsk.ask, decision);
      this.#reporter.recordPlacement(openAsk.ask, this.#nowMs());
    } else {
      this.#openAsks.remove(decision.askId);
      if (fromId === this.coordinatorId) {
        this.#refusals.record(openAsk.ask, decision, this.#nowMs());
      }
    }
    openAsk.onDecision(decision, openAsk.coordinatorId);
    this.#sendUnsent();
  }

  #reportIfDue(coordinator: MemberRecord, nowMs: number): void {
    const dueReport = this.#reporter.dueReport(coordinator.instanceId, nowMs);
    if (dueReport === undefined) {
      return;
    }
    if (dueReport.isFirst) {
      this.#refusals.clear();
    }
    const { report } = dueReport;
    if (this.#isSelf(coordinator.instanceId)) {
      this.#service.handleReport(report);
    } else {
      this.#parts.send(coordinator, { kind: MessageKind.Report, report });
    }
  }

  /**
   * Resends asks that the coordinator does not know: either the asks or its
   * refusals of them were lost.
   */
  #resendUnknown(askIds: readonly string[], fromId: string | undefined): void {
    for (const askId of askIds) {
      const openAsk = this.#openAsks.get(askId);
      const member = this.#member(fromId ?? "");
      if (
        openAsk === undefined || openAsk.running !== undefined ||
        openAsk.coordinatorId !== member?.instanceId
      ) {
        continue;
      }
      if (this.#nowMs() - openAsk.sentAtMs >= MIN_RESEND_MS) {
        this.#sendTo(member, openAsk);
      }
    }
  }

  #acknowledge(askId: string, fromId: string | undefined): void {
    const openAsk = this.#openAsks.get(askId);
    if (openAsk !== undefined && openAsk.coordinatorId === fromId) {
      openAsk.acknowledged = true;
      this.#sendUnsent();
    }
  }

  #sendDrop(
    coordinatorId: string,
    askId: string,
    unusableTargetId?: string,
  ): void {
    if (coordinatorId === NO_COORDINATOR) {
      return;
    }
    if (this.#isSelf(coordinatorId)) {
      this.#service.handleDrop(askId, unusableTargetId);
    } else {
      this.#send(coordinatorId, {
        kind: MessageKind.Drop,
        askId,
        ...(unusableTargetId === undefined ? undefined : { unusableTargetId }),
      });
    }
  }

  #skipCoordinator(instanceId: string, nowMs: number): void {
    if (this.#selector.skip(instanceId, nowMs)) {
      this.#send(instanceId, { kind: MessageKind.PassedOver });
      this.#parts.log.warn(LogPart.Placement, "coordinator is silent", {
        coordinatorId: instanceId,
        silentMs: Math.round(this.#failureDetector.silenceTimeoutMs),
      });
    }
  }

  #recordUnanswered(memberId: string | undefined, nowMs: number): void {
    const { members } = this.#parts.board;
    if (memberId !== undefined) {
      members.passedOverBy(memberId, nowMs);
    }
  }

  #coordinator(): MemberRecord {
    return this.#selector.current(this.#nowMs());
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
  const { askId, pool, rank, promptTokens, outputTokens } = ask;
  return {
    askId,
    pool,
    targetId,
    rank,
    promptTokens,
    outputTokens,
    firstSeen: false,
    ...(isTrial
      ? { trialOf: ask.fingerprint, trialParts: ask.promptParts }
      : undefined),
  };
}
