/** HTTP server for callers: admits requests and starts their processing. */

import type { Buffer } from "node:buffer";
import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from "node:http";
import type { Socket } from "node:net";
import {
  type CallerLimits,
  RequestKind,
  type RoutePolicy,
  type WorkspacePolicy,
} from "@chestnuthatch/routing/fleet_configuration";
import { RoutedError } from "@chestnuthatch/routing/routed_error";
import type { RouteTable } from "@chestnuthatch/routing/route_table";
import type { MemoryReservation } from "./answer_memory.ts";
import { ConnectionEnd } from "./caller_connection.ts";
import {
  CallerConnections,
  type OpenConnections,
} from "./caller_connections.ts";
import { CallerReply } from "./caller_reply.ts";
import { ShutdownStage } from "./shutdown_stage.ts";
import {
  DEFAULT_RETRY_AFTER_MS,
  LEAVING_RETRY_AFTER_MS,
} from "./retry_after.ts";
import { pollOfEventLoop } from "./event_loop_poll.ts";
import { LogPart } from "./event_log.ts";
import type { GatewayParts } from "./gateway_parts.ts";
import { UnfinishedAnswer } from "./unfinished_answer.ts";
import { listen } from "./snapshot_server.ts";
import type { CallMetadata } from "./ports.ts";
import type { RoutedCall } from "./routed_call.ts";
import { RequestBodyReader } from "./request_body_reader.ts";
import { RoutedRequest } from "./routed_request.ts";
import { RunDurations } from "./run_durations.ts";
import { reportUnhandled, runIsolated } from "./run_isolated.ts";
import { isStream } from "./target_attempt.ts";

/** Limits that apply until a configuration is known. */
const STARTING_LIMITS: CallerLimits = {
  maxHeaderBytes: 16 * 1024,
  maxBodyBytes: 4 * 1024 * 1024,
  headerTimeoutMs: 3000,
  idleTimeoutMs: 15_000,
};

/**
 * Largest request head that is parsed. Node.js takes this limit only when the
 * server is created; the configured limit is checked on the parsed headers.
 */
const MAX_PARSED_HEADER_BYTES = 256 * 1024;

/** Bytes of a header line besides its name and value: colon, space, CRLF. */
const HEADER_LINE_OVERHEAD_BYTES = 4;

/**
 * Event-loop delay from which callers may have disconnected before their
 * requests are read. Callers that disconnect early do so after some hundred ms.
 */
const MIN_LATE_MS = 50;

/** Polls of the event loop that may read requests before the process exits. */
const MAX_LAST_POLLS = 10;

/**
 * Time after the end of an answer for which a stopping instance keeps the
 * connection, if the head of the answer was sent before the stop and did not say
 * that it closes: the caller's next request may be on its way.
 */
const MIN_IDLE_MS = 250;

/** Time between two checks for connections over their time limits. */
const CONNECTION_CHECK_MS = 1000;

/** Retry time for callers of an instance that has no configuration yet. */
const NO_CONFIGURATION_RETRY_AFTER_MS = 300;

/**
 * Characters of a path that Node.js refuses to send. Some of its versions accept
 * them in a request that they receive.
 */
const UNSENDABLE_PATH_REGEXP = /[^\u0021-\u00ff]/;

/** Factor by which answers to the same caller differ in size. */
const SLOW_ANSWER_RATIO = 1.5;

/** Result of the admission check: an error, or where the request is routed. */
type Admission =
  | { readonly error: RoutedError; readonly retryAfterMs?: number }
  | {
    readonly table: RouteTable;
    readonly route: RoutePolicy;
    readonly workspace?: WorkspacePolicy;
    readonly pool: string;
  };

/** Accepts callers' connections, and admits or refuses their requests. */
export class FrontServer {
  readonly #parts: GatewayParts;
  readonly #server: Server;
  readonly #connections: CallerConnections;
  readonly #openRequests = new Set<RoutedRequest>();
  /** Functions that refuse the requests whose bodies are being read. */
  readonly #readingRequests = new Set<() => void>();
  readonly #runDurations = new RunDurations();
  /** Number of connections and requests so far. */
  #arrivalCount = 0;
  #limits = STARTING_LIMITS;
  #stage = ShutdownStage.Open;
  /** Time until begun answers are aborted; infinite unless shutting down. */
  #timeToAbortMs = () => Infinity;

