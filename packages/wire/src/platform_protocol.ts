/**
 * The HTTP protocol of the platform: the transactional table, the object
 * store, the lagging list of instances and targets, and the weight store.
 *
 * Paths: `POST /table/transact`, `POST /table/read`,
 * `GET /table/scan?prefix=&after=&limit=`, `PUT|GET /objects/{key}`,
 * `GET /instances`, `GET /weights/{name}` (429 when over its rate).
 * Any of them answers 503 while the platform is down.
 */

import * as z from "zod";

/** Version of a row; 0 stands for "the row does not exist". */
export const ABSENT_ROW_VERSION = 0;

/** Body of `POST /table/transact`: every condition holds, or nothing is written. */
export const transactRequestSchema = z.strictObject({
  conditions: z.array(z.strictObject({
    key: z.string(),
    /** The version the row must have; 0 means it must not exist. */
    version: z.number().int().nonnegative(),
  })),
  puts: z.array(z.strictObject({ key: z.string(), value: z.string() })),
  deletes: z.array(z.string()),
});
export type TransactRequest = z.infer<typeof transactRequestSchema>;

/** One row of the table. Versions of a row only rise, also across deletes. */
export const rowSchema = z.strictObject({
  key: z.string(),
  value: z.string(),
  version: z.number().int().positive(),
});
export type Row = z.infer<typeof rowSchema>;

/** Answer of a transaction. On a conflict, the rows that differed. */
export const transactAnswerSchema = z.strictObject({
  committed: z.boolean(),
  /** New versions of the rows put, when committed. */
  rows: z.array(rowSchema),
  /** Present rows named in failed conditions, when not committed. */
  conflicts: z.array(rowSchema),
});
export type TransactAnswer = z.infer<typeof transactAnswerSchema>;

/** Body of `POST /table/read`. Absent rows are left out of the answer. */
export const readRequestSchema = z.strictObject({ keys: z.array(z.string()) });
export type ReadRequest = z.infer<typeof readRequestSchema>;

/** Answer of a read or a scan (scans are in key order). */
export const rowsAnswerSchema = z.strictObject({ rows: z.array(rowSchema) });
export type RowsAnswer = z.infer<typeof rowsAnswerSchema>;

/** What the list holds: our own entry instances, and targets. */
export enum ListedKind {
  Entry = "entry",
  Target = "target",
}

/** Answer of `GET /instances`. */
export const instanceListSchema = z.strictObject({
  /** How far the list lags, as the platform says. */
  lagMs: z.number().nonnegative(),
  instances: z.array(z.strictObject({
    id: z.string(),
    kind: z.enum(ListedKind),
    failureDomain: z.string(),
    /** `host:port` of its peer port (entry) or its HTTP port (target). */
    address: z.string(),
    leaving: z.boolean(),
  })),
});
export type InstanceList = z.infer<typeof instanceListSchema>;
