/** Sends a request to an entry instance and reads its outcome. */

import type { Buffer } from "node:buffer";
import {
  type ExchangeEnd,
  HttpExchange,
  type HttpRequest,
} from "@chestnuthatch/daemon/http_exchange";
import { NdjsonReader, parseJson } from "@chestnuthatch/daemon/ndjson_reader";
import {
  type CallerAnswer,
  callerAnswerSchema,
  type CallerEvent,
  CallerEventKind,
  callerEventSchema,
  type CallerRefusal,
  callerRefusalSchema,
  type CallerRequest,
} from "@chestnuthatch/wire/caller_protocol";
import { type Dispatcher, getGlobalDispatcher } from "undici";
import { PROCESS_CLOCK } from "./platform_connection.ts";

/** Outcome of a request: an answer, a refusal, or a failed exchange. */
export type SentOutcome =
  | { readonly answer: CallerAnswer }
  | { readonly refusal: CallerRefusal }
  | {
    /** Why neither an answer nor a refusal was received. */
    readonly broken: string;
    /** False only if certainly no part of the request was sent. */
    readonly sent: boolean;
  };

/** Callbacks of {@link sendRequest}. */
export interface SendRequestOptions {
  /** Called with each text event of a streamed answer. */
  readonly onText?: (text: string) => void;
}

/** Decodes the bytes of a response into an outcome. */
interface ResponseReader {
  push(chunk: Buffer): void;
  /** @returns The outcome; undefined if the response contains none. */
  end(): SentOutcome | undefined;
}

/** Added to the deadline, for an instance that answers just before it. */
const TIMEOUT_MARGIN_MS = 10_000;
/** Timeout of a request without a deadline. */
const DEFAULT_TIMEOUT_MS = 300_000;
const MAX_LINE_BYTES = 16 * 1024 * 1024;
const MAX_ANSWER_BYTES = 64 * 1024 * 1024;
const REASON_NO_OUTCOME = "neither an answer nor a refusal came";
const REASON_TOO_LARGE = "the answer is too large";

/**
 * Sends a request without retries.
 *
 * @param address `host:port` of an instance's interface for callers.
 * @param body The request.
 * @param options Callback for the text of a streamed answer.
 * @returns The answer, the refusal, or why neither was received.
 */
export function sendRequest(
  address: string,
  body: CallerRequest,
  options: SendRequestOptions = {},
): Promise<SentOutcome> {
  const reader = body.stream
    ? new EventStreamReader(options)
    : new JsonBodyReader();
  const timeoutMs = body.deadlineMs === undefined
    ? DEFAULT_TIMEOUT_MS
    : body.deadlineMs + TIMEOUT_MARGIN_MS;
  const request: HttpRequest = {
    method: "POST",
    path: "/v1/requests",
    body: JSON.stringify(body),
  };
  return new Promise((resolve) => {
    let bytes = 0;
    const exchange: HttpExchange = new HttpExchange({
      onStatus: () => {},
      onChunk: (chunk) => {
        bytes += chunk.length;
        reader.push(chunk);
        if (bytes > MAX_ANSWER_BYTES) {
          exchange.abort(REASON_TOO_LARGE);
        }
      },
      onEnd: (end) => resolve(toOutcome(end, reader)),
    }, {
      clock: PROCESS_CLOCK,
      deadlineAtMs: PROCESS_CLOCK.nowMs() + timeoutMs,
    });
    exchange.start(dispatcherTo(address), request);
  });
}

function dispatcherTo(address: string): Dispatcher {
  const origin = `http://${address}`;
  return getGlobalDispatcher().compose((dispatch) => (options, handler) =>
    dispatch({ ...options, origin }, handler)
  );
}

function toOutcome(
  { reason, sent }: ExchangeEnd,
  reader: ResponseReader,
): SentOutcome {
  if (reason !== "") {
    return { broken: reason, sent };
  }
  return reader.end() ?? { broken: REASON_NO_OUTCOME, sent };
}

/** Reads an outcome from a JSON body. */
class JsonBodyReader implements ResponseReader {
  readonly #decoder = new TextDecoder();
  #text = "";

  push(chunk: Buffer): void {
    this.#text += this.#decoder.decode(chunk, { stream: true });
  }

  end(): SentOutcome | undefined {
    return readOutcome(parseJson(this.#text).unwrapOr(undefined));
  }
}

/** Reads a stream of events, one JSON line each; the last has the outcome. */
class EventStreamReader implements ResponseReader {
  readonly #options: SendRequestOptions;
  readonly #lines = new NdjsonReader(MAX_LINE_BYTES);
  readonly #handlers: {
    readonly [K in CallerEventKind]: (
      event: Extract<CallerEvent, { readonly kind: K }>,
    ) => void;
  } = {
    [CallerEventKind.Text]: ({ text }) => {
      this.#text += text;
      this.#options.onText?.(text);
    },
    [CallerEventKind.Final]: ({ answer }) => {
      this.#outcome = { answer: { ...answer, text: this.#text } };
    },
    [CallerEventKind.Error]: ({ refusal }) => {
      this.#outcome = { refusal };
    },
  };
  #text = "";
  #outcome?: SentOutcome;

  constructor(options: SendRequestOptions) {
    this.#options = options;
  }

  push(chunk: Buffer): void {
    this.#lines.push(chunk, (value) => this.#handleLine(value));
  }

  end(): SentOutcome | undefined {
    this.#lines.end((value) => this.#handleLine(value));
    return this.#outcome;
  }

  #handleLine(value: unknown): void {
    const event = callerEventSchema.safeParse(value);
    if (event.success) {
      const handler = this.#handlers[event.data.kind] as (
        event: CallerEvent,
      ) => void;
      handler(event.data);
      return;
    }
    // The answer is one JSON body if the request was refused before its stream
    // began.
    this.#outcome ??= readOutcome(value);
  }
}

function readOutcome(json: unknown): SentOutcome | undefined {
  const answer = callerAnswerSchema.safeParse(json);
  if (answer.success) {
    return { answer: answer.data };
  }
  const refusal = callerRefusalSchema.safeParse(json);
  return refusal.success ? { refusal: refusal.data } : undefined;
}
