/** Reads of targets' own reports: load, and cache events. */

import { EventKind } from "@chestnuthatch/core/events";
import {
  type EffectKind,
  type EffectOf,
  LogLevel,
  LogPart,
} from "@chestnuthatch/core/effects";
import {
  cacheEventsAnswerSchema,
  loadAnswerSchema,
} from "@chestnuthatch/wire/target_protocol";
import { err, ok, type Result } from "neverthrow";
import type * as z from "zod";
import { callHttp } from "./http_call.ts";
import { parseJson } from "./ndjson_reader.ts";
import { type EdgeContext, EdgeCounterName } from "./ports.ts";
import type { TargetConnections } from "./target_connections.ts";

interface Poll {
  readonly call: string;
  readonly targetId: string;
  readonly address: string;
  readonly path: string;
}

const POLL_TIMEOUT_MS = 1000;
const MAX_POLL_BYTES = 1024 * 1024;
const STATUS_OK = 200;

/** Polls targets, with one poll of each kind in flight for each. */
export class TargetPolls {
  readonly #edge: EdgeContext;
  readonly #connections: TargetConnections;
  readonly #inFlight = new Set<string>();

  /**
   * @param edge The instance's sinks and clock.
   * @param connections Links to targets.
   */
  constructor(edge: EdgeContext, connections: TargetConnections) {
    this.#edge = edge;
    this.#connections = connections;
  }

  /**
   * Reads a target's load: LoadReported, or LoadReportFailed.
   *
   * @param effect Which target.
   */
  async pollLoad(effect: EffectOf<EffectKind.PollLoad>): Promise<void> {
    const { targetId, address } = effect;
    const poll = { call: "load", targetId, address, path: "/v1/load" };
    await this.#onceAtATime(poll, async () => {
      const load = await this.#read(poll, loadAnswerSchema);
      if (load.isOk() && load.value.targetId === targetId) {
        this.#edge.emit({ kind: EventKind.LoadReported, load: load.value });
        return;
      }
      const reason = load.isErr() ? load.error : "another target answered";
      this.#logFailure(poll, reason);
      this.#edge.emit({ kind: EventKind.LoadReportFailed, targetId });
    });
  }

  /**
   * Reads an engine's cache events: CacheEventsRead, or nothing.
   *
   * @param effect Which target, and after which event.
   */
  async pollCacheEvents(
    effect: EffectOf<EffectKind.PollCacheEvents>,
  ): Promise<void> {
    const { targetId, address, after } = effect;
    const path = `/v1/cache-events?after=${after}`;
    const poll = { call: "cache_events", targetId, address, path };
    await this.#onceAtATime(poll, async () => {
      const answer = await this.#read(poll, cacheEventsAnswerSchema);
      if (answer.isErr()) {
        this.#logFailure(poll, answer.error);
        return;
      }
      this.#edge.emit({
        kind: EventKind.CacheEventsRead,
        targetId,
        answer: answer.value,
      });
    });
  }

  async #onceAtATime(poll: Poll, run: () => Promise<void>): Promise<void> {
    const name = `${poll.call} ${poll.targetId}`;
    if (this.#inFlight.has(name)) {
      return;
    }
    this.#inFlight.add(name);
    await run();
    this.#inFlight.delete(name);
  }

  async #read<T>(
    poll: Poll,
    schema: z.ZodType<T>,
  ): Promise<Result<T, string>> {
    const link = this.#connections.link(poll.targetId, poll.address);
    if (link === undefined) {
      return err("bad address");
    }
    this.#edge.count(EdgeCounterName.TargetCalls, { call: poll.call }, 1);
    const answer = await callHttp(
      link.control,
      { method: "GET", path: poll.path },
      {
        clock: this.#edge.clock,
        timeoutMs: POLL_TIMEOUT_MS,
        maxAnswerBytes: MAX_POLL_BYTES,
      },
    );
    if (answer.isErr()) {
      return err(answer.error.reason);
    }
    if (answer.value.statusCode !== STATUS_OK) {
      return err(`status ${answer.value.statusCode}`);
    }
    const json = parseJson(answer.value.body.toString("utf8"));
    const parsed = schema.safeParse(json.unwrapOr(undefined));
    return parsed.success ? ok(parsed.data) : err("bad answer");
  }

  #logFailure(poll: Poll, reason: string): void {
    this.#edge.log(
      LogLevel.Debug,
      LogPart.Targets,
      `Poll of ${poll.call} at ${poll.targetId} failed: ${reason}.`,
    );
  }
}
