/**
 * Relays requests of other instances to targets that they cannot connect to.
 *
 * The holder sends its HTTP request for the target with one more header, and
 * gets the target's answer. All decisions on the request stay with the holder:
 * the relay sends it to that target once, and never to another one.
 */

import type { Buffer } from "node:buffer";
import {
  type Agent,
  createServer,
  type IncomingHttpHeaders,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from "node:http";
import type { RoutingBoard } from "@chestnuthatch/routing/routing_board";
import type { KnownTarget } from "@chestnuthatch/routing/target_directory";
import type { AnswerMemory } from "./answer_memory.ts";
import { endToEndHeaders } from "./end_to_end_headers.ts";
import { type EventLog, LogPart } from "./event_log.ts";
import type { GatewayMetrics } from "./gateway_metrics.ts";
import type { Clock } from "./ports.ts";
import { RequestBodyReader } from "./request_body_reader.ts";
import { reportUnhandled } from "./run_isolated.ts";
import { listen } from "./snapshot_server.ts";
import {
  type ExchangeFailure,
  isDelimitedByClose,
  TargetExchange,
} from "./target_exchange.ts";

/** Request header with the id of the target that the request is relayed to. */
const TARGET_HEADER = "Chestnuthatch-Relay-Target";

/** Answer header with the reason for which the relay has no answer. */
const FAILURE_HEADER = "Chestnuthatch-Relay-Failure";

/** Answer header that is set to 1 if the target cannot have got the request. */
const NOT_SENT_HEADER = "Chestnuthatch-Relay-Not-Sent";

/**
 * Answer header that is set to 1 if the target's answer was delimited by the
 * end of its connection. It is a hop-by-hop header.
 */
const UNFRAMED_HEADER = "Chestnuthatch-Relay-Unframed";

/** Relayed requests in progress that one instance accepts. */
const MAX_RELAYED_REQUESTS = 128;

/** Largest body of a relayed request; larger than any configured limit. */
const MAX_BODY_BYTES = 16 * 1024 * 1024;

/** Time for reading a relayed request, which its sender has in memory. */
const READ_TIMEOUT_MS = 1000;

/** Largest head of a relayed request; callers' heads are smaller. */
const MAX_HEAD_BYTES = 256 * 1024;

const STATUS_BAD_GATEWAY = 502;
const NO_STATUS_MESSAGE = "";

/** Dependencies of {@link RelayServer}. */
export interface RelayServerParts {
  readonly board: RoutingBoard;
  /** Memory of the bodies of all requests. */
  readonly requestMemory: AnswerMemory;
  readonly clock: Clock;
  readonly log: EventLog;
  readonly metrics: GatewayMetrics;
  /** Whether this instance is shutting down. */
  isLeaving(): boolean;
  /** Gets the connection pool of a target. */
  agentFor(pool: string, address: string): Agent;
}

/** HTTP server that relays requests of other instances. */
export class RelayServer {
  readonly #parts: RelayServerParts;
  readonly #server: Server;
  #openCount = 0;

  /** @param parts Dependencies. */
  constructor(parts: RelayServerParts) {
    this.#parts = parts;
    this.#server = createServer(
      { maxHeaderSize: MAX_HEAD_BYTES, noDelay: true },
      (request, response) => this.#onRequest(request, response),
    );
  }

  /** Number of relayed requests in progress. */
  get openCount(): number {
    return this.#openCount;
  }

  /** Whether this instance relays another request now. */
  get isAccepting(): boolean {
    return !this.#parts.isLeaving() && this.#openCount < MAX_RELAYED_REQUESTS;
  }

  /**
   * Starts to serve.
   *
   * @param address `ip:port` to listen at.
   * @returns Resolves when other instances can connect.
   */
  open(address: string): Promise<void> {
    return listen(this.#server, address);
  }

  /** Stops serving, and closes all connections. */
  close(): void {
    this.#server.close();
    this.#server.closeAllConnections();
  }

  #onRequest(request: IncomingMessage, response: ServerResponse): void {
    response.sendDate = false;
    this.#openCount++;
    response.on("close", () => this.#openCount--);
    new RequestBodyReader(request, {
      maxBytes: MAX_BODY_BYTES,
      memory: this.#parts.requestMemory,
      timeoutMs: READ_TIMEOUT_MS,
      sink: {
        complete: (body, memory) => {
          response.on("close", () => memory.release());
          this.#relayOrFail(request, body, response);
        },
        memoryExceeded: () =>
          sendFailure(response, notSent("bodies take too much memory")),
        tooLarge: () => sendFailure(response, notSent("body is too large")),
        tooSlow: () => sendFailure(response, notSent("body is incomplete")),
        aborted: () => response.destroy(),
      },
    });
  }

  /** Tells the holder if a step throws, before which nothing can be sent. */
  #relayOrFail(
    request: IncomingMessage,
    body: Buffer,
    response: ServerResponse,
  ): void {
    try {
      this.#relay(request, body, response);
    } catch (error) {
      reportUnhandled(error);
      sendFailure(response, notSent(String(error)));
    }
  }

  #relay(
    request: IncomingMessage,
    body: Buffer,
    response: ServerResponse,
  ): void {
    const { metrics, log } = this.#parts;
    const { targetId, headers } = splitTargetHeader(request.rawHeaders);
    const target = this.#usableTarget(targetId);
    if (target === undefined) {
      metrics.relayedRequest("refused");
      log.info(LogPart.Request, "relayed request refused", { targetId });
      sendFailure(response, notSent("relay refused"));
      return;
    }
    metrics.relayedRequest("relayed");
    const exchange = new TargetExchange({
      agent: this.#parts.agentFor(target.pool, target.address),
      address: target.address,
      method: request.method!,
      path: request.url!,
      headers: body.length === 0
        ? headers
        : [...headers, "Content-Length", String(body.length)],
      body: body.length === 0 ? undefined : body,
    }, {
      connectDelayed: () => {},
      head: (answer) => sendHead(response, answer),
      data: (chunk) => {
        if (!response.write(chunk)) {
          exchange.pause();
        }
      },
      ended: () => response.end(),
      failed: (failure) => sendFailure(response, failure),
    });
    response.on("drain", () => exchange.resume());
    response.on("close", () => exchange.cancel());
  }

  #usableTarget(targetId: string): KnownTarget | undefined {
    const { board, clock } = this.#parts;
    const target = board.targets.get(targetId);
    const isAccepted = target !== undefined && this.isAccepting &&
      board.targets.isUsable(target, clock.nowMs());
    return isAccepted ? target : undefined;
  }
}

