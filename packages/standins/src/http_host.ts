/** What the HTTP stand-ins share: listening, typed bodies, JSON answers. */

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

/** Where a stand-in listens. */
export interface ListenOptions {
  readonly host: string;
  /** 0 lets the system choose. */
  readonly port: number;
}

/** Where a stand-in can be reached, as `host:port`. */
export interface ListenAddress {
  readonly address: string;
}

/** A clock in milliseconds that never goes back. */
export type NowMs = () => number;

/** Handles a request whose body has been checked. */
export type JsonHandler<T> = (body: T, response: ServerResponse) => void;

const MAX_BODY_BYTES = 32 * 1024 * 1024;
const HTTP_OK = 200;
const HTTP_BAD_REQUEST = 400;

/** @returns Milliseconds on the process's own clock. */
export function processNowMs(): number {
  return performance.now();
}

/** Listens, and can be stopped hard like a process that dies. */
export class HttpHost {
  /** Routes are added here before the start. */
  readonly app = polka();
  readonly #sockets = new Set<Socket>();
  #server: Server | undefined;
  #listen: ListenOptions;

  /** @param listen Where to listen. */
  constructor(listen: ListenOptions) {
    this.#listen = listen;
  }

  /**
   * Starts to listen; after a stop, again on the same port.
   *
   * @returns Where it listens.
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

  /** Stops listening and cuts every connection. */
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
 * Makes a route handler that reads and checks a JSON body.
 *
 * @param schema What the body must be.
 * @param handler Called with the body; a wrong one is answered with 400.
 * @returns The route handler.
 */
export function jsonRoute<T>(
  schema: z.ZodType<T>,
  handler: JsonHandler<T>,
): (request: IncomingMessage, response: ServerResponse) => void {
  return (request, response) => {
    readText(request, (text) => {
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
 * Reads a whole body; one that is too large cuts the connection.
 *
 * @param request The request.
 * @param onText Called with the body.
 */
export function readText(
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
 * Answers with JSON.
 *
 * @param response The response.
 * @param body What to send.
 * @param status Status code.
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
 * Answers that a request is wrong.
 *
 * @param response The response.
 * @param message What is wrong.
 */
export function sendBadRequest(
  response: ServerResponse,
  message: string,
): void {
  sendJson(response, { message }, { status: HTTP_BAD_REQUEST });
}

/**
 * Reads the query of a request.
 *
 * @param request The request.
 * @returns Its parameters.
 */
export function queryOf(request: IncomingMessage): URLSearchParams {
  return new URL(request.url ?? "/", "http://localhost").searchParams;
}

function parseJson(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
}
