/** Reads callers' requests, finds their routes, and begins their lives. */

import type { Buffer } from "node:buffer";
import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from "node:http";
import type { Socket } from "node:net";
import type {
  CallerLimits,
  RoutePolicy,
  WorkspacePolicy,
} from "@chestnuthatch/routing/fleet_configuration";
import { RoutedError } from "@chestnuthatch/routing/refusal";
import type { RouteTable } from "@chestnuthatch/routing/route_table";
import { ConnectionEnd } from "./caller_connection.ts";
import {
  CallerConnections,
  type OpenConnections,
} from "./caller_connections.ts";
import { CallerReply } from "./caller_reply.ts";
import { ClosingStage } from "./closing_stage.ts";
import { RETRY_AFTER_MS } from "./come_back.ts";
import { LogPart } from "./event_log.ts";
import type { GatewayParts } from "./gateway_parts.ts";
import { OwedAnswer } from "./owed_answer.ts";
import { listen } from "./snapshot_server.ts";
import type { CallMetadata } from "./ports.ts";
import type { RoutedCall } from "./routed_call.ts";
import { RequestBody } from "./request_body.ts";
import { RoutedRequest } from "./routed_request.ts";

/** Until a configuration is known. */
const STARTING_LIMITS: CallerLimits = {
  maxHeaderBytes: 16 * 1024,
  maxBodyBytes: 4 * 1024 * 1024,
  headerTimeoutMs: 3000,
  idleTimeoutMs: 15_000,
};

/**
 * Largest head that is read at all. The runtime takes this limit once, at the
 * start; that of the configuration is checked on what was read.
 */
const LARGEST_HEAD_BYTES = 256 * 1024;

/** Bytes of a header line beside its name and value: colon, space, line end. */
const HEADER_LINE_BYTES = 4;

/**
 * Lateness of this process from which callers may have left before their
 * requests are read. Callers that leave early do so after some hundred ms.
 */
const LATE_MS = 50;

/** Time between two looks for connections that are too slow. */
const CONNECTION_CHECK_MS = 1000;

/** When to come back to an instance that has no configuration yet. */
const NO_CONFIGURATION_RETRY_MS = 300;

/** When to come back to another instance than one that is leaving. */
const LEAVING_RETRY_MS = 50;

/** Answers to the same caller differ in size by this factor. */
const SLOW_ANSWER_FACTOR = 1.5;

/** What the configuration says of a request. */
type Admission =
  | { readonly error: RoutedError; readonly retryAfterMs?: number }
  | {
    readonly table: RouteTable;
    readonly route: RoutePolicy;
    readonly workspace?: WorkspacePolicy;
    readonly pool: string;
  };

/** The server that callers connect to. */
export class FrontServer {
  readonly #parts: GatewayParts;
  readonly #server: Server;
  readonly #connections: CallerConnections;
  readonly #open = new Set<RoutedRequest>();
  #limits = STARTING_LIMITS;
  #stage = ClosingStage.Open;
  /** Time until answers are broken off, while stopping. */
  #closingLeftMs = () => Infinity;
  /** Requests whose bodies are being read. */
  #reading = 0;

