/** Lookup tables for the route, the workspace and the pool of a request. */

import { hash32 } from "@chestnuthatch/core/text_hash";
import type {
  FleetConfiguration,
  PoolPolicy,
  RoutePolicy,
  WorkspacePolicy,
} from "./fleet_configuration.ts";

/** Lookup tables over one version of the configuration. */
export class RouteTable {
  readonly configuration: FleetConfiguration;
  /** Routes by host, the longest prefix first. */
  readonly #routesByHost = new Map<string, RoutePolicy[]>();
  readonly #workspaceByKey = new Map<string, WorkspacePolicy>();
  readonly #workspaceByName = new Map<string, WorkspacePolicy>();
  readonly #poolByName = new Map<string, PoolPolicy>();
  readonly #longestTimeoutMs: number;

  /** @param configuration Version of the configuration to index. */
  constructor(configuration: FleetConfiguration) {
    this.configuration = configuration;
    for (const route of configuration.routes) {
      const routes = this.#routesByHost.get(route.host) ?? [];
      routes.push(route);
      this.#routesByHost.set(route.host, routes);
    }
    for (const routes of this.#routesByHost.values()) {
      routes.sort((a, b) => b.prefix.length - a.prefix.length);
    }
    for (const workspace of configuration.workspaces) {
      this.#workspaceByName.set(workspace.name, workspace);
      for (const key of workspace.keys) {
        this.#workspaceByKey.set(key, workspace);
      }
    }
    for (const pool of configuration.pools) {
      this.#poolByName.set(pool.name, pool);
    }
    this.#longestTimeoutMs = Math.max(
      0,
      ...configuration.routes.map(({ timeoutMs }) => timeoutMs),
    );
  }

  /** Longest timeout of all routes, in milliseconds; 0 without routes. */
  get longestTimeoutMs(): number {
    return this.#longestTimeoutMs;
  }

  /** Whether callers must present a key on routes that are not public. */
  get needsKeys(): boolean {
    return this.configuration.workspaces.length > 0;
  }

  /**
   * Finds the route with the longest prefix of a path.
   *
   * @param host Host in the request, without its port.
   * @param path Path of the request, without its query.
   * @returns The route; undefined where none matches.
   */
  match(host: string, path: string): RoutePolicy | undefined {
    return this.#routesByHost.get(host)
      ?.find((route) => path.startsWith(route.prefix));
  }

  /**
   * @param key Key that a caller presented.
   * @returns The workspace of the key; undefined if there is none.
   */
  workspaceOfKey(key: string): WorkspacePolicy | undefined {
    return this.#workspaceByKey.get(key);
  }

  /**
   * @param name Name of a workspace.
   * @returns The workspace; undefined if it is not configured.
   */
  workspace(name: string): WorkspacePolicy | undefined {
    return this.#workspaceByName.get(name);
  }

  /**
   * @param name Name of a pool.
   * @returns The pool; undefined if it is not configured.
   */
  pool(name: string): PoolPolicy | undefined {
    return this.#poolByName.get(name);
  }

  /**
   * Picks the pool of a request by the weights of its route. The choice is a
   * hash of the request id, so it is stable under unchanged weights.
   *
   * @param route Route of the request.
   * @param requestId Id of the request, or of the one whose stream it takes up.
   * @returns Name of a pool; undefined where no share has any weight.
   */
  pickPool(route: RoutePolicy, requestId: string): string | undefined {
    const total = route.pools.reduce((sum, share) => sum + share.weight, 0);
    let point = (hash32(requestId) / 2 ** 32) * total;
    for (const share of route.pools) {
      point -= share.weight;
      if (point < 0) {
        return share.pool;
      }
    }
    return undefined;
  }
}
