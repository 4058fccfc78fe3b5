/** HTTP server of the callers' edge: routes, connections and shutdown. */

import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from "node:http";
import type { AddressInfo } from "node:net";
import type { Duplex } from "node:stream";
import { LogLevel, LogPart } from "@chestnuthatch/core/effects";
import { ErrorKind, RunState } from "@chestnuthatch/wire/shared_types";
import polka from "polka";
import type { CallerLimits } from "./caller_limits.ts";
import { refusalReply, sendReply } from "./caller_reply.ts";
import { type EdgeFault, edgeRefusal } from "./edge_refusal.ts";
import { faultForErrorCode, refuseConnection } from "./http_parser_errors.ts";
import { type EdgeContext, EdgeCounterName } from "./ports.ts";
import {
  answerReadRequest,
  type InstanceReader,
  READ_ROUTES,
  type RoutedRequest,
} from "./read_routes.ts";
import type { Timers } from "./timers.ts";

/** Options of a {@link CallerServer}. */
export interface CallerServerOptions {
  /** Name or address of the interface to listen on. */
  readonly host: string;
  /**
   * Port to listen on. With 0 the operating system chooses a free port, which
   * {@link CallerServer.address} returns.
   */
  readonly port: number;
  /** Source of the data that the read routes return. */
  readonly reader: InstanceReader;
  /** Generates a request id that is unique within the fleet. */
  readonly generateRequestId: () => string;
  readonly limits: CallerLimits;
  readonly timers: Timers;
  /** Handles each `POST /v1/requests`. */
  readonly onRequest: (
    request: IncomingMessage,
    response: ServerResponse,
  ) => void;
}

/** Routes callers' HTTP requests, and shuts down once all are answered. */
export class CallerServer {
  readonly #context: EdgeContext;
  readonly #options: CallerServerOptions;
  readonly #server: Server;
  /** Responses not yet closed, including those of refused calls. */
  readonly #responses = new Set<ServerResponse>();
  #isShuttingDown = false;
  #onAllResponsesClosed: () => void = () => {};

  /**
   * @param context Clock, event sink, log and counters of the instance.
   * @param options Listening address, limits and request handler.
   */
  constructor(context: EdgeContext, options: CallerServerOptions) {
    this.#context = context;
    this.#options = options;
    this.#server = this.#createServer();
  }

  /** Whether shutdown has begun, so that new requests must be refused. */
  get isShuttingDown(): boolean {
    return this.#isShuttingDown;
  }

