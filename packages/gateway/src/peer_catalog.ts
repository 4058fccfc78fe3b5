/**
 * What instances hand each other on demand because it is too large for a
 * datagram: the configuration, and the list of targets.
 */

import { Buffer } from "node:buffer";
import { createServer, get, type Server } from "node:http";
import { gunzipSync, gzipSync } from "node:zlib";
import type { MemberInfo } from "@chestnuthatch/routing/member_view";
import { err, ok, type Result } from "neverthrow";
import type * as z from "zod";
import { hostPortOf } from "./host_port.ts";

/** What can be asked for. */
export enum CatalogItem {
  Configuration = "/configuration",
  Targets = "/targets",
}

/** Time that a peer may take to hand something over. */
const FETCH_TIMEOUT_MS = 800;

/** Largest item that is accepted; 1,000 routes take about 300 KB. */
const MAX_ITEM_BYTES = 8 * 1024 * 1024;

/** The fastest packing; the slowest saves a tenth of the bytes. */
const PACKING_LEVEL = 1;

/** Gives the content of an item; undefined where there is none yet. */
export type CatalogContent = (item: CatalogItem) => unknown;

/** Serves and fetches items. */
export class PeerCatalog {
  readonly #server: Server;
  /** What was packed last, kept while its content is the same object. */
  #packed?: { readonly content: unknown; readonly bytes: Buffer };

  /** @param content Gives the content of an item. */
  constructor(content: CatalogContent) {
    this.#server = createServer((request, response) => {
      const item = Object.values(CatalogItem)
        .find((path) => path === request.url);
      const found = item === undefined ? undefined : content(item);
      if (found === undefined) {
        response.writeHead(404).end();
        return;
      }
      response.writeHead(200, { "Content-Type": "application/gzip" })
        .end(this.#pack(found));
    });
  }

  /**
   * Items are repetitive text: 1,400 routes pack to a fifteenth, so that one
   * instance with a narrow link can hand them to a whole fleet within a second.
   */
  #pack(content: unknown): Buffer {
    if (this.#packed?.content !== content) {
      const bytes = gzipSync(JSON.stringify(content), { level: PACKING_LEVEL });
      this.#packed = { content, bytes };
    }
    return this.#packed!.bytes;
  }

  /**
   * @param address `ip:port` to serve at.
   * @returns Once peers can ask.
   */
  open(address: string): Promise<void> {
    return listen(this.#server, address);
  }

  /** Port that it serves at. */
  get port(): number {
    const address = this.#server.address();
    return typeof address === "object" && address !== null ? address.port : 0;
  }

  /** Stops serving. */
  close(): void {
    this.#server.close();
    this.#server.closeAllConnections();
  }
}

/**
 * @param member A member.
 * @param port Port of all catalogs.
 * @returns `ip:port` of its catalog.
 */
export function catalogOf(member: MemberInfo, port: number): string {
  return `${hostPortOf(member.address).host}:${port}`;
}

/**
 * Fetches an item from a peer.
 *
 * @param address `ip:port` of the peer's catalog.
 * @param item What to fetch.
 * @param schema Checks what came.
 * @returns The item, or why there is none.
 */
export function fetchItem<T>(
  address: string,
  item: CatalogItem,
  schema: z.ZodType<T>,
): Promise<Result<T, string>> {
  const { host, port } = hostPortOf(address);
  return new Promise((resolve) => {
    const request = get({
      host,
      port,
      path: item,
      agent: false,
      timeout: FETCH_TIMEOUT_MS,
    }, (answer) => {
      const chunks: Buffer[] = [];
      let bytes = 0;
      answer.on("data", (chunk: Buffer) => {
        chunks.push(chunk);
        bytes += chunk.length;
        if (bytes > MAX_ITEM_BYTES) {
          request.destroy(new Error("item is too large"));
        }
      });
      answer.on("error", (error) => resolve(err(error.message)));
      answer.on("end", () => {
        resolve(
          answer.statusCode === 200
            ? parsed(Buffer.concat(chunks), schema)
            : err(`peer answered ${answer.statusCode}`),
        );
      });
    });
    request.on("timeout", () => request.destroy(new Error("peer is silent")));
    request.on("error", (error) => resolve(err(error.message)));
  });
}

function parsed<T>(bytes: Buffer, schema: z.ZodType<T>): Result<T, string> {
  try {
    const text = gunzipSync(bytes, { maxOutputLength: MAX_ITEM_BYTES })
      .toString("utf8");
    const checked = schema.safeParse(JSON.parse(text));
    return checked.success
      ? ok(checked.data)
      : err(`wrong at ${checked.error.issues[0]?.path.join(".")}`);
  } catch (error) {
    return err(String(error));
  }
}

/**
 * Opens an HTTP server.
 *
 * @param server The server.
 * @param address `ip:port` to listen at.
 * @returns Once it listens.
 */
export function listen(server: Server, address: string): Promise<void> {
  const { host, port } = hostPortOf(address);
  return new Promise((resolve, reject) => {
    server.once("error", reject);
    server.listen(port, host, () => {
      server.removeListener("error", reject);
      resolve();
    });
  });
}
