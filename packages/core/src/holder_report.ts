/** The holder's beats, and its reports to the coordinators it deals with. */

import {
  PeerMessageKind,
  type RunningWork,
} from "@chestnuthatch/wire/peer_messages";
import { AskState, type HeldRequest, shardKey } from "./blackboard.ts";
import type { Turn } from "./controller.ts";
import { rankCoordinators } from "./coordinators.ts";
import { RequestState } from "./request.ts";

/** How often the holder's beat rises. */
export const HOLDER_BEAT_MS = 250;
/** Beats remembered for judging the age of grants. */
const MAX_BEATS = 64;

interface Report {
  readonly pool: string;
  readonly failureDomain: string;
  readonly coordinatorId: string;
  readonly waitingRequestIds: string[];
  readonly running: RunningWork[];
}

/**
 * Raises the holder's beat when it is due.
 *
 * @param turn The turn of a tick.
 */
export function beat(turn: Turn): void {
  const { requests } = turn.board;
  if (turn.nowMs - requests.lastBeatAtMs < HOLDER_BEAT_MS) {
    return;
  }
  requests.lastBeatAtMs = turn.nowMs;
  requests.holderBeat += 1;
  requests.beatStartedAtMs.set(requests.holderBeat, turn.nowMs);
  requests.beatStartedAtMs.delete(requests.holderBeat - MAX_BEATS);
}

/**
 * Reports waiting and running requests to their coordinators when it is due.
 *
 * @param turn The turn of a tick.
 */
export function reportToCoordinators(turn: Turn): void {
  const { requests, settings } = turn.board;
  const everyMs = settings.inForce!.timing.holderReportMs;
  if (turn.nowMs - requests.lastReportAtMs < everyMs) {
    return;
  }
  requests.lastReportAtMs = turn.nowMs;
  const reports = gatherReports(turn);
  addClosingReports(turn, reports);
  requests.lastReportRecipients.clear();
  for (const report of reports.values()) {
    sendReport(turn, report);
    rememberReport(turn, report);
  }
}

function gatherReports(turn: Turn): Map<string, Report> {
  const reports = new Map<string, Report>();
  for (const request of turn.board.requests.unfinished.values()) {
    if (request.state === RequestState.Waiting) {
      addWaiting(reports, request);
    } else if (request.state === RequestState.Dispatched) {
      addRunning(turn, reports, request);
    }
  }
  return reports;
}

function addWaiting(reports: Map<string, Report>, request: HeldRequest): void {
  for (const ask of request.asks.values()) {
    if (ask.state !== AskState.Refused) {
      reportFor(reports, {
        pool: request.spec.pool,
        failureDomain: ask.failureDomain,
        coordinatorId: ask.coordinatorId,
      }).waitingRequestIds.push(request.spec.requestId);
    }
  }
}

function addRunning(
  turn: Turn,
  reports: Map<string, Report>,
  request: HeldRequest,
): void {
  const { pool } = request.spec;
  const { failureDomain, coordinatorId } = request.attempt!;
  const work = runningWorkOf(request);
  const key = shardKey(pool, failureDomain);
  const [rightful] = rankCoordinators(
    turn.board,
    { key, failureDomain },
    turn.nowMs,
  );
  const rightfulId = rightful?.instanceId ?? coordinatorId;
  for (const id of new Set([coordinatorId, rightfulId])) {
    reportFor(reports, { pool, failureDomain, coordinatorId: id })
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

function addClosingReports(turn: Turn, reports: Map<string, Report>): void {
  for (
    const [key, coordinatorIds] of turn.board.requests.lastReportRecipients
  ) {
    const separator = key.lastIndexOf("@");
    for (const coordinatorId of coordinatorIds) {
      reportFor(reports, {
        pool: key.slice(0, separator),
        failureDomain: key.slice(separator + 1),
        coordinatorId,
      });
    }
  }
}

function reportFor(
  reports: Map<string, Report>,
  of: { pool: string; failureDomain: string; coordinatorId: string },
): Report {
  const key = `${shardKey(of.pool, of.failureDomain)}/${of.coordinatorId}`;
  const report = reports.get(key) ??
    { ...of, waitingRequestIds: [], running: [] };
  reports.set(key, report);
  return report;
}

function sendReport(turn: Turn, report: Report): void {
  const { coordinatorId, ...body } = report;
  turn.send(coordinatorId, {
    kind: PeerMessageKind.HolderReport,
    holderBeat: turn.board.requests.holderBeat,
    ...body,
  });
}

function rememberReport(turn: Turn, report: Report): void {
  if (report.waitingRequestIds.length + report.running.length === 0) {
    return;
  }
  const { lastReportRecipients: reportedTo } = turn.board.requests;
  const key = shardKey(report.pool, report.failureDomain);
  const ids = reportedTo.get(key) ?? new Set();
  ids.add(report.coordinatorId);
  reportedTo.set(key, ids);
}
