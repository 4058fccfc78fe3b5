/** In-memory version of the platform's transactional table. */

import {
  ABSENT_ROW_VERSION,
  type Row,
  type RowsAnswer,
  type TransactAnswer,
  type TransactRequest,
} from "@chestnuthatch/wire/platform_protocol";

/** Range of rows to scan. */
export interface ScanRequest {
  readonly prefix: string;
  /** Key after which the scan starts; empty to start at the first key. */
  readonly after: string;
  readonly limit: number;
}

/** Rows by key; a key's versions increase, even across deletes. */
export class PlatformTable {
  readonly #rowsByKey = new Map<string, Row>();
  readonly #lastVersionByKey = new Map<string, number>();
  /** Sorted keys; undefined after a key was added or deleted. */
  #sortedKeys: string[] | undefined;

  /**
   * Applies all writes if every condition holds, and none otherwise.
   *
   * @param request The conditions and the writes.
   * @returns Whether it was committed, the written rows, and the existing rows
   * of unmet conditions.
   */
  transact(request: TransactRequest): TransactAnswer {
    const unmetConditions = request.conditions.filter(({ key, version }) =>
      this.#versionOf(key) !== version
    );
    if (unmetConditions.length > 0) {
      const conflicts = this.read(unmetConditions.map(({ key }) => key)).rows;
      return { committed: false, rows: [], conflicts };
    }
    const rows = request.puts.map(({ key, value }) => this.#put(key, value));
    request.deletes.forEach((key) => this.#delete(key));
    return { committed: true, rows, conflicts: [] };
  }

  /**
   * Reads rows.
   *
   * @param keys Keys of the rows.
   * @returns The rows that exist.
   */
  read(keys: readonly string[]): RowsAnswer {
    const rows = keys
      .map((key) => this.#rowsByKey.get(key))
      .filter((row) => row !== undefined);
    return { rows };
  }

  /**
   * Reads rows in key order.
   *
   * @param request Prefix, start key and maximum number of rows.
   * @returns The matching rows in key order.
   */
  scan({ prefix, after, limit }: ScanRequest): RowsAnswer {
    this.#sortedKeys ??= [...this.#rowsByKey.keys()].sort();
    const keys = this.#sortedKeys
      .filter((key) => key.startsWith(prefix) && key > after)
      .slice(0, limit);
    return this.read(keys);
  }

  #versionOf(key: string): number {
    return this.#rowsByKey.get(key)?.version ?? ABSENT_ROW_VERSION;
  }

  #put(key: string, value: string): Row {
    if (!this.#rowsByKey.has(key)) {
      this.#sortedKeys = undefined;
    }
    const version = this.#incrementVersion(key);
    const row: Row = { key, value, version };
    this.#rowsByKey.set(key, row);
    return row;
  }

  #delete(key: string): void {
    if (this.#rowsByKey.delete(key)) {
      this.#incrementVersion(key);
      this.#sortedKeys = undefined;
    }
  }

  #incrementVersion(key: string): number {
    const version = (this.#lastVersionByKey.get(key) ?? ABSENT_ROW_VERSION) + 1;
    this.#lastVersionByKey.set(key, version);
    return version;
  }
}
