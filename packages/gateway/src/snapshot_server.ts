/**
 * Snapshots that instances fetch from each other over HTTP because they are too
 * large for a datagram: the configuration, and the list of targets.
 */

import type { Buffer } from "node:buffer";
import { createServer, get, type Server } from "node:http";
import { gunzipSync, gzipSync } from "node:zlib";
import type { MemberInfo } from "@chestnuthatch/routing/member_record";
import { err, ok, type Result } from "neverthrow";
import type * as z from "zod";
import { BodyCollector } from "./body_collector.ts";
import { hostPortOf } from "./host_port.ts";

/** Kinds of snapshots; the values are the HTTP paths. */
export enum SnapshotKind {
  Configuration = "/configuration",
  Targets = "/targets",
}

/** Socket timeout of a fetch: longest time without data from the peer. */
const FETCH_TIMEOUT_MS = 800;

/** Largest snapshot that is accepted; 1,000 routes take about 300 KB. */
const MAX_SNAPSHOT_BYTES = 8 * 1024 * 1024;

/** The fastest compression; the slowest level saves a tenth of the bytes. */
const GZIP_LEVEL = 1;

/** Returns the content of a snapshot; undefined while there is none. */
export type SnapshotSource = (kind: SnapshotKind) => unknown;

/** HTTP server from which peers fetch snapshots. */
export class SnapshotServer {
  readonly #server: Server;
  /** Last compressed snapshot, reused while the content is the same object. */
  #compressed?: { readonly content: unknown; readonly bytes: Buffer };

  /** @param source Returns the content of a snapshot. */
  constructor(source: SnapshotSource) {
    this.#server = createServer((request, response) => {
      const kind = Object.values(SnapshotKind)
        .find((path) => path === request.url);
      const content = kind === undefined ? undefined : source(kind);
      if (content === undefined) {
        response.writeHead(404).end();
        return;
      }
      response.writeHead(200, { "Content-Type": "application/gzip" })
        .end(this.#compress(content));
    });
  }

  /**
   * Snapshots are repetitive text: 1,400 routes compress to a fifteenth, so
   * that one instance with little bandwidth can send them to a whole fleet
   * within a second.
   */
  #compress(content: unknown): Buffer {
    if (this.#compressed?.content !== content) {
      const bytes = gzipSync(JSON.stringify(content), { level: GZIP_LEVEL });
      this.#compressed = { content, bytes };
    }
    return this.#compressed!.bytes;
  }

  /**
   * Starts to serve.
   *
   * @param address `ip:port` to listen at.
   * @returns Resolves when peers can connect.
   */
  open(address: string): Promise<void> {
    return listen(this.#server, address);
  }

  /** Port that the server listens at; 0 while it is closed. */
  get port(): number {
    const address = this.#server.address();
    return typeof address === "object" && address !== null ? address.port : 0;
  }

  /** Stops serving, and closes all connections. */
  close(): void {
    this.#server.close();
    this.#server.closeAllConnections();
  }
}

/**
 * @param member A member of the fleet.
 * @param port Port of the snapshot servers, the same on all instances.
 * @returns `ip:port` of the member's snapshot server.
 */
export function snapshotAddressOf(member: MemberInfo, port: number): string {
  return `${hostPortOf(member.address).host}:${port}`;
}

/**
 * Fetches a snapshot from a peer.
 *
 * @param address `ip:port` of the peer's snapshot server.
 * @param kind Kind of the snapshot.
 * @param schema Validates the received content.
 * @returns The content of the snapshot, or the reason of the failure.
 */
export function fetchSnapshot<T>(
  address: string,
  kind: SnapshotKind,
  schema: z.ZodType<T>,
): Promise<Result<T, string>> {
  const { host, port } = hostPortOf(address);
  return new Promise((resolve) => {
    const request = get({
      host,
      port,
      path: kind,
      agent: false,
      timeout: FETCH_TIMEOUT_MS,
    }, (answer) => {
      const body = new BodyCollector();
      answer.on("data", (chunk: Buffer) => {
        body.push(chunk);
        if (body.byteLength > MAX_SNAPSHOT_BYTES) {
          request.destroy(new Error("snapshot is too large"));
        }
      });
      answer.on("error", (error) => resolve(err(error.message)));
      answer.on("end", () => {
        resolve(
          answer.statusCode === 200
            ? parseSnapshot(body.bytes, schema)
            : err(`peer answered ${answer.statusCode}`),
        );
      });
    });
    request.on("timeout", () => request.destroy(new Error("peer timed out")));
    request.on("error", (error) => resolve(err(error.message)));
  });
}

function parseSnapshot<T>(
  bytes: Buffer,
  schema: z.ZodType<T>,
): Result<T, string> {
  try {
    const text = gunzipSync(bytes, { maxOutputLength: MAX_SNAPSHOT_BYTES })
      .toString("utf8");
    const checked = schema.safeParse(JSON.parse(text));
    return checked.success
      ? ok(checked.data)
      : err(`invalid at ${checked.error.issues[0]?.path.join(".")}`);
  } catch (error) {
    return err(String(error));
  }
}

/**
 * Makes an HTTP server listen.
 *
 * @param server The server.
 * @param address `ip:port` to listen at.
 * @returns Resolves when the server listens; rejects if it can't.
 */
export function listen(server: Server, address: string): Promise<void> {
  const { host, port } = hostPortOf(address);
  return new Promise((resolve, reject) => {
    const onListening = () => {
      server.removeListener("error", onError);
      resolve();
    };
    // Removes the other listener, as a failed server may be tried again.
    const onError = (error: Error) => {
      server.removeListener("listening", onListening);
      reject(error);
    };
    server.once("error", onError);
    server.once("listening", onListening);
    server.listen(port, host);
  });
}
