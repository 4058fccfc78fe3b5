/** The row of the platform's table that serialises orders to one target. */

import {
  type EngineState,
  OrderKind,
} from "@chestnuthatch/wire/target_protocol";
import type { Row } from "@chestnuthatch/wire/platform_protocol";
import * as z from "zod";
import { parseJson } from "./ndjson_reader.ts";

/** How far the order of a row has come. */
export enum OrderState {
  /** Its holder may send the order until the lease ends. */
  Leased = "leased",
  /** The order was answered, or was certainly never sent. */
  Settled = "settled",
  /** The order was sent and its outcome is unknown. */
  InDoubt = "in_doubt",
}

const orderRowSchema = z.strictObject({
  holder: z.string(),
  fencingNumber: z.number().int().positive(),
  leaseMs: z.number().positive(),
  orderId: z.string(),
  kind: z.enum(OrderKind),
  value: z.string(),
  state: z.enum(OrderState),
});

/** The latest order given to a target. */
export type OrderRow = z.infer<typeof orderRowSchema>;

/** Row key prefix of orders. */
export const ORDER_PREFIX = "order/";

/**
 * @param targetId The target.
 * @returns The key of its row.
 */
export function orderKey(targetId: string): string {
  return `${ORDER_PREFIX}${encodeURIComponent(targetId)}`;
}

/**
 * Reads an order row.
 *
 * @param row The row as the table gave it.
 * @returns The order, or nothing when the row is corrupt.
 */
export function readOrderRow(row: Row): OrderRow | undefined {
  const json = parseJson(row.value).unwrapOr(undefined);
  return orderRowSchema.safeParse(json).data;
}

const FIELD_BY_KIND: Readonly<Record<OrderKind, keyof EngineState>> = {
  [OrderKind.LoadModel]: "model",
  [OrderKind.LoadAdapter]: "adapter",
  [OrderKind.SetVersion]: "version",
  [OrderKind.SetRole]: "role",
};

/**
 * Tells whether a target is as an order wants it.
 *
 * @param state The target's state.
 * @param order What was ordered.
 * @returns True when the ordered field has the ordered value.
 */
export function isAsOrdered(
  state: EngineState,
  order: Pick<OrderRow, "kind" | "value">,
): boolean {
  return state[FIELD_BY_KIND[order.kind]] === order.value;
}
