/** Tells whether the instance is ready, and serves its metrics. */

import { createServer, type RequestListener, type Server } from "node:http";
import polka from "polka";
import type { GatewayMetrics } from "./gateway_metrics.ts";
import { listen } from "./snapshot_server.ts";

/** What the server tells. */
export interface StatusParts {
  readonly metrics: GatewayMetrics;
  /** @returns Whether callers may be sent here. */
  isReady(): boolean;
}

/** One HTTP server for readiness, one for metrics. */
export class StatusServer {
  readonly #ready: Server;
  readonly #metrics: Server;

  /** @param parts What it tells. */
  constructor(parts: StatusParts) {
    const ready = polka().get("/ready", (_request, response) => {
      response.statusCode = parts.isReady() ? 200 : 503;
      response.end();
    });
    const metrics = polka().get("/metrics", (_request, response) => {
      parts.metrics.text().then((text) => {
        response.setHeader("Content-Type", "text/plain; version=0.0.4");
        response.end(text);
      }, (error) => {
        response.statusCode = 500;
        response.end(String(error));
      });
    });
    this.#ready = createServer(handlerOf(ready));
    this.#metrics = createServer(handlerOf(metrics));
  }

  /**
   * @param readyAddress `ip:port` that tells readiness.
   * @param metricsAddress `ip:port` that serves metrics.
   * @returns Once both can be asked.
   */
  async open(readyAddress: string, metricsAddress: string): Promise<void> {
    await listen(this.#ready, readyAddress);
    await listen(this.#metrics, metricsAddress);
  }

  /** Stops answering. */
  close(): void {
    for (const server of [this.#ready, this.#metrics]) {
      server.close();
      server.closeAllConnections();
    }
  }
}

/** The router's types name its own request, which extends Node's. */
function handlerOf(router: polka.Polka): RequestListener {
  return router.handler as unknown as RequestListener;
}
