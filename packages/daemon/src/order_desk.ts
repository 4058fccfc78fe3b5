/** Gives orders to engines, one at a time for each target. */

import {
  type EngineState,
  engineStateSchema,
  orderAnswerSchema,
  type OrderKind,
  type OrderRequest,
} from "@chestnuthatch/wire/target_protocol";
import { err, ok, type Result } from "neverthrow";
import type { Pool } from "undici";
import { type CallFault, callHttp, type HttpAnswer } from "./http_call.ts";
import type { HttpRequest } from "./http_exchange.ts";
import { parseJson } from "./ndjson_reader.ts";
import {
  LeaseFault,
  type LeaseRefusal,
  type OrderLease,
  OrderLeases,
} from "./order_lease.ts";
import { isAsOrdered, type OrderRow, OrderState } from "./order_rows.ts";
import type { PlatformHttp } from "./platform_http.ts";
import type { Clock } from "./ports.ts";
import { type Sleep, sleepByTimer } from "./sleep.ts";
import { TargetConnections } from "./target_connections.ts";

/** Every way an order can end. The list is closed. */
export enum OrderOutcomeKind {
  /** The target is as ordered, by this order. */
  Obeyed = "obeyed",
  /** The target answered, but its state is not what was ordered. */
  NotAsOrdered = "not_as_ordered",
  /** The target has obeyed a higher fencing number; it did not obey this. */
  RefusedAsOld = "refused_as_old",
  /** Another order was given meanwhile; this one was not sent. */
  HeldElsewhere = "held_elsewhere",
  /** The lease ended before the order could be sent; it was not sent. */
  LeaseLapsed = "lease_lapsed",
  /** The target could not be reached; the order was not sent. */
  TargetUnreachable = "target_unreachable",
  /** The table did not answer; the order was not sent. */
  StoreUnavailable = "store_unavailable",
  /** The target's row is corrupt; the order was not sent. */
  RowUnreadable = "row_unreadable",
  /** The order was sent and may still be obeyed. */
  InDoubt = "in_doubt",
}

/** How an order ended. */
export interface OrderOutcome {
  readonly kind: OrderOutcomeKind;
  readonly orderId: string;
  readonly fencingNumber?: number;
  /** The target's state before and after, where it was read. */
  readonly before?: EngineState;
  readonly after?: EngineState;
  /** The order found instead, when held elsewhere. */
  readonly other?: OrderRow;
}

/** An order for one target. */
export interface EngineOrder {
  readonly targetId: string;
  /** `host:port` of the target's HTTP interface. */
  readonly address: string;
  /** Whether the target refuses old fencing numbers. */
  readonly checksFencing: boolean;
  readonly kind: OrderKind;
  readonly value: string;
}

/** What an order desk is made of. */
export interface OrderDeskOptions {
  readonly platform: PlatformHttp;
  /** Who gives the orders, for others to read. */
  readonly holder: string;
  readonly clock: Clock;
  /** @returns An id that no other order has. */
  readonly newOrderId: () => string;
  readonly sleep?: Sleep;
  readonly leaseMs?: number;
  /** Longest time between sending an order and its taking effect. */
  readonly maxOrderDelayMs?: number;
  readonly orderTimeoutMs?: number;
}

/** How the sending of an order ended. */
enum Sending {
  Obeyed = "obeyed",
  RefusedAsOld = "refused_as_old",
  NotSent = "not_sent",
  InDoubt = "in_doubt",
}

interface Sent {
  readonly sending: Sending;
  readonly state?: EngineState;
}

const DEFAULT_LEASE_MS = 30_000;
const DEFAULT_MAX_ORDER_DELAY_MS = 10_000;
const DEFAULT_ORDER_TIMEOUT_MS = 10_000;
const STATE_TIMEOUT_MS = 2000;
const MAX_ANSWER_BYTES = 64 * 1024;
const STATUS_OK = 200;
const STATUS_CONFLICT = 409;

const OUTCOME_BY_FAULT: Readonly<Record<LeaseFault, OrderOutcomeKind>> = {
  [LeaseFault.HeldElsewhere]: OrderOutcomeKind.HeldElsewhere,
  [LeaseFault.StoreUnavailable]: OrderOutcomeKind.StoreUnavailable,
  [LeaseFault.RowUnreadable]: OrderOutcomeKind.RowUnreadable,
};

/**
 * Gives orders under a lease with a rising fencing number. Targets that check
 * the number refuse an order that comes late. For those that do not, a former
 * lease and the longest order delay are waited out first, the order is sent
 * only within the own lease, and the target's state is read before and after.
 */
export class OrderDesk {
  readonly #options: OrderDeskOptions;
  readonly #leases: OrderLeases;
  readonly #leaseMs: number;
  readonly #connections = new TargetConnections();

