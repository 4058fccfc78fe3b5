/** The row of the platform's table that serializes the orders to a target. */

import {
  type EngineState,
  OrderKind,
} from "@chestnuthatch/wire/target_protocol";
import type { Row } from "@chestnuthatch/wire/platform_protocol";
import * as z from "zod";
import { parseJson } from "./ndjson_reader.ts";

/** State of the order in a row. */
export enum OrderState {
  /** The holder may send the order until the lease ends. */
  Leased = "leased",
  /** The outcome is known: the order was answered, or was never sent. */
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

/** The latest order issued to a target, with its lease. */
export type OrderRow = z.infer<typeof orderRowSchema>;

/** Prefix of the keys of order rows. */
export const ORDER_KEY_PREFIX = "order/";

/**
 * Builds the key of a target's order row.
 *
 * @param targetId Id of the target.
 * @returns Key of the row in the platform's table.
 */
export function orderKey(targetId: string): string {
  return `${ORDER_KEY_PREFIX}${encodeURIComponent(targetId)}`;
}

/**
 * Parses an order row.
 *
 * @param row Row read from the table.
 * @returns The order, or undefined if the row is corrupt.
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
 * Checks whether a target is in the state that an order demands.
 *
 * @param state State of the target.
 * @param order Kind and value of the order.
 * @returns Whether the field that the order sets has the ordered value.
 */
export function isAsOrdered(
  state: EngineState,
  order: Pick<OrderRow, "kind" | "value">,
): boolean {
  return state[FIELD_BY_KIND[order.kind]] === order.value;
}
