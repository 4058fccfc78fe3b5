/** Prometheus metrics of an instance. */

import { CounterName } from "@chestnuthatch/core/effects";
import { Counter, Gauge, Histogram, Registry } from "prom-client";
import { LabelValueLimiter } from "./label_value_limiter.ts";
import { type CountSink, EdgeCounterName } from "./ports.ts";
import type { MetricsPage } from "./read_routes.ts";

/** Gauges, read at each scrape. */
export enum GaugeName {
  OpenRequests = "open_requests",
  LiveMembers = "live_members",
  SettingsVersion = "settings_version",
}

/** Source of the gauges and label limit of {@link Metrics}. */
export interface MetricsOptions {
  /** Returns the current value of a gauge. */
  readonly readGauge: (name: GaugeName) => number;
  /** Maximum number of distinct values per label. */
  readonly maxLabelValues?: number;
}

/** Durations of an answered request. */
export interface AnswerTimes {
  /** Time from the arrival of the request to its dispatch. */
  readonly waitedMs: number;
  /** Time from the arrival of the request to its answer. */
  readonly totalMs: number;
}

/** Labels that counters may have; others are left out. */
const COUNTER_LABELS = [
  "workspace",
  "tier",
  "pool",
  "error",
  "ran",
  "outcome",
  "kind",
  "reason",
  "target",
  "failureDomain",
  "call",
  "fault",
] as const;

const PREFIX = "chestnuthatch_";
const MS_PER_SECOND = 1000;
const WAIT_BUCKETS_SECONDS = [
  0.005,
  0.02,
  0.05,
  0.1,
  0.25,
  0.5,
  1,
  2.5,
  5,
  10,
  30,
  60,
  120,
  300,
];

type AnyCounterName = CounterName | EdgeCounterName;

const COUNTER_NAMES: readonly AnyCounterName[] = [
  ...Object.values(CounterName),
  ...Object.values(EdgeCounterName),
];

const GAUGE_HELP: Readonly<Record<GaugeName, string>> = {
  [GaugeName.OpenRequests]: "Requests open on this instance.",
  [GaugeName.LiveMembers]: "Instances this one holds to be alive.",
  [GaugeName.SettingsVersion]: "Settings version in force.",
};

/** Counters, histograms and gauges in a separate registry. */
export class Metrics {
  readonly #registry = new Registry();
  readonly #labelLimiter: LabelValueLimiter;
  readonly #counters = new Map<AnyCounterName, Counter>();
  readonly #waitSeconds: Histogram;
  readonly #totalSeconds: Histogram;

  /** @param options Source of the gauges and label limit. */
  constructor(options: MetricsOptions) {
    this.#labelLimiter = new LabelValueLimiter(options.maxLabelValues);
    for (const name of COUNTER_NAMES) {
      this.#counters.set(name, this.#makeCounter(name));
    }
    for (const name of Object.values(GaugeName)) {
      this.#makeGauge(name, options.readGauge);
    }
    this.#waitSeconds = this.#makeHistogram("wait", "arrival to dispatch");
    this.#totalSeconds = this.#makeHistogram("total", "arrival to answer");
  }

  /**
   * Increments a counter. Bound to the metrics, so it can be passed on as a
   * {@link CountSink}.
   *
   * @param counter Name of the counter.
   * @param labels Label values; labels that counters may not have are left out.
   * @param by Increment.
   */
  readonly count: CountSink = (counter, labels, by) => {
    this.#counters.get(counter)?.inc(this.#limitLabels(labels), by);
  };

  /**
   * Records the durations of an answered request.
   *
   * @param tier Tier of the request.
   * @param times Durations of the request, in milliseconds.
   */
  observeAnswer(tier: string, times: AnswerTimes): void {
    const labels = this.#limitLabels({ tier });
    this.#waitSeconds.observe(labels, times.waitedMs / MS_PER_SECOND);
    this.#totalSeconds.observe(labels, times.totalMs / MS_PER_SECOND);
  }

  /**
   * Renders all metrics.
   *
   * @returns The page in the Prometheus text format.
   */
  async page(): Promise<MetricsPage> {
    return {
      contentType: this.#registry.contentType,
      text: await this.#registry.metrics(),
    };
  }

  #limitLabels(
    labels: Readonly<Record<string, string>>,
  ): Record<string, string> {
    const limited: Record<string, string> = {};
    for (const name of COUNTER_LABELS) {
      if (Object.hasOwn(labels, name)) {
        limited[name] = this.#labelLimiter.limit(name, labels[name]);
      }
    }
    return limited;
  }

  #makeCounter(name: AnyCounterName): Counter {
    return new Counter({
      name: `${PREFIX}${name}_total`,
      help: `Count of ${name.replaceAll("_", " ")}.`,
      labelNames: COUNTER_LABELS,
      registers: [this.#registry],
    });
  }

  #makeGauge(name: GaugeName, readGauge: MetricsOptions["readGauge"]): void {
    new Gauge({
      name: `${PREFIX}${name}`,
      help: GAUGE_HELP[name],
      registers: [this.#registry],
      collect() {
        this.set(readGauge(name));
      },
    });
  }

  #makeHistogram(name: string, interval: string): Histogram {
    return new Histogram({
      name: `${PREFIX}request_${name}_seconds`,
      help: `Time of answered requests from ${interval}, by tier.`,
      labelNames: ["tier"],
      buckets: WAIT_BUCKETS_SECONDS,
      registers: [this.#registry],
    });
  }
}
