/** Finds the route, the workspace and the pool of a request. */

import { hash32 } from "@chestnuthatch/core/text_hash";
import type {
  FleetConfiguration,
  PoolPolicy,
  RoutePolicy,
  WorkspacePolicy,
} from "./fleet_configuration.ts";

/** Lookups over one version of the configuration. */
export class RouteTable {
  readonly configuration: FleetConfiguration;
  /** Routes of a host, the longest prefix first. */
  readonly #routesByHost = new Map<string, RoutePolicy[]>();
  readonly #workspaceByKey = new Map<string, WorkspacePolicy>();
  readonly #workspaceByName = new Map<string, WorkspacePolicy>();
  readonly #poolByName = new Map<string, PoolPolicy>();

  /** @param configuration The version to look things up in. */
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
  }

  /** Whether callers have to show a key on routes that are not public. */
  get needsKeys(): boolean {
    return this.configuration.workspaces.length > 0;
  }

  /**
   * Finds the route with the longest prefix that begins a path.
   *
   * @param host Host that the caller named, without its port.
   * @param path Path of the request, without its query.
   * @returns The route, or undefined where none matches.
   */
  match(host: string, path: string): RoutePolicy | undefined {
    return this.#routesByHost.get(host)
      ?.find((route) => path.startsWith(route.prefix));
  }

  /**
   * @param key Key that a caller showed.
   * @returns The workspace that holds it, if any does.
   */
  workspaceOfKey(key: string): WorkspacePolicy | undefined {
    return this.#workspaceByKey.get(key);
  }

  /**
   * @param name Name of a workspace.
   * @returns The workspace, if it is configured.
   */
  workspace(name: string): WorkspacePolicy | undefined {
    return this.#workspaceByName.get(name);
  }

  /**
   * @param name Name of a pool.
   * @returns The pool, if it is configured.
   */
  pool(name: string): PoolPolicy | undefined {
    return this.#poolByName.get(name);
  }

  /**
   * Picks the pool of a request by the weights of its route. The same request
   * id always gets the same pool under the same weights.
   *
   * @param route The request's route.
   * @param requestId The request's id.
   * @returns Name of a pool, or undefined where no share has any weight.
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
