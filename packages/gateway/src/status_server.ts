/** HTTP endpoints for the instance's readiness and metrics. */

import { createServer, type RequestListener, type Server } from "node:http";
import polka from "polka";
import type { GatewayMetrics } from "./gateway_metrics.ts";
import { listen } from "./snapshot_server.ts";

/** Sources of what a `StatusServer` serves. */
export interface StatusParts {
  readonly metrics: GatewayMetrics;
  /** @returns Whether the instance is ready to serve callers. */
  isReady(): boolean;
}

/** Two HTTP servers, one for readiness and one for metrics. */
export class StatusServer {
  readonly #ready: Server;
  readonly #metrics: Server;

  /** @param parts Sources of readiness and metrics. */
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
   * Starts to serve readiness.
   *
   * @param address `ip:port` of the readiness endpoint.
   * @returns A promise that is fulfilled when it accepts connections.
   */
  openReadiness(address: string): Promise<void> {
    return listen(this.#ready, address);
  }

  /**
   * Starts to serve metrics.
   *
   * @param address `ip:port` of the metrics endpoint.
   * @returns A promise that is fulfilled when it accepts connections.
   */
  openMetrics(address: string): Promise<void> {
    return listen(this.#metrics, address);
  }

  /** Closes both servers and all their connections. */
  close(): void {
    for (const server of [this.#ready, this.#metrics]) {
      server.close();
      server.closeAllConnections();
    }
  }
}

/** Casts, as the router's handler type has a subtype of Node's request. */
function handlerOf(router: polka.Polka): RequestListener {
  return router.handler as unknown as RequestListener;
}
