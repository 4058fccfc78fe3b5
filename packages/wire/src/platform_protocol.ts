/**
 * The HTTP protocol of the platform: the transactional table, the object
 * store, the list of instances and targets (which lags behind), and the store
 * of model weights.
 *
 * Paths: `POST /table/transact`, `POST /table/read`,
 * `GET /table/scan?prefix=&after=&limit=`, `PUT|GET /objects/{key}`,
 * `GET /instances`, `GET /weights/{name}` (429 above its rate limit).
 * All of them answer 503 while the platform is down.
 */

import * as z from "zod";

/** Version that stands for a row that does not exist. */
export const ABSENT_ROW_VERSION = 0;

/**
 * Body of `POST /table/transact`. The writes are applied atomically, and only
 * if every condition holds.
 */
export const transactRequestSchema = z.strictObject({
  conditions: z.array(z.strictObject({
    key: z.string(),
    /** Version that the row must have; 0 means that it must not exist. */
    version: z.number().int().nonnegative(),
  })),
  puts: z.array(z.strictObject({ key: z.string(), value: z.string() })),
  deletes: z.array(z.string()),
});

/** A transaction on the table: conditions, rows to write, keys to delete. */
export type TransactRequest = z.infer<typeof transactRequestSchema>;

/** One row of the table. Its version only increases, also across deletes. */
export const rowSchema = z.strictObject({
  key: z.string(),
  value: z.string(),
  version: z.number().int().positive(),
});

/** One row of the platform's table, with its version. */
export type Row = z.infer<typeof rowSchema>;

/** Answer to a transaction. */
export const transactAnswerSchema = z.strictObject({
  committed: z.boolean(),
  /** Rows written, with their new versions, when committed. */
  rows: z.array(rowSchema),
  /** Existing rows whose conditions failed, when not committed. */
  conflicts: z.array(rowSchema),
});

/** Outcome of a transaction: the rows written, or the conflicting rows. */
export type TransactAnswer = z.infer<typeof transactAnswerSchema>;

/** Body of `POST /table/read`. The answer omits rows that do not exist. */
export const readRequestSchema = z.strictObject({ keys: z.array(z.string()) });

/** Keys of the rows to read from the platform's table. */
export type ReadRequest = z.infer<typeof readRequestSchema>;

/** Answer to a read, or to a scan (in key order). */
export const rowsAnswerSchema = z.strictObject({ rows: z.array(rowSchema) });

/** Rows that a read or a scan of the platform's table returned. */
export type RowsAnswer = z.infer<typeof rowsAnswerSchema>;

/** Kinds of entry in the platform's list: entry instances and targets. */
export enum ListedKind {
  Entry = "entry",
  Target = "target",
}

/** Answer to `GET /instances`. */
export const instanceListSchema = z.strictObject({
  /** Lag of the list in milliseconds, as the platform reports it. */
  lagMs: z.number().nonnegative(),
  instances: z.array(z.strictObject({
    id: z.string(),
    kind: z.enum(ListedKind),
    failureDomain: z.string(),
    /** `host:port` of the peer port (entry) or of the HTTP port (target). */
    address: z.string(),
    leaving: z.boolean(),
  })),
});

/** The platform's list of entry instances and targets, with its lag. */
export type InstanceList = z.infer<typeof instanceListSchema>;
