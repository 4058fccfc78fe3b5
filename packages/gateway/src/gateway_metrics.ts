/** Counters and histograms, served on the metrics address. */

import { Counter, Gauge, Histogram, Registry } from "prom-client";

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

/** All metrics of one instance. */
export class GatewayMetrics {
  readonly #registry = new Registry();
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
  readonly #peerMessages = this.#counter(
    "peer_messages_total",
    "Messages from other instances.",
    ["kind"],
  );
  readonly #storeReturns = this.#counter(
    "store_went_back_total",
    "Returns of the platform's store from an older copy",
    [],
  );
  readonly #first = this.#histogram(
    "first_byte_ms",
    "Time to a stream's first event or to the answer.",
    ["route"],
  );
  readonly #placement = this.#histogram(
    "placement_ms",
    "Time until a place at a target was given.",
    ["pool"],
  );
  readonly #connectionEnds = this.#counter(
    "caller_connections_ended_total",
    "Connections of callers, by what ended them.",
    ["end"],
  );
  readonly #unanswered = this.#counter(
    "unanswered_requests_total",
    "Requests whose connection ended before their answer was written out.",
    ["end", "answer"],
  );
  readonly #timerLate = this.#histogram(
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
    "Changes of belief about targets that answers brought.",
    ["signal", "source"],
  );
  readonly #open = this.#gauge("open_requests", "Requests in progress.");
  readonly #version = this.#gauge(
    "configuration_version",
    "Version of the configuration in force.",
  );
  readonly #configurationAge = this.#gauge(
    "configuration_age_ms",
    "Time since the configuration in force was last known to be the newest.",
  );
  readonly #unreadableRows = this.#counter(
    "unreadable_rows_total",
    "Rows of the platform's store that could not be read.",
    ["what"],
  );
  readonly #storeFailures = this.#counter(
    "store_call_failures_total",
    "Calls to the platform's store that failed.",
    ["table"],
  );

  /** @param route Name of the route of a request that was read. */
  requestRead(route: string): void {
    this.#requests.inc({ route });
  }

  /**
   * @param route Name of the route.
   * @param status Status code passed on.
   */
  answered(route: string, status: number): void {
    this.#answers.inc({ route, status });
  }

  /**
   * @param route Name of the route.
   * @param error Kind of the error.
   */
  failed(route: string, error: string): void {
    this.#errors.inc({ route, error });
  }

  /**
   * @param pool Name of the pool.
   * @param end How the attempt ended.
   */
  attemptEnded(pool: string, end: string): void {
    this.#attempts.inc({ pool, end });
  }

  /** The platform's store came back from an older copy. */
  storeWentBack(): void {
    this.#storeReturns.inc();
  }

  /**
   * @param pool Name of the pool.
   * @param phase The phase that its roll-out has entered.
   */
  rolloutStep(pool: string, phase: string): void {
    this.#rolloutSteps.inc({ pool, phase });
  }

  /**
   * @param signal What an answer told of its target.
   * @param source Whether an answer or another instance told it.
   */
  targetSignal(signal: string, source: string): void {
    this.#targetSignals.inc({ signal, source });
  }

  /** @param kind Kind of a message from another instance. */
  peerMessage(kind: string): void {
    this.#peerMessages.inc({ kind });
  }

  /**
   * @param route Name of the route.
   * @param tookMs Time to the first event or the answer.
   */
  firstByte(route: string, tookMs: number): void {
    this.#first.observe({ route }, tookMs);
  }

  /**
   * @param pool Name of the pool.
   * @param tookMs Time until a place was given.
   */
  placed(pool: string, tookMs: number): void {
    this.#placement.observe({ pool }, tookMs);
  }

  /** @param end What ended a connection of a caller. */
  connectionEnded(end: string): void {
    this.#connectionEnds.inc({ end });
  }

  /**
   * @param end What ended the connection of a request.
   * @param answer How far its answer had come.
   */
  unanswered(end: string, answer: string): void {
    this.#unanswered.inc({ end, answer });
  }

  /** @param lateMs By how much a regular timer was late. */
  timerLate(lateMs: number): void {
    this.#timerLate.observe(lateMs);
  }

  /** @param count Requests in progress. */
  openRequests(count: number): void {
    this.#open.set(count);
  }

  /** @param version Version of the configuration in force. */
  configurationVersion(version: number): void {
    this.#version.set(version);
  }

  /** @param ageMs Time since it was last known to be the newest. */
  configurationAge(ageMs: number): void {
    this.#configurationAge.set(Math.round(ageMs));
  }

  /** @param what What the row that could not be read holds. */
  unreadableRow(what: string): void {
    this.#unreadableRows.inc({ what });
  }

  /** @param table Table of the store that the call was for. */
  storeCallFailed(table: string): void {
    this.#storeFailures.inc({ table });
  }

  /** @returns All metrics as text. */
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

  #gauge(name: string, help: string): Gauge {
    return new Gauge({
      name: `chestnuthatch_${name}`,
      help,
      registers: [this.#registry],
    });
  }
}
