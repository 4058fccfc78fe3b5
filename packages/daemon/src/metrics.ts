/** Metrics of one instance, for a scraper. */

import { CounterName } from "@chestnuthatch/core/effects";
import { Counter, Gauge, Histogram, Registry } from "prom-client";
import { LabelBound } from "./label_bound.ts";
import { type CountSink, EdgeCounterName } from "./ports.ts";
import type { MetricsPage } from "./read_routes.ts";

/** What is read at each scrape. */
export enum GaugeName {
  OpenRequests = "open_requests",
  LiveMembers = "live_members",
  SettingsVersion = "settings_version",
}

/** What metrics are made of. */
export interface MetricsOptions {
  /** Gives a gauge's present value. */
  readonly readGauge: (name: GaugeName) => number;
  /** Most values of one label. */
  readonly maxLabelValues?: number;
}

/** Times of one answered request. */
export interface AnswerTimes {
  /** From its arrival to its dispatch. */
  readonly waitedMs: number;
  /** From its arrival to its answer. */
  readonly totalMs: number;
}

/** Labels that counters may carry. */
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

/** Counters, histograms and gauges in a registry of their own. */
export class Metrics {
  readonly #registry = new Registry();
  readonly #labels: LabelBound;
  readonly #counters = new Map<AnyCounterName, Counter>();
  readonly #waitSeconds: Histogram;
  readonly #totalSeconds: Histogram;

  /** @param options Where gauges are read from. */
  constructor(options: MetricsOptions) {
    this.#labels = new LabelBound(options.maxLabelValues);
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
   * Raises a counter. It may be passed on as a {@link CountSink} by itself.
   *
   * @param counter Which one.
   * @param labels Its labels; those not in the closed list are left out.
   * @param by How much.
   */
  readonly count: CountSink = (counter, labels, by) => {
    this.#counters.get(counter)?.inc(this.#bound(labels), by);
  };

  /**
   * Records the times of an answered request.
   *
   * @param tier The request's tier.
   * @param times Its times.
   */
  observeAnswer(tier: string, times: AnswerTimes): void {
    const labels = this.#bound({ tier });
    this.#waitSeconds.observe(labels, times.waitedMs / MS_PER_SECOND);
    this.#totalSeconds.observe(labels, times.totalMs / MS_PER_SECOND);
  }

  /** @returns All metrics as text. */
  async page(): Promise<MetricsPage> {
    return {
      contentType: this.#registry.contentType,
      text: await this.#registry.metrics(),
    };
  }

  #bound(labels: Readonly<Record<string, string>>): Record<string, string> {
    const bound: Record<string, string> = {};
    for (const name of COUNTER_LABELS) {
      if (Object.hasOwn(labels, name)) {
        bound[name] = this.#labels.bounded(name, labels[name]);
      }
    }
    return bound;
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

  #makeHistogram(name: string, what: string): Histogram {
    return new Histogram({
      name: `${PREFIX}request_${name}_seconds`,
      help: `Time of answered requests from ${what}, by tier.`,
      labelNames: ["tier"],
      buckets: WAIT_BUCKETS_SECONDS,
      registers: [this.#registry],
    });
  }
}
