/** The platform's transactional table, without sockets. */

import {
  ABSENT_ROW_VERSION,
  type Row,
  type RowsAnswer,
  type TransactAnswer,
  type TransactRequest,
} from "@chestnuthatch/wire/platform_protocol";

/** Which rows a scan wants. */
export interface ScanRequest {
  readonly prefix: string;
  /** Key after which to begin; empty for the first. */
  readonly after: string;
  readonly limit: number;
}

/** Rows by key, with versions that only rise, also across deletes. */
export class PlatformTable {
  readonly #rows = new Map<string, Row>();
  readonly #lastVersions = new Map<string, number>();
  /** Keys in order; undefined when a key came or went since. */
  #sortedKeys: string[] | undefined;

  /**
   * Writes everything, if every condition holds, or nothing.
   *
   * @param request The conditions and the writes.
   * @returns Whether it was committed.
   */
  transact(request: TransactRequest): TransactAnswer {
    const failed = request.conditions.filter(({ key, version }) =>
      this.#versionOf(key) !== version
    );
    if (failed.length > 0) {
      const conflicts = this.read(failed.map(({ key }) => key)).rows;
      return { committed: false, rows: [], conflicts };
    }
    const rows = request.puts.map(({ key, value }) => this.#put(key, value));
    request.deletes.forEach((key) => this.#delete(key));
    return { committed: true, rows, conflicts: [] };
  }

  /**
   * Reads rows.
   *
   * @param keys Their keys.
   * @returns Those that exist.
   */
  read(keys: readonly string[]): RowsAnswer {
    const rows = keys
      .map((key) => this.#rows.get(key))
      .filter((row) => row !== undefined);
    return { rows };
  }

  /**
   * Reads rows in key order.
   *
   * @param request Which rows.
   * @returns The rows.
   */
  scan({ prefix, after, limit }: ScanRequest): RowsAnswer {
    this.#sortedKeys ??= [...this.#rows.keys()].sort();
    const keys = this.#sortedKeys
      .filter((key) => key.startsWith(prefix) && key > after)
      .slice(0, limit);
    return this.read(keys);
  }

  #versionOf(key: string): number {
    return this.#rows.get(key)?.version ?? ABSENT_ROW_VERSION;
  }

  #put(key: string, value: string): Row {
    if (!this.#rows.has(key)) {
      this.#sortedKeys = undefined;
    }
    const version = this.#riseVersion(key);
    const row: Row = { key, value, version };
    this.#rows.set(key, row);
    return row;
  }

  #delete(key: string): void {
    if (this.#rows.delete(key)) {
      this.#riseVersion(key);
      this.#sortedKeys = undefined;
    }
  }

  #riseVersion(key: string): number {
    const version = (this.#lastVersions.get(key) ?? ABSENT_ROW_VERSION) + 1;
    this.#lastVersions.set(key, version);
    return version;
  }
}