  /**
   * Starts listening.
   *
   * @returns Settles once the server accepts connections.
   */
  start(): Promise<void> {
    const { host, port } = this.#options;
    return new Promise((resolve, reject) => {
      this.#server.once("error", reject);
      this.#server.listen(port, host, () => {
        this.#server.off("error", reject);
        resolve();
      });
    });
  }

  /**
   * Returns the listening address; valid only after {@link CallerServer.start}.
   *
   * @returns The address as `host:port`.
   */
  address(): string {
    const { address, port } = this.#server.address() as AddressInfo;
    return `${address}:${port}`;
  }

  /** Closes each connection after its response in progress. */
  beginShutdown(): void {
    this.#isShuttingDown = true;
    for (const response of this.#responses) {
      if (!response.headersSent) {
        response.setHeader("connection", "close");
      }
    }
    this.#closeIdleConnections();
  }

  /**
   * Node.js treats a connection as idle once its response has been ended, even
   * if bytes of the response are still buffered. Closing it then truncates the
   * response: a slow reader received 4 of 33 MB. So this closes connections
   * only while no response has unsent bytes.
   */
  #closeIdleConnections(): void {
    const hasUnsentResponse = [...this.#responses].some((response) =>
      response.writableEnded
    );
    if (!hasUnsentResponse) {
      this.#server.closeIdleConnections();
    }
  }

  /**
   * Shuts the server down.
   *
   * @returns Settles once every response has closed and the port is closed.
   */
  async stop(): Promise<void> {
    this.beginShutdown();
    // Until all responses are closed, the port stays open and new requests are
    // refused: server.close() also closes connections that only seem idle.
    await this.#whenAllResponsesClosed();
    const closed = new Promise<void>((resolve) => {
      this.#server.close(() => resolve());
    });
    this.#server.closeAllConnections();
    await closed;
  }

  /**
   * Limits the time that a response may take from now on.
   *
   * @param response Destroyed unless it closes within `deliveryTimeoutMs`.
   */
  startDeliveryTimeout(response: ServerResponse): void {
    const { timers, limits } = this.#options;
    const cancel = timers.schedule(
      limits.deliveryTimeoutMs,
      () => response.destroy(),
    );
    response.once("close", cancel);
  }

  #whenAllResponsesClosed(): Promise<void> {
    return new Promise((resolve) => {
      this.#onAllResponsesClosed = resolve;
      this.#notifyIfAllResponsesClosed();
    });
  }

  #notifyIfAllResponsesClosed(): void {
    if (this.#responses.size === 0) {
      this.#onAllResponsesClosed();
    }
  }

  #createServer(): Server {
    const { limits } = this.#options;
    const server = createServer({
      maxHeaderSize: limits.maxHeaderBytes,
      headersTimeout: limits.headersTimeoutMs,
      connectionsCheckingInterval: limits.headersTimeoutMs,
      // The body reader's own timeout answers with an accurate refusal.
      requestTimeout: 0,
    });
    server.maxConnections = limits.maxConnections;
    server.on("clientError", (error, socket) => {
      this.#onClientError(error, socket);
    });
    server.on("request", this.#createRequestListener());
    return server;
  }

  #createRequestListener(): (
    request: IncomingMessage,
    response: ServerResponse,
  ) => void {
    const routes = polka({
      onNoMatch: (request, response) =>
        this.#refuseUnknownRoute(request, response),
    });
    routes.post("/v1/requests", this.#options.onRequest);
    for (const [pattern, handler] of Object.entries(READ_ROUTES)) {
      routes.get(pattern, (request, response) => {
        const exchange = { request: request as RoutedRequest, response };
        this.startDeliveryTimeout(response);
        answerReadRequest(handler, this.#options.reader, exchange).catch(
          (error) => this.#onRouteError(response, error),
        );
      });
    }
    return (request, response) => {
      this.#trackResponse(response);
      try {
        routes.handler(request as polka.Request, response);
      } catch (error) {
        this.#onRouteError(response, error);
      }
    };
  }

  #trackResponse(response: ServerResponse): void {
    this.#responses.add(response);
    if (this.#isShuttingDown) {
      response.setHeader("connection", "close");
    }
    response.once("close", () => {
      this.#responses.delete(response);
      if (this.#isShuttingDown) {
        this.#closeIdleConnections();
      }
      this.#notifyIfAllResponsesClosed();
    });
  }

  #onRouteError(response: ServerResponse, error: unknown): void {
    const text = `Could not answer a request: ${error}`;
    this.#context.log(LogLevel.Error, LogPart.Callers, text);
    this.#refuse(response, {
      error: ErrorKind.Internal,
      message: "This instance failed to answer.",
      ran: RunState.NotRun,
    });
  }

  #refuseUnknownRoute(
    request: IncomingMessage,
    response: ServerResponse,
  ): void {
    this.#refuse(response, {
      error: ErrorKind.BadRequest,
      message: `There is no such path for ${request.method}; allowed are ` +
        `POST /v1/requests and GET ${Object.keys(READ_ROUTES).join(", ")}.`,
    });
  }

  #refuse(response: ServerResponse, fault: EdgeFault): void {
    if (response.headersSent) {
      response.destroy();
      return;
    }
    const refusal = edgeRefusal(this.#options.generateRequestId(), fault);
    sendReply(response, refusalReply(refusal));
  }

  #onClientError(error: NodeJS.ErrnoException, socket: Duplex): void {
    // The caller would read a refusal as the answer to its open request.
    const hasOpenResponse = [...this.#responses].some((response) =>
      response.socket === socket
    );
    if (hasOpenResponse || error.code === "ECONNRESET" || !socket.writable) {
      socket.destroy();
      return;
    }
    const fault = faultForErrorCode(error.code);
    const labels = { error: fault.error };
    this.#context.count(EdgeCounterName.CallerBodiesRejected, labels, 1);
    const refusal = edgeRefusal(this.#options.generateRequestId(), fault);
    refuseConnection(socket, refusal);
  }
}