  /** @param options The table, the time and the holder's name. */
  constructor(options: OrderDeskOptions) {
    this.#options = options;
    this.#leaseMs = options.leaseMs ?? DEFAULT_LEASE_MS;
    this.#leases = new OrderLeases({
      platform: options.platform,
      clock: options.clock,
      sleep: options.sleep ?? sleepByTimer,
    });
  }

  /**
   * Gives one order, sending it at most once.
   *
   * @param order The order.
   * @returns How it ended.
   */
  async give(order: EngineOrder): Promise<OrderOutcome> {
    const orderId = this.#options.newOrderId();
    const link = this.#connections.link(order.targetId, order.address);
    const first = link && await this.#readState(link.control, order);
    if (link === undefined || first === undefined) {
      return { kind: OrderOutcomeKind.TargetUnreachable, orderId };
    }
    const lease = await this.#acquire(order, orderId, first.fencingNumber);
    return lease.isErr()
      ? refusedLease(orderId, lease.error)
      : await this.#giveUnder(lease.value, order, link.control);
  }

  /** Closes the connections to targets. */
  async stop(): Promise<void> {
    await this.#connections.stop();
  }

  #acquire(
    order: EngineOrder,
    orderId: string,
    targetFencingNumber: number,
  ): Promise<Result<OrderLease, LeaseRefusal>> {
    const { maxOrderDelayMs = DEFAULT_MAX_ORDER_DELAY_MS } = this.#options;
    return this.#leases.acquire({
      targetId: order.targetId,
      order: {
        holder: this.#options.holder,
        leaseMs: this.#leaseMs,
        orderId,
        kind: order.kind,
        value: order.value,
      },
      targetFencingNumber,
      orderDelayMs: order.checksFencing ? 0 : maxOrderDelayMs,
    });
  }

  async #giveUnder(
    lease: OrderLease,
    order: EngineOrder,
    pool: Pool,
  ): Promise<OrderOutcome> {
    const { orderId, fencingNumber } = lease.row;
    const before = await this.#readState(pool, order);
    const about = { orderId, fencingNumber, before };
    if (before === undefined) {
      await this.#leases.settle(lease, OrderState.Settled);
      return { kind: OrderOutcomeKind.TargetUnreachable, ...about };
    }
    const leftMs = lease.endsAtMs - this.#options.clock.nowMs();
    if (leftMs <= 0) {
      await this.#leases.settle(lease, OrderState.Settled);
      return { kind: OrderOutcomeKind.LeaseLapsed, ...about };
    }
    const sent = await this.#send(lease, pool, leftMs);
    // A target that ignores fencing numbers is believed only when read again.
    const answered = order.checksFencing ? sent.state : undefined;
    const after = await this.#readState(pool, order) ?? answered;
    const kind = outcomeOf(sent, lease.row, after);
    await this.#leases.settle(lease, stateAfter(kind));
    return { kind, ...about, after };
  }

  async #send(lease: OrderLease, pool: Pool, leftMs: number): Promise<Sent> {
    const { orderId, fencingNumber, kind, value } = lease.row;
    const body: OrderRequest = { orderId, fencingNumber, kind, value };
    const { orderTimeoutMs = DEFAULT_ORDER_TIMEOUT_MS } = this.#options;
    const answer = await this.#call(pool, {
      method: "POST",
      path: "/v1/orders",
      body: JSON.stringify(body),
    }, Math.min(orderTimeoutMs, leftMs));
    if (answer.isErr()) {
      const { sent } = answer.error;
      return { sending: sent ? Sending.InDoubt : Sending.NotSent };
    }
    return judgeAnswer(answer.value);
  }

  async #readState(
    pool: Pool,
    order: EngineOrder,
  ): Promise<EngineState | undefined> {
    const request: HttpRequest = { method: "GET", path: "/v1/state" };
    const answer = await this.#call(pool, request, STATE_TIMEOUT_MS);
    const state = answer
      .mapErr(() => undefined)
      .andThen(({ statusCode, body }) =>
        statusCode === STATUS_OK
          ? parseJson(body.toString("utf8"))
          : err(undefined)
      )
      .andThen((json) => {
        const parsed = engineStateSchema.safeParse(json);
        return parsed.success ? ok(parsed.data) : err(undefined);
      })
      .unwrapOr(undefined);
    return state?.targetId === order.targetId ? state : undefined;
  }

  #call(
    pool: Pool,
    request: HttpRequest,
    timeoutMs: number,
  ): Promise<Result<HttpAnswer, CallFault>> {
    return callHttp(pool, request, {
      clock: this.#options.clock,
      timeoutMs,
      maxAnswerBytes: MAX_ANSWER_BYTES,
    });
  }
}

function refusedLease(orderId: string, refusal: LeaseRefusal): OrderOutcome {
  const kind = OUTCOME_BY_FAULT[refusal.fault];
  return { kind, orderId, other: refusal.other };
}

function judgeAnswer({ statusCode, body }: HttpAnswer): Sent {
  const json = parseJson(body.toString("utf8")).unwrapOr(undefined);
  const answer = orderAnswerSchema.safeParse(json);
  if (!answer.success) {
    return { sending: Sending.InDoubt };
  }
  const { obeyed, state } = answer.data;
  if (statusCode === STATUS_OK && obeyed) {
    return { sending: Sending.Obeyed, state };
  }
  const refused = statusCode === STATUS_CONFLICT && !obeyed;
  return { sending: refused ? Sending.RefusedAsOld : Sending.InDoubt, state };
}

/**
 * What can be said of an order. An order without an answer counts as obeyed
 * only when the target itself names it as its last.
 */
function outcomeOf(
  { sending }: Sent,
  order: OrderRow,
  after: EngineState | undefined,
): OrderOutcomeKind {
  if (sending === Sending.NotSent) {
    return OrderOutcomeKind.TargetUnreachable;
  }
  if (sending === Sending.RefusedAsOld) {
    return OrderOutcomeKind.RefusedAsOld;
  }
  const obeyed = after !== undefined && isAsOrdered(after, order) &&
    after.lastOrderId === order.orderId;
  if (obeyed) {
    return OrderOutcomeKind.Obeyed;
  }
  return sending === Sending.Obeyed && after !== undefined
    ? OrderOutcomeKind.NotAsOrdered
    : OrderOutcomeKind.InDoubt;
}

function stateAfter(kind: OrderOutcomeKind): OrderState {
  return kind === OrderOutcomeKind.InDoubt
    ? OrderState.InDoubt
    : OrderState.Settled;
}