  /** @param parts The instance's parts. */
  constructor(parts: GatewayParts) {
    this.#parts = parts;
    this.#server = createServer({
      keepAliveTimeout: STARTING_LIMITS.idleTimeoutMs,
      headersTimeout: STARTING_LIMITS.headerTimeoutMs,
      requestTimeout: 0,
      connectionsCheckingInterval: CONNECTION_CHECK_MS,
      maxHeaderSize: MAX_PARSED_HEADER_BYTES,
      noDelay: true,
    }, (request, response) => this.#readOrFail(request, response));
    const { clock, log, metrics } = parts;
    const stage = () => this.#stage;
    this.#connections = new CallerConnections({
      clock,
      log,
      metrics,
      stage,
      idleTimeoutMs: () => this.#limits.idleTimeoutMs,
    });
    this.#server.on("connection", (socket) => {
      this.#arrivalCount++;
      this.#connections.add(socket);
    });
    this.#server.on("clientError", (error, socket) => {
      this.#connections.handleUnreadable(socket as Socket, error);
    });
  }

  /** Number of requests in progress, including those being read. */
  get openCount(): number {
    return this.#openRequests.size + this.#readingRequests.size;
  }

  /** Counts of callers' connections and their unfinished answers. */
  get connections(): OpenConnections {
    return this.#connections.summary;
  }

  /** `ip:port` that the server listens on; empty if it does not listen. */
  get address(): string {
    const address = this.#server.address();
    return typeof address === "object" && address !== null
      ? `${address.address}:${address.port}`
      : "";
  }

  /**
   * Starts to listen.
   *
   * @param address `ip:port` to listen on.
   * @returns A promise that resolves once callers can connect.
   */
  open(address: string): Promise<void> {
    return listen(this.#server, address);
  }

  /**
   * Applies limits of a configuration, also to connections that are idle now.
   *
   * @param limits Limits on callers' requests and connections from now on.
   */
  setLimits(limits: CallerLimits): void {
    if (limits.idleTimeoutMs > this.#limits.idleTimeoutMs) {
      this.#connections.setIdleTimeout(limits.idleTimeoutMs);
    }
    this.#limits = limits;
    this.#server.keepAliveTimeout = limits.idleTimeoutMs;
    this.#server.headersTimeout = limits.headerTimeoutMs;
  }

  /**
   * Sends `Connection: close` with each answer from now on.
   *
   * @param timeToAbortMs Returns the time until begun answers are aborted, in
   * milliseconds.
   */
  announceClosing(timeToAbortMs: () => number): void {
    this.#stage = ShutdownStage.Announcing;
    this.#timeToAbortMs = timeToAbortMs;
  }

  /**
   * Refuses new requests from now on, and those that wait for a placement and
   * would not finish, and closes idle connections.
   */
  refuseRequests(): void {
    this.#stage = ShutdownStage.Refusing;
    for (const request of [...this.#openRequests]) {
      runIsolated(() => request.refuseIfTooLate());
    }
    // A request may have arrived on an idle connection that is closed. The next
    // poll of the event loop reads it first, so that it is refused.
    setImmediate(() => this.#connections.closeIdle(MIN_IDLE_MS));
  }

  /**
   * Refuses the requests that have arrived and are not read yet. Node.js may
   * accept one connection per poll of the event loop, and reads it in the next.
   *
   * @returns A promise that resolves once a poll has read no request.
   */
  async refuseUnread(): Promise<void> {
    let before: number;
    let polls = 0;
    do {
      before = this.#arrivalCount;
      await pollOfEventLoop();
      polls++;
    } while (this.#arrivalCount > before && polls < MAX_LAST_POLLS);
    runIsolated(() => this.#connections.closeIdle());
  }

  /**
   * Answers requests whose answers have not begun with an error, also those
   * that are still being read.
   */
  abortRequests(): void {
    this.#readingRequests.forEach((refuse) => runIsolated(refuse));
    this.#abort([...this.#openRequests].filter(({ hasBegun }) => !hasBegun));
  }

  /** Fails all open requests, and aborts answers that have begun. */
  abortAnswers(): void {
    this.#abort([...this.#openRequests]);
  }

  /**
   * Aborts requests that wait for a placement first: otherwise they would take
   * the slots freed by the others and be aborted right after they were sent.
   */
  #abort(requests: readonly RoutedRequest[]): void {
    const waiting = requests.filter(({ runCount }) => runCount === 0);
    for (const request of [...waiting, ...requests]) {
      runIsolated(() => request.abort());
    }
  }

  /** Aborts all answers, closes all connections and stops listening. */
  close(): void {
    this.#connections.closeAndRecord(ConnectionEnd.ProcessEnd, () => {
      this.abortAnswers();
      this.#server.close();
    });
    this.#connections.recordEndOfAll(ConnectionEnd.ProcessEnd);
  }

  /** Closes every connection at once; unfinished answers are lost. */
  kill(): void {
    this.#server.closeAllConnections();
  }

  /** Refuses a request if an error occurs before it can have been sent. */
  #readOrFail(request: IncomingMessage, response: ServerResponse): void {
    try {
      this.#onRequest(request, response);
    } catch (error) {
      reportUnhandled(error);
      if (!response.headersSent) {
        const reply = new CallerReply(response, {
          closesConnection: () => true,
          beforeUnframed: () => true,
          beforeAbort: () => {},
        });
        reply.sendError(RoutedError.NoTarget, {
          requestId: "",
          retryAfterMs: DEFAULT_RETRY_AFTER_MS,
        });
      }
    }
  }

  #onRequest(request: IncomingMessage, response: ServerResponse): void {
    const { clock, log, protocol } = this.#parts;
    this.#arrivalCount++;
    const arrivedAtMs = clock.nowMs();
    const facts = protocol.readCall(request.headers);
    const { requestId } = facts;
    if (this.#connections.isClosing(request.socket)) {
      // No answer can be sent. The request is not forwarded, so the caller may
      // retry it.
      log.info(LogPart.Request, "request not read, connection is closing", {
        requestId,
      });
      request.resume();
      return;
    }
    const isStopping = this.#stage !== ShutdownStage.Open;
    const closesConnection = isStopping || !response.shouldKeepAlive;
    const unfinished = new UnfinishedAnswer(response, {
      requestId,
      arrivedAtMs,
      closesConnection,
    });
    this.#connections.trackAnswer(unfinished);
    const reply = new CallerReply(response, {
      closesConnection: () =>
        this.#stage !== ShutdownStage.Open &&
        this.#connections.closeAfter(unfinished),
      beforeUnframed: () => this.#connections.endAfter(unfinished),
      beforeAbort: () =>
        this.#connections.recordEnd(unfinished, ConnectionEnd.Aborted),
    });
    const admission = this.#admit(request, facts);
    if ("error" in admission) {
      this.#refuse(reply, facts, admission);
      request.resume();
      return;
    }
    this.#parts.metrics.requestRead(admission.route.name);
    const refuse = (error: RoutedError, retryAfterMs?: number) => {
      if (this.#readingRequests.delete(refuseAsLeaving)) {
        this.#refuse(reply, facts, { error, retryAfterMs });
      }
    };
    const refuseAsLeaving = () =>
      refuse(RoutedError.Leaving, LEAVING_RETRY_AFTER_MS);
    this.#readingRequests.add(refuseAsLeaving);
    const { timeoutMs } = admission.route;
    new RequestBodyReader(request, {
      maxBytes: this.#limits.maxBodyBytes,
      memory: this.#parts.requestMemory,
      timeoutMs: Math.min(facts.deadlineMs ?? Infinity, timeoutMs),
      sink: {
        complete: (body, memory) =>
          this.#afterCallerCheck(unfinished, (isConnected) => {
            const isReading = this.#readingRequests.delete(refuseAsLeaving);
            if (!isReading || !isConnected) {
              memory.release();
              return;
            }
            const parts = { request, facts, body, arrivedAtMs, admission };
            this.#start(routedCallOf(parts), { unfinished, reply, memory });
          }),
        memoryExceeded: () =>
          refuse(RoutedError.MemoryExceeded, DEFAULT_RETRY_AFTER_MS),
        tooLarge: () => refuse(RoutedError.BodyTooLarge),
        tooSlow: () =>
          refuse(RoutedError.TimeoutNotRun, DEFAULT_RETRY_AFTER_MS),
        aborted: () => this.#readingRequests.delete(refuseAsLeaving),
      },
    });
  }

  /**
   * Checks whether the caller of a completely received request has disconnected
   * meanwhile. The end of the connection may still be unread behind the
   * request; the next poll of the event loop reads it, which costs an idle
   * process nothing. Late timers show that callers waited, but not always:
   * Node.js accepts one new connection per poll, so that callers wait for
   * seconds where polls take long. Hence the first request of a connection is
   * always checked.
   */
  #afterCallerCheck(
    unfinished: UnfinishedAnswer,
    proceed: (isConnected: boolean) => void,
  ): void {
    const check = () => proceed(this.#connections.isAnswerable(unfinished));
    const mayHaveLeft = this.#connections.isFirstRequest(unfinished) ||
      this.#parts.lateMs() >= MIN_LATE_MS;
    if (mayHaveLeft) {
      setImmediate(() => setImmediate(check));
    } else {
      check();
    }
  }

  /** Whether its caller may read too slowly for an answer before the exit. */
  #mayOutlastShutdown({ socket }: IncomingMessage): boolean {
    const slowestMs = this.#connections.slowestAnswerMs(socket);
    return SLOW_ANSWER_RATIO * slowestMs > this.#timeToAbortMs();
  }

  #admit(request: IncomingMessage, facts: CallMetadata): Admission {
    const isRefusing = this.#stage === ShutdownStage.Refusing;
    if (isRefusing || this.#mayOutlastShutdown(request)) {
      const retryAfterMs = LEAVING_RETRY_AFTER_MS;
      return { error: RoutedError.Leaving, retryAfterMs };
    }
    if (headerBytesOf(request) > this.#limits.maxHeaderBytes) {
      return { error: RoutedError.HeadTooLarge };
    }
    if (UNSENDABLE_PATH_REGEXP.test(request.url!)) {
      return { error: RoutedError.InvalidPath };
    }
    const table = this.#parts.board.routes;
    if (table === undefined) {
      const retryAfterMs = NO_CONFIGURATION_RETRY_AFTER_MS;
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
    if (isStream(route.kind) && facts.isResumeAfterInvalid) {
      return { error: RoutedError.InvalidEventId };
    }
    // Another run would be joined to that of the events that the caller has.
    const hasEvents = (facts.resumeAfter ?? 0) > 0;
    if (route.kind === RequestKind.Stream && hasEvents) {
      return { error: RoutedError.NotResumable };
    }
    const pool = table.pickPool(route, poolHashTextOf(facts));
    return pool === undefined
      ? {
        error: RoutedError.NoTarget,
        retryAfterMs: NO_CONFIGURATION_RETRY_AFTER_MS,
      }
      : { table, route, workspace, pool };
  }

  #refuse(
    reply: CallerReply,
    facts: CallMetadata,
    of: { error: RoutedError; retryAfterMs?: number },
  ): void {
    const { board, clock, log, metrics } = this.#parts;
    const ageMs = board.configurationAge.ageMs(clock.nowMs());
    metrics.errorAnswered("none", of.error);
    log.info(LogPart.Request, "request refused on arrival", {
      requestId: facts.requestId,
      error: of.error,
      configurationVersion: board.routes?.configuration.version,
      configurationAgeMs: ageMs && Math.round(ageMs),
    });
    const { requestId } = facts;
    reply.sendError(of.error, { requestId, retryAfterMs: of.retryAfterMs });
  }

  #start(
    call: RoutedCall,
    { unfinished, reply, memory }: {
      unfinished: UnfinishedAnswer;
      reply: CallerReply;
      memory: MemoryReservation;
    },
  ): void {
    const routed = new RoutedRequest(this.#parts, {
      call,
      reply,
      stop: {
        runDurations: this.#runDurations,
        leftMs: () => this.#timeToAbortMs(),
      },
      onDone: () => {
        memory.release();
        this.#openRequests.delete(routed);
        this.#parts.metrics.openRequests(this.#openRequests.size);
      },
    });
    unfinished.countRuns = () => routed.runCount;
    this.#openRequests.add(routed);
    this.#parts.metrics.openRequests(this.#openRequests.size);
    // Node.js emits a response's `close` only once it is the current response
    // of its connection, which a pipelined one may never become.
    unfinished.onConnectionEnded = () => routed.onCallerLeft();
    unfinished.response.on("drain", () => routed.onCallerDrained());
    routed.start();
  }
}

/** A stream that is taken up keeps to the pool that began it. */
function poolHashTextOf({ requestId, resumeAfter, resumes }: CallMetadata) {
  return resumeAfter === undefined ? requestId : resumes ?? requestId;
}

function headerBytesOf({ rawHeaders }: IncomingMessage): number {
  return rawHeaders.reduce((sum, part) => sum + part.length, 0) +
    rawHeaders.length / 2 * HEADER_LINE_OVERHEAD_BYTES;
}

function routedCallOf(
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