  /** @param parts The instance's parts. */
  constructor(parts: GatewayParts) {
    this.#parts = parts;
    this.#server = createServer({
      keepAliveTimeout: STARTING_LIMITS.idleTimeoutMs,
      headersTimeout: STARTING_LIMITS.headerTimeoutMs,
      requestTimeout: 0,
      connectionsCheckingInterval: CONNECTION_CHECK_MS,
      maxHeaderSize: LARGEST_HEAD_BYTES,
      noDelay: true,
    }, (request, response) => this.#read(request, response));
    const { clock, log, metrics } = parts;
    const stage = () => this.#stage;
    this.#connections = new CallerConnections({ clock, log, metrics, stage });
    this.#server.on("connection", (socket) => this.#connections.add(socket));
    this.#server.on("clientError", (error, socket) => {
      this.#connections.unreadable(socket as Socket, error);
    });
  }

  /** Requests in progress. */
  get openCount(): number {
    return this.#open.size + this.#reading;
  }

  /** Callers' connections, and what waits on them. */
  get connections(): OpenConnections {
    return this.#connections.summary;
  }

  /** `ip:port` that callers connect to. */
  get address(): string {
    const address = this.#server.address();
    return typeof address === "object" && address !== null
      ? `${address.address}:${address.port}`
      : "";
  }

  /**
   * @param address `ip:port` to listen at.
   * @returns Once callers can connect.
   */
  open(address: string): Promise<void> {
    return listen(this.#server, address);
  }

  /** @param limits What callers may send, from now on. */
  setLimits(limits: CallerLimits): void {
    if (limits.idleTimeoutMs > this.#limits.idleTimeoutMs) {
      this.#connections.mayIdle(limits.idleTimeoutMs);
    }
    this.#limits = limits;
    this.#server.keepAliveTimeout = limits.idleTimeoutMs;
    this.#server.headersTimeout = limits.headerTimeoutMs;
  }

  /**
   * From now on, answers tell callers to close their connections.
   *
   * @param leftMs Tells the time until answers are broken off.
   */
  announceClosing(leftMs: () => number): void {
    this.#stage = ClosingStage.Announcing;
    this.#closingLeftMs = leftMs;
  }

  /** From now on, requests are refused and idle connections are closed. */
  refuseRequests(): void {
    this.#stage = ClosingStage.Refusing;
    this.#connections.closeIdle();
  }

  /** Ends requests whose answers have not begun; their callers are told so. */
  abortRequests(): void {
    this.#abort([...this.#open].filter(({ hasBegun }) => !hasBegun));
  }

  /** Breaks off answers that have begun. */
  breakOffAnswers(): void {
    this.#abort([...this.#open]);
  }

  /**
   * Those that wait for a place go first: they would get the places that the
   * others leave, and be sent to targets only to be broken off there.
   */
  #abort(requests: readonly RoutedRequest[]): void {
    const waiting = requests.filter(({ runs }) => runs === 0);
    for (const request of [...waiting, ...requests]) {
      request.abort();
    }
  }

  /** Ends all connections, whatever is owed on them. */
  close(): void {
    this.#connections.closing(ConnectionEnd.ProcessEnd, () => {
      this.breakOffAnswers();
      this.#server.close();
    });
    this.#connections.endAll(ConnectionEnd.ProcessEnd);
  }

  /** Drops every connection. */
  kill(): void {
    this.#server.closeAllConnections();
  }

  #read(request: IncomingMessage, response: ServerResponse): void {
    const { clock, log, protocol } = this.#parts;
    const arrivedAtMs = clock.nowMs();
    const facts = protocol.readCall(request.headers);
    const { requestId } = facts;
    if (this.#connections.isClosing(request.socket)) {
      // Its caller gets no answer; what is not passed on can be asked again.
      log.info(LogPart.Request, "not read, connection closes", { requestId });
      request.resume();
      return;
    }
    const closes = this.#stage !== ClosingStage.Open;
    const closesAfter = closes || !response.shouldKeepAlive;
    const owed = new OwedAnswer(response, {
      requestId,
      arrivedAtMs,
      closesAfter,
    });
    this.#connections.owe(owed);
    const reply = new CallerReply(response, {
      closes,
      beforeCut: () => this.#connections.endsBy(owed, ConnectionEnd.BrokenOff),
    });
    const admission = this.#admit(request, facts);
    if ("error" in admission) {
      this.#refuse(reply, facts, admission);
      request.resume();
      return;
    }
    this.#parts.metrics.requestRead(admission.route.name);
    this.#reading++;
    const refuse = (error: RoutedError, retryAfterMs?: number) => {
      this.#reading--;
      this.#refuse(reply, facts, { error, retryAfterMs });
    };
    const { timeoutMs } = admission.route;
    new RequestBody(request, {
      maxBytes: this.#limits.maxBodyBytes,
      timeoutMs: Math.min(facts.deadlineMs ?? Infinity, timeoutMs),
      sink: {
        whole: (body) => {
          const call = callOf({ request, facts, body, arrivedAtMs, admission });
          this.#unlessLeft(owed, () => this.#begin(call, owed, reply));
        },
        tooLarge: () => refuse(RoutedError.BodyTooLarge),
        tooSlow: () => refuse(RoutedError.TimeoutNotRun, RETRY_AFTER_MS),
        brokenOff: () => this.#reading--,
      },
    });
  }

  /**
   * Begins a request that was read whole. Its caller may have left meanwhile,
   * and the end of its connection lies unread behind the request; it is read
   * with the next poll, which costs an idle process nothing. Timers that are late
   * tell of it, but not always: the runtime takes one new connection with each
   * poll, so that callers wait for seconds where polls take long.
   */
  #unlessLeft(owed: OwedAnswer, begin: () => void): void {
    const go = () => {
      this.#reading--;
      if (!this.#connections.hasEnded(owed)) {
        begin();
      }
    };
    const mayHaveLeft = this.#connections.isFirst(owed) ||
      this.#parts.lateMs() >= LATE_MS;
    if (mayHaveLeft) {
      setImmediate(() => setImmediate(go));
    } else {
      go();
    }
  }

  /** Whether its caller reads so slowly that the process would end before. */
  #mayOutlastProcess({ socket }: IncomingMessage): boolean {
    const slowestMs = this.#connections.slowestAnswerMs(socket);
    return SLOW_ANSWER_FACTOR * slowestMs > this.#closingLeftMs();
  }

  #admit(request: IncomingMessage, facts: CallMetadata): Admission {
    const isRefusing = this.#stage === ClosingStage.Refusing;
    if (isRefusing || this.#mayOutlastProcess(request)) {
      const retryAfterMs = LEAVING_RETRY_MS;
      return { error: RoutedError.Leaving, retryAfterMs };
    }
    if (headBytes(request) > this.#limits.maxHeaderBytes) {
      return { error: RoutedError.HeadTooLarge };
    }
    const table = this.#parts.board.routes;
    if (table === undefined) {
      const retryAfterMs = NO_CONFIGURATION_RETRY_MS;
      return { error: RoutedError.NoConfiguration, retryAfterMs };
    }
    const host = (request.headers.host ?? "").replace(/:\d+$/, "")
      .toLowerCase();
    const path = request.url!.split("?", 1)[0]!;
    const route = table.match(host, path);
    if (route === undefined) {
      return { error: RoutedError.NoRoute };
    }
    const workspace = facts.key === undefined
      ? undefined
      : table.workspaceOfKey(facts.key);
    const needsKey = table.needsKeys && !route.isPublic;
    if (needsKey && workspace === undefined) {
      return { error: RoutedError.UnknownKey };
    }
    const pool = table.pickPool(route, facts.requestId);
    return pool === undefined
      ? { error: RoutedError.NoTarget, retryAfterMs: NO_CONFIGURATION_RETRY_MS }
      : { table, route, workspace, pool };
  }

  #refuse(
    reply: CallerReply,
    facts: CallMetadata,
    of: { error: RoutedError; retryAfterMs?: number },
  ): void {
    const { board, clock, log, metrics } = this.#parts;
    const ageMs = board.configurationAge.ageMs(clock.nowMs());
    metrics.failed("none", of.error);
    log.info(LogPart.Request, "refused at the door", {
      requestId: facts.requestId,
      error: of.error,
      configurationVersion: board.routes?.configuration.version,
      configurationAgeMs: ageMs && Math.round(ageMs),
    });
    const { requestId } = facts;
    reply.fail(of.error, { requestId, retryAfterMs: of.retryAfterMs });
  }

  #begin(
    call: RoutedCall,
    owed: OwedAnswer,
    reply: CallerReply,
  ): void {
    const routed = new RoutedRequest(this.#parts, {
      call,
      reply,
      onDone: () => {
        this.#open.delete(routed);
        this.#parts.metrics.openRequests(this.#open.size);
      },
    });
    owed.countRuns = () => routed.runs;
    this.#open.add(routed);
    this.#parts.metrics.openRequests(this.#open.size);
    // The runtime tells of a response's end only once it has its turn on the
    // connection, and one that waits behind another never gets it.
    owed.onUnanswered = () => routed.callerLeft();
    owed.response.on("drain", () => routed.callerReads());
    routed.start();
  }
}

function headBytes({ rawHeaders }: IncomingMessage): number {
  return rawHeaders.reduce((sum, part) => sum + part.length, 0) +
    rawHeaders.length / 2 * HEADER_LINE_BYTES;
}

function callOf(
  of: {
    request: IncomingMessage;
    facts: CallMetadata;
    body: Buffer;
    arrivedAtMs: number;
    admission: Exclude<Admission, { error: RoutedError }>;
  },
): RoutedCall {
  const { request, facts, admission } = of;
  const hasBody = request.headers["content-length"] !== undefined ||
    request.headers["transfer-encoding"] !== undefined;
  return {
    facts,
    route: admission.route,
    workspace: admission.workspace,
    pool: admission.pool,
    configurationVersion: admission.table.configuration.version,
    method: request.method!,
    path: request.url!,
    rawHeaders: request.rawHeaders,
    body: hasBody ? of.body : undefined,
    arrivedAtMs: of.arrivedAtMs,
  };
}
