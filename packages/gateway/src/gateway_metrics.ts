/** Counters, gauges and histograms, served on the metrics address. */

/// <reference path="./prom_client.d.ts" />
import Counter from "prom-client/lib/counter.js";
import Gauge from "prom-client/lib/gauge.js";
import Histogram from "prom-client/lib/histogram.js";
import Registry from "prom-client/lib/registry.js";

/** Upper bounds of the latency buckets, in milliseconds. */
const LATENCY_BUCKETS_MS = [
  5,
  10,
  25,
  50,
  100,
  200,
  400,
  800,
  1600,
  3200,
  6400,
  15_000,
];

/** Failure domain of a target, as seen from the instance that sends to it. */
export enum TargetDomain {
  Own = "own",
  Other = "other",
}

/** All metrics of one instance; each method records an event or a value. */
export class GatewayMetrics {
  readonly #registry = new Registry();
  // First, as monitoring may cut the output off after some lines, and the
  // counters by route are many.
  readonly #configurationVersion = this.#gauge(
    "configuration_version",
    "Version of the configuration in force.",
  );
  readonly #configurationAgeMs = this.#gauge(
    "configuration_age_ms",
    "Time since the configuration in force was last known to be the newest.",
  );
  readonly #relayedTargets = this.#gauge(
    "relayed_targets",
    "Targets that are reached through other instances only.",
  );
  readonly #pausedTargets = this.#gauge(
    "paused_targets",
    "Targets that get no requests, as holders could not use them.",
  );
  readonly #workspacesOverShare = this.#gauge(
    "workspaces_over_share",
    "Workspaces whose requests go behind those of others, by pool and rank.",
  );
  readonly #overShareBegins = this.#counter(
    "over_share_begins_total",
    "Times that a workspace came to be over its share of a pool.",
    ["pool"],
  );
  readonly #unexpectedErrors = this.#counter(
    "unexpected_errors_total",
    "Errors that no part of the program handled.",
    [],
  );
  readonly #processMemoryBytes = this.#gauge(
    "process_memory_bytes",
    "Memory of the machine that the process occupies.",
  );
  readonly #requests = this.#counter("requests_total", "Requests read.", [
    "route",
  ]);
  readonly #answers = this.#counter(
    "answers_total",
    "Answers of targets that were passed on whole.",
    ["route", "status"],
  );
  readonly #errors = this.#counter(
    "errors_total",
    "Requests answered with an error of the gateway.",
    ["route", "error"],
  );
  readonly #attempts = this.#counter(
    "attempts_total",
    "Sends to targets, by how they ended.",
    ["pool", "end"],
  );
  readonly #holderRefusals = this.#counter(
    "holder_refusals_total",
    "Asks that this instance refused by the coordinator's announced waits.",
    ["pool"],
  );
  readonly #relayedRequests = this.#counter(
    "relayed_requests_total",
    "Requests of other instances to relay to targets.",
    ["outcome"],
  );
  readonly #peerMessages = this.#counter(
    "peer_messages_total",
    "Messages from other instances.",
    ["kind"],
  );
  readonly #storeRestores = this.#counter(
    "store_went_back_total",
    "Returns of the platform's store from an older copy",
    [],
  );
  readonly #firstByteMs = this.#histogram(
    "first_byte_ms",
    "Time to a stream's first event or to the answer.",
    ["route"],
  );
  readonly #placementMs = this.#histogram(
    "placement_ms",
    "Time until a place at a target was given.",
    ["pool"],
  );
  readonly #sendsByDomain = this.#counter(
    "sends_by_domain_total",
    "Sends to targets, by whether they stay in this failure domain.",
    ["domain"],
  );
  readonly #endedConnections = this.#counter(
    "caller_connections_ended_total",
    "Connections of callers, by what ended them.",
    ["end"],
  );
  readonly #unansweredRequests = this.#counter(
    "unanswered_requests_total",
    "Requests whose connection ended before their answer was written out.",
    ["end", "answer"],
  );
  readonly #timerDelayMs = this.#histogram(
    "timer_late_ms",
    "By how much regular timers were late.",
    [],
  );
  readonly #rolloutSteps = this.#counter(
    "rollout_steps_total",
    "Steps of roll-outs that this instance decided.",
    ["pool", "phase"],
  );
  readonly #targetSignals = this.#counter(
    "target_signals_total",
    "Changes of belief about targets that attempts brought.",
    ["signal", "source"],
  );
  readonly #targetLoadReports = this.#counter(
    "target_load_reports_total",
    "Reports of targets on their load, by what became of them.",
    ["result"],
  );
  readonly #slowTargets = this.#gauge(
    "slow_targets",
    "Targets that report a slow period, as the coordinator knows them.",
  );
  readonly #openRequests = this.#gauge(
    "open_requests",
    "Requests in progress.",
  );
  readonly #standingBacklogs = this.#gauge(
    "standing_backlogs",
    "Ranks with a standing backlog at this coordinator.",
    ["pool"],
  );
  readonly #unreadableRows = this.#counter(
    "unreadable_rows_total",
    "Rows of the platform's store that could not be read.",
    ["what"],
  );
  readonly #storeCallFailures = this.#counter(
    "store_call_failures_total",
    "Calls to the platform's store that failed.",
    ["table"],
  );

  /**
   * Counts a request that was read.
   *
   * @param route Name of the route.
   */
  requestRead(route: string): void {
    this.#requests.inc({ route });
  }

  /**
   * Counts a target's answer that was forwarded whole.
   *
   * @param route Name of the route.
   * @param status Status code of the answer.
   */
  answerForwarded(route: string, status: number): void {
    this.#answers.inc({ route, status });
  }

  /**
   * Counts a request that the gateway answered with an error of its own.
   *
   * @param route Name of the route.
   * @param error Kind of the error.
   */
  errorAnswered(route: string, error: string): void {
    this.#errors.inc({ route, error });
  }

  /**
   * Counts an attempt to send a request to a target.
   *
   * @param pool Name of the pool.
   * @param end How the attempt ended.
   */
  attemptEnded(pool: string, end: string): void {
    this.#attempts.inc({ pool, end });
  }

  /**
   * Counts an ask that this instance refused by the coordinator's announced
   * waits.
   *
   * @param pool Name of the pool.
   */
  askRefusedByHolder(pool: string): void {
    this.#holderRefusals.inc({ pool });
  }

  /** Counts a return of the platform's store from an older copy. */
  storeRestored(): void {
    this.#storeRestores.inc();
  }

  /**
   * Counts a step of a roll-out that this instance decided.
   *
   * @param pool Name of the pool.
   * @param phase The phase that the roll-out has entered.
   */
  rolloutStep(pool: string, phase: string): void {
    this.#rolloutSteps.inc({ pool, phase });
  }

  /**
   * Counts a change in the known state of a target.
   *
   * @param signal The signal that an answer of the target carried.
   * @param source Whether the signal came from an answer or another instance.
   */
  targetSignal(signal: string, source: string): void {
    this.#targetSignals.inc({ signal, source });
  }

  /**
   * Counts a target's report on its load that reached this coordinator.
   *
   * @param result What became of the report.
   */
  targetLoadReport(result: string): void {
    this.#targetLoadReports.inc({ result });
  }

  /** @param count Number of targets that are in a slow period now. */
  slowTargets(count: number): void {
    this.#slowTargets.set(count);
  }

  /**
   * Counts a message from another instance.
   *
   * @param kind Kind of the message.
   */
  peerMessage(kind: string): void {
    this.#peerMessages.inc({ kind });
  }

  /**
   * Records the latency of a request.
   *
   * @param route Name of the route.
   * @param latencyMs Time to a stream's first event, or to the answer.
   */
  firstByte(route: string, latencyMs: number): void {
    this.#firstByteMs.observe({ route }, latencyMs);
  }

  /**
   * Records the latency of a placement.
   *
   * @param pool Name of the pool.
   * @param latencyMs Time from the ask to the placement.
   */
  placed(pool: string, latencyMs: number): void {
    this.#placementMs.observe({ pool }, latencyMs);
  }

  /**
   * Counts a request that was placed and is sent to its target.
   *
   * @param domain Whether the target is in this instance's failure domain.
   */
  sentToDomain(domain: TargetDomain): void {
    this.#sendsByDomain.inc({ domain });
  }

  /**
   * Counts a caller's connection that ended.
   *
   * @param end What ended the connection.
   */
  connectionEnded(end: string): void {
    this.#endedConnections.inc({ end });
  }

  /**
   * Counts a request whose connection ended before its answer was written out.
   *
   * @param end What ended the connection.
   * @param answer Progress of the answer at that time.
   */
  unanswered(end: string, answer: string): void {
    this.#unansweredRequests.inc({ end, answer });
  }

  /**
   * Records the delay of a periodic timer.
   *
   * @param delayMs Time from when the timer was due until it fired.
   */
  timerDelayed(delayMs: number): void {
    this.#timerDelayMs.observe(delayMs);
  }

  /** Counts an error that no part of the program handled. */
  unexpectedError(): void {
    this.#unexpectedErrors.inc();
  }

  /** @param bytes Memory of the machine that the process occupies. */
  processMemory(bytes: number): void {
    this.#processMemoryBytes.set(bytes);
  }

  /** @param count Number of targets that are reached through others only. */
  relayedTargets(count: number): void {
    this.#relayedTargets.set(count);
  }

  /** @param count Number of targets paused for any failure domain. */
  pausedTargets(count: number): void {
    this.#pausedTargets.set(count);
  }

  /**
   * @param count Number of workspaces over their shares, counted once for each
   * pool and rank.
   */
  workspacesOverShare(count: number): void {
    this.#workspacesOverShare.set(count);
  }

  /**
   * Counts a workspace that came to be over its share.
   *
   * @param pool Name of the pool.
   */
  overShareBegan(pool: string): void {
    this.#overShareBegins.inc({ pool });
  }

  /**
   * Counts a request that another instance sent here to be relayed.
   *
   * @param outcome Whether it was relayed or refused.
   */
  relayedRequest(outcome: string): void {
    this.#relayedRequests.inc({ outcome });
  }

  /** @param count Number of requests in progress now. */
  openRequests(count: number): void {
    this.#openRequests.set(count);
  }

  /**
   * Sets the number of ranks with a standing backlog.
   *
   * @param pool Name of a pool of the configuration.
   * @param count Number of ranks.
   */
  standingBacklogs(pool: string, count: number): void {
    this.#standingBacklogs.set({ pool }, count);
  }

  /** @param version Version of the configuration in force. */
  configurationVersion(version: number): void {
    this.#configurationVersion.set(version);
  }

  /**
   * Sets the age of the configuration in force.
   *
   * @param ageMs Time since the configuration was last known to be the newest.
   */
  configurationAge(ageMs: number): void {
    this.#configurationAgeMs.set(Math.round(ageMs));
  }

  /**
   * Counts a row of the platform's store that could not be read.
   *
   * @param what Content of the row.
   */
  unreadableRow(what: string): void {
    this.#unreadableRows.inc({ what });
  }

  /**
   * Counts a failed call to the platform's store.
   *
   * @param table Table of the store that was called.
   */
  storeCallFailed(table: string): void {
    this.#storeCallFailures.inc({ table });
  }

  /** @returns All metrics in the Prometheus text format. */
  text(): Promise<string> {
    return this.#registry.metrics();
  }

  #counter(name: string, help: string, labelNames: string[]): Counter {
    return new Counter({
      name: `chestnuthatch_${name}`,
      help,
      labelNames,
      registers: [this.#registry],
    });
  }

  #histogram(name: string, help: string, labelNames: string[]): Histogram {
    return new Histogram({
      name: `chestnuthatch_${name}`,
      help,
      labelNames,
      buckets: LATENCY_BUCKETS_MS,
      registers: [this.#registry],
    });
  }

  #gauge(name: string, help: string, labelNames: string[] = []): Gauge {
    return new Gauge({
      name: `chestnuthatch_${name}`,
      help,
      labelNames,
      registers: [this.#registry],
    });
  }
}
