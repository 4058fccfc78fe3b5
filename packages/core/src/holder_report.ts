/** The holder's beat counter, and its reports to coordinators. */

import {
  PeerMessageKind,
  type RunningWork,
} from "@chestnuthatch/wire/peer_messages";
import { AskState, type HeldRequest, shardKey } from "./blackboard.ts";
import type { Turn } from "./controller.ts";
import { rankCoordinators } from "./coordinators.ts";
import { RequestState } from "./request.ts";

/** Interval at which the holder's beat is incremented. */
export const HOLDER_BEAT_INTERVAL_MS = 250;
/** Beats whose start times are kept, to compute the age of grants. */
const MAX_RECORDED_BEATS = 64;

/** A report under construction, for one coordinator of one shard. */
interface PendingReport {
  readonly pool: string;
  readonly failureDomain: string;
  readonly coordinatorId: string;
  readonly waitingRequestIds: string[];
  readonly running: RunningWork[];
}

/**
 * Increments the holder's beat when its interval has passed. The beat is the
 * holder's logical clock: coordinators echo it in grants, whose lifetime counts
 * from the start of that beat.
 *
 * @param turn The turn of a tick event.
 */
export function incrementHolderBeat(turn: Turn): void {
  const { requests } = turn.board;
  if (turn.nowMs - requests.lastBeatAtMs < HOLDER_BEAT_INTERVAL_MS) {
    return;
  }
  requests.lastBeatAtMs = turn.nowMs;
  requests.holderBeat += 1;
  requests.beatStartedAtMs.set(requests.holderBeat, turn.nowMs);
  requests.beatStartedAtMs.delete(requests.holderBeat - MAX_RECORDED_BEATS);
}

/**
 * Reports waiting and running requests to their coordinators when the report
 * interval has passed. A coordinator that got the previous report but has no
 * request of this holder now gets one empty report, so that it closes the rest.
 *
 * @param turn The turn of a tick event.
 */
export function reportToCoordinators(turn: Turn): void {
  const { requests, settings } = turn.board;
  const intervalMs = settings.inForce!.timing.holderReportMs;
  if (turn.nowMs - requests.lastReportAtMs < intervalMs) {
    return;
  }
  requests.lastReportAtMs = turn.nowMs;
  const reports = collectReports(turn);
  addFinalReports(turn, reports);
  requests.lastReportRecipients.clear();
  for (const report of reports.values()) {
    sendReport(turn, report);
    recordRecipient(turn, report);
  }
}

function collectReports(turn: Turn): Map<string, PendingReport> {
  const reports = new Map<string, PendingReport>();
  for (const request of turn.board.requests.unfinished.values()) {
    if (request.state === RequestState.Waiting) {
      addWaitingRequest(reports, request);
    } else if (request.state === RequestState.Dispatched) {
      addRunningRequest(turn, reports, request);
    }
  }
  return reports;
}

function addWaitingRequest(
  reports: Map<string, PendingReport>,
  request: HeldRequest,
): void {
  for (const ask of request.asks.values()) {
    if (ask.state !== AskState.Refused) {
      getOrCreateReport(reports, {
        pool: request.spec.pool,
        failureDomain: ask.failureDomain,
        coordinatorId: ask.coordinatorId,
      }).waitingRequestIds.push(request.spec.requestId);
    }
  }
}

function addRunningRequest(
  turn: Turn,
  reports: Map<string, PendingReport>,
  request: HeldRequest,
): void {
  const { pool } = request.spec;
  const { failureDomain, coordinatorId } = request.attempt!;
  const work = runningWorkOf(request);
  const key = shardKey(pool, failureDomain);
  const [currentCoordinator] = rankCoordinators(
    turn.board,
    { key, failureDomain },
    turn.nowMs,
  );
  const currentCoordinatorId = currentCoordinator?.instanceId ?? coordinatorId;
  for (const id of new Set([coordinatorId, currentCoordinatorId])) {
    getOrCreateReport(reports, { pool, failureDomain, coordinatorId: id })
      .running.push(work);
  }
}

function runningWorkOf(request: HeldRequest): RunningWork {
  const attempt = request.attempt!;
  return {
    requestId: request.spec.requestId,
    grantId: attempt.grantId,
    targetId: attempt.targetId,
    pool: request.spec.pool,
    workspace: request.spec.workspace,
    tierRank: request.policy.rank,
    promptTokens: request.spec.promptTokens,
    expectedOutputTokens: request.expectedOutputTokens,
    maxOutputTokens: request.maxOutputTokens,
    cancellable: request.cancellable,
  };
}

function addFinalReports(
  turn: Turn,
  reports: Map<string, PendingReport>,
): void {
  for (
    const [key, coordinatorIds] of turn.board.requests.lastReportRecipients
  ) {
    const separator = key.lastIndexOf("@");
    for (const coordinatorId of coordinatorIds) {
      getOrCreateReport(reports, {
        pool: key.slice(0, separator),
        failureDomain: key.slice(separator + 1),
        coordinatorId,
      });
    }
  }
}

function getOrCreateReport(
  reports: Map<string, PendingReport>,
  of: { pool: string; failureDomain: string; coordinatorId: string },
): PendingReport {
  const key = `${shardKey(of.pool, of.failureDomain)}/${of.coordinatorId}`;
  const report = reports.get(key) ??
    { ...of, waitingRequestIds: [], running: [] };
  reports.set(key, report);
  return report;
}

function sendReport(turn: Turn, report: PendingReport): void {
  const { coordinatorId, ...body } = report;
  turn.send(coordinatorId, {
    kind: PeerMessageKind.HolderReport,
    holderBeat: turn.board.requests.holderBeat,
    ...body,
  });
}

function recordRecipient(turn: Turn, report: PendingReport): void {
  if (report.waitingRequestIds.length + report.running.length === 0) {
    return;
  }
  const { lastReportRecipients: recipientsByShard } = turn.board.requests;
  const key = shardKey(report.pool, report.failureDomain);
  const ids = recipientsByShard.get(key) ?? new Set();
  ids.add(report.coordinatorId);
  recipientsByShard.set(key, ids);
}
