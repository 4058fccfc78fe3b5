/** HTTP server of the stand-ins, with validated JSON bodies and answers. */

import { Buffer } from "node:buffer";
import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from "node:http";
import type { AddressInfo, Socket } from "node:net";
import { performance } from "node:perf_hooks";
import polka from "polka";
import type * as z from "zod";

/** Address on which a stand-in listens. */
export interface ListenOptions {
  readonly host: string;
  /** Port number; 0 picks a free port. */
  readonly port: number;
}

/** Address at which a stand-in is listening. */
export interface ListenAddress {
  /** The address as `host:port`. */
  readonly address: string;
}

/** Monotonic clock; returns the current time in milliseconds. */
export type NowMs = () => number;

/** Handles a request whose body has been parsed and validated. */
export type JsonHandler<T> = (body: T, response: ServerResponse) => void;

const MAX_BODY_BYTES = 32 * 1024 * 1024;
const HTTP_OK = 200;
const HTTP_BAD_REQUEST = 400;

/** @returns Milliseconds since the process started, on a monotonic clock. */
export function processNowMs(): number {
  return performance.now();
}

/** HTTP server whose stop closes all connections, like the end of a process. */
export class StandinHttpServer {
  /** Router; routes must be added before the server starts. */
  readonly app = polka();
  readonly #sockets = new Set<Socket>();
  #server: Server | undefined;
  #listen: ListenOptions;

  /** @param listen Address to listen on. */
  constructor(listen: ListenOptions) {
    this.#listen = listen;
  }

  /**
   * Starts to listen. After a stop it listens on the same port again.
   *
   * @returns The address it listens on.
   */
  start(): Promise<ListenAddress> {
    const server = createServer((request, response) => {
      this.app.handler(
        request as Parameters<typeof this.app.handler>[0],
        response,
      );
    });
    server.on("connection", (socket: Socket) => {
      this.#sockets.add(socket);
      socket.on("close", () => this.#sockets.delete(socket));
    });
    this.#server = server;
    return new Promise((resolve, reject) => {
      server.on("error", reject);
      server.listen(this.#listen, () => {
        const { port } = server.address() as AddressInfo;
        this.#listen = { ...this.#listen, port };
        resolve({ address: `${this.#listen.host}:${port}` });
      });
    });
  }

  /** Stops listening and closes every connection at once. */
  stop(): Promise<void> {
    const server = this.#server;
    this.#server = undefined;
    if (server === undefined) {
      return Promise.resolve();
    }
    return new Promise((resolve) => {
      server.close(() => resolve());
      this.#sockets.forEach((socket) => socket.destroy());
    });
  }
}

/**
 * Creates a route handler that parses and validates a JSON body.
 *
 * @param schema Schema of the body.
 * @param handler Called with a valid body; an invalid one is answered with 400.
 * @returns The route handler.
 */
export function jsonRoute<T>(
  schema: z.ZodType<T>,
  handler: JsonHandler<T>,
): (request: IncomingMessage, response: ServerResponse) => void {
  return (request, response) => {
    readBodyText(request, (text) => {
      const parsed = schema.safeParse(parseJson(text));
      if (parsed.success) {
        handler(parsed.data, response);
      } else {
        sendBadRequest(response, parsed.error.message);
      }
    });
  };
}

/**
 * Reads a whole body. The connection is closed if the body exceeds 32 MiB.
 *
 * @param request The request.
 * @param onText Called with the decoded body.
 */
export function readBodyText(
  request: IncomingMessage,
  onText: (text: string) => void,
): void {
  const chunks: Buffer[] = [];
  let bytes = 0;
  request.on("data", (chunk: Buffer) => {
    bytes += chunk.length;
    if (bytes > MAX_BODY_BYTES) {
      request.destroy();
      return;
    }
    chunks.push(chunk);
  });
  request.on("end", () => onText(Buffer.concat(chunks).toString("utf8")));
  request.on("error", () => request.destroy());
}

/**
 * Sends a JSON answer.
 *
 * @param response The response.
 * @param body The value to serialize.
 * @param status HTTP status code; 200 if absent.
 */
export function sendJson(
  response: ServerResponse,
  body: unknown,
  { status = HTTP_OK }: { readonly status?: number } = {},
): void {
  response.writeHead(status, { "content-type": "application/json" });
  response.end(JSON.stringify(body));
}

/**
 * Answers an invalid request with status 400.
 *
 * @param response The response.
 * @param message The reason the request is invalid.
 */
export function sendBadRequest(
  response: ServerResponse,
  message: string,
): void {
  sendJson(response, { message }, { status: HTTP_BAD_REQUEST });
}

/**
 * Parses the query string of a request.
 *
 * @param request The request.
 * @returns The query parameters.
 */
export function parseQuery(request: IncomingMessage): URLSearchParams {
  return new URL(request.url ?? "/", "http://localhost").searchParams;
}

function parseJson(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
}