/**
 * Builds the headers of a request that is sent to a relay.
 *
 * @param headers Headers for the target, names and values alternating.
 * @param targetId Id of the target.
 * @returns The headers for the relay.
 */
export function relayHeaders(
  headers: readonly string[],
  targetId: string,
): string[] {
  return [...headers, TARGET_HEADER, targetId];
}

/**
 * Reads from the head of a relay's answer whether the relay has failed.
 *
 * @param headers Headers of the answer.
 * @returns The failure; undefined if the answer is that of the target.
 */
export function relayFailureOf(
  headers: IncomingHttpHeaders,
): ExchangeFailure | undefined {
  const reason = headers[FAILURE_HEADER.toLowerCase()];
  return reason === undefined ? undefined : {
    isSent: headers[NOT_SENT_HEADER.toLowerCase()] === undefined,
    reason: `relay: ${reason}`,
  };
}

/**
 * Checks whether a target's answer was delimited by the end of its connection,
 * whether it was relayed or not.
 *
 * @param answer Status and headers of the answer.
 * @returns Whether the target gave its answer neither a length nor chunks.
 */
export function isUnframed(answer: IncomingMessage): boolean {
  return isDelimitedByClose(answer) ||
    answer.headers[UNFRAMED_HEADER.toLowerCase()] !== undefined;
}

/**
 * Separates the target's id from the headers for the target. A header of the
 * same name that the caller has sent stands before that of the holder.
 */
function splitTargetHeader(
  rawHeaders: readonly string[],
): { targetId: string; headers: string[] } {
  const headers = endToEndHeaders(rawHeaders);
  const names = headers.map((text, index) => index % 2 === 0 ? text : "");
  const index = names.lastIndexOf(TARGET_HEADER);
  if (index === -1) {
    return { targetId: "", headers };
  }
  const [, targetId] = headers.splice(index, 2);
  return { targetId: targetId!, headers };
}

function sendHead(response: ServerResponse, answer: IncomingMessage): void {
  const headers = endToEndHeaders(answer.rawHeaders);
  const length = answer.headers["content-length"];
  if (length !== undefined) {
    headers.push("Content-Length", length);
  }
  if (isDelimitedByClose(answer, response.req.method)) {
    headers.push(UNFRAMED_HEADER, "1", "Connection", UNFRAMED_HEADER);
  }
  const { statusCode, statusMessage = NO_STATUS_MESSAGE } = answer;
  response.writeHead(statusCode!, statusMessage, headers);
  response.flushHeaders();
}

function notSent(reason: string): ExchangeFailure {
  return { isSent: false, reason };
}

/** Sends a failure as the answer, or aborts an answer that has begun. */
function sendFailure(
  response: ServerResponse,
  { isSent, reason }: ExchangeFailure,
): void {
  if (response.headersSent) {
    response.destroy();
    return;
  }
  response.writeHead(STATUS_BAD_GATEWAY, {
    [FAILURE_HEADER]: reason.replace(/[^\x20-\x7e]/g, " "),
    ...(isSent ? undefined : { [NOT_SENT_HEADER]: "1" }),
  }).end();
}
