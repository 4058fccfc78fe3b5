/** The HTTP server of the callers' edge: routes, connections, shutdown. */

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
import { faultOfHttpError, refuseConnection } from "./malformed_http.ts";
import { type EdgeContext, EdgeCounterName } from "./ports.ts";
import {
  answerRead,
  type InstanceReads,
  READ_ROUTES,
  type RoutedRequest,
} from "./read_routes.ts";
import type { Timers } from "./timers.ts";

/** What the server is made of. */
export interface CallerServerOptions {
  readonly host: string;
  /** 0 lets the system choose one; see {@link CallerServer.address}. */
  readonly port: number;
  readonly reads: InstanceReads;
  /** Gives an id that no other request of the fleet has. */
  readonly mintRequestId: () => string;
  readonly limits: CallerLimits;
  readonly timers: Timers;
  /** Takes a call for which work is asked. */
  readonly onRequest: (
    request: IncomingMessage,
    response: ServerResponse,
  ) => void;
}

/** Routes callers' HTTP requests, and closes when all are answered. */
export class CallerServer {
  readonly #context: EdgeContext;
  readonly #options: CallerServerOptions;
  readonly #server: Server;
  /** Every response that is not over, those of refused calls included. */
  readonly #responses = new Set<ServerResponse>();
  #shuttingDown = false;
  #onIdle: () => void = () => {};

  /**
   * @param context What every edge is handed.
   * @param options Where to listen and who takes requests.
   */
  constructor(context: EdgeContext, options: CallerServerOptions) {
    this.#context = context;
    this.#options = options;
    this.#server = this.#makeServer();
  }

  /** @returns Whether new requests are to be refused. */
  get shuttingDown(): boolean {
    return this.#shuttingDown;
  }

  /** @returns Nothing, once the server listens. */
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

  /** @returns `host:port` that the server listens on. */
  address(): string {
    const { address, port } = this.#server.address() as AddressInfo;
    return `${address}:${port}`;
  }

  /** Closes each connection after the response that is under way. */
  beginShutdown(): void {
    this.#shuttingDown = true;
    for (const response of this.#responses) {
      if (!response.headersSent) {
        response.setHeader("connection", "close");
      }
    }
    this.#closeIdle();
  }

  /**
   * The runtime takes a connection for idle once its answer is ended, though
   * bytes of it may wait for the caller; closed then, a caller that reads slowly
   * gets 4 of 33 MB. So it is asked only while nothing waits.
   */
  #closeIdle(): void {
    const waits = [...this.#responses].some((each) => each.writableEnded);
    if (!waits) {
      this.#server.closeIdleConnections();
    }
  }

  /** @returns Nothing, once every response is over and the port is closed. */
  async stop(): Promise<void> {
    this.beginShutdown();
    // Until then callers are refused: closing the port closes what seems idle.
    await this.#idle();
    const closed = new Promise<void>((resolve) => {
      this.#server.close(() => resolve());
    });
    this.#server.closeAllConnections();
    await closed;
  }

  /** @param response A response that is cut off unless it is over in time. */
  boundDelivery(response: ServerResponse): void {
    const { timers, limits } = this.#options;
    const cancel = timers.after(
      limits.deliverTimeoutMs,
      () => response.destroy(),
    );
    response.once("close", cancel);
  }

  #idle(): Promise<void> {
    return new Promise((resolve) => {
      this.#onIdle = resolve;
      this.#checkIdle();
    });
  }

  #checkIdle(): void {
    if (this.#responses.size === 0) {
      this.#onIdle();
    }
  }

  #makeServer(): Server {
    const { limits } = this.#options;
    const server = createServer({
      maxHeaderSize: limits.maxHeaderBytes,
      headersTimeout: limits.headersTimeoutMs,
      connectionsCheckingInterval: limits.headersTimeoutMs,
      // The body reader has a timer of its own, which answers truthfully.
      requestTimeout: 0,
    });
    server.maxConnections = limits.maxConnections;
    server.on("clientError", (error, socket) => {
      this.#onClientError(error, socket);
    });
    server.on("request", this.#makeRoutes());
    return server;
  }

  #makeRoutes(): (request: IncomingMessage, response: ServerResponse) => void {
    const routes = polka({
      onNoMatch: (request, response) => this.#onNoRoute(request, response),
    });
    routes.post("/v1/requests", this.#options.onRequest);
    for (const [pattern, handler] of Object.entries(READ_ROUTES)) {
      routes.get(pattern, (request, response) => {
        const exchange = { request: request as RoutedRequest, response };
        this.boundDelivery(response);
        answerRead(handler, this.#options.reads, exchange).catch((error) =>
          this.#onRouteFault(response, error)
        );
      });
    }
    return (request, response) => {
      this.#track(response);
      try {
        routes.handler(request as polka.Request, response);
      } catch (error) {
        this.#onRouteFault(response, error);
      }
    };
  }

  #track(response: ServerResponse): void {
    this.#responses.add(response);
    if (this.#shuttingDown) {
      response.setHeader("connection", "close");
    }
    response.once("close", () => {
      this.#responses.delete(response);
      if (this.#shuttingDown) {
        this.#closeIdle();
      }
      this.#checkIdle();
    });
  }

  #onRouteFault(response: ServerResponse, error: unknown): void {
    const text = `Could not answer a call: ${error}`;
    this.#context.log(LogLevel.Error, LogPart.Callers, text);
    this.#refuse(response, {
      error: ErrorKind.Internal,
      message: "This instance failed to answer.",
      ran: RunState.NotRun,
    });
  }

  #onNoRoute(request: IncomingMessage, response: ServerResponse): void {
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
    const refusal = edgeRefusal(this.#options.mintRequestId(), fault);
    sendReply(response, refusalReply(refusal));
  }

  #onClientError(error: NodeJS.ErrnoException, socket: Duplex): void {
    // A refusal here would be read as the answer to the call under way.
    const underWay = [...this.#responses].some((response) =>
      response.socket === socket
    );
    if (underWay || error.code === "ECONNRESET" || !socket.writable) {
      socket.destroy();
      return;
    }
    const fault = faultOfHttpError(error.code);
    const labels = { error: fault.error };
    this.#context.count(EdgeCounterName.CallerBodiesRejected, labels, 1);
    const refusal = edgeRefusal(this.#options.mintRequestId(), fault);
    refuseConnection(socket, refusal);
  }
}
