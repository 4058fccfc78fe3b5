/** Issues orders to engines, one at a time for each target. */

import {
  type EngineState,
  engineStateSchema,
  orderAnswerSchema,
  type OrderKind,
  type OrderRequest,
} from "@chestnuthatch/wire/target_protocol";
import { err, ok, type Result } from "neverthrow";
import type { Pool } from "undici";
import { callHttp, type HttpAnswer, type HttpCallFault } from "./http_call.ts";
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

/** Ways in which an order can end. */
export enum OrderOutcomeKind {
  /** The target is in the ordered state because of this order. */
  Obeyed = "obeyed",
  /** The target answered, but is not in the ordered state. */
  NotAsOrdered = "not_as_ordered",
  /** The target has obeyed a higher fencing number and rejected this order. */
  RefusedAsOld = "refused_as_old",
  /** Another order took the lease first; this one was not sent. */
  HeldElsewhere = "held_elsewhere",
  /** The lease expired before the order could be sent; it was not sent. */
  LeaseLapsed = "lease_lapsed",
  /** The target could not be reached; the order was not sent. */
  TargetUnreachable = "target_unreachable",
  /** The table did not answer; the order was not sent. */
  StoreUnavailable = "store_unavailable",
  /** The target's row is corrupt; the order was not sent. */
  RowUnreadable = "row_unreadable",
  /** The order was sent, and may have taken or may still take effect. */
  InDoubt = "in_doubt",
}

/** Result of an order; the command line prints it as JSON. */
export interface OrderOutcome {
  readonly kind: OrderOutcomeKind;
  readonly orderId: string;
  /** Fencing number of the order, if the lease was taken. */
  readonly fencingNumber?: number;
  /** State of the target before the order was sent, if it was read. */
  readonly before?: EngineState;
  /** State of the target after the order was sent, if it is known. */
  readonly after?: EngineState;
  /** Order that holds the lease, if the outcome is HeldElsewhere. */
  readonly other?: OrderRow;
}

/** A control command for one engine, such as loading a model. */
export interface EngineOrder {
  readonly targetId: string;
  /** `host:port` of the target's HTTP interface. */
  readonly address: string;
  /** Whether the target rejects orders with an outdated fencing number. */
  readonly checksFencing: boolean;
  readonly kind: OrderKind;
  /** Model, adapter, version or role to set, depending on the kind. */
  readonly value: string;
}

/** Platform, holder, clock and timing of an {@link OrderIssuer}. */
export interface OrderIssuerOptions {
  readonly platform: PlatformHttp;
  /** Name of the issuer of the orders, recorded in the lease. */
  readonly holder: string;
  readonly clock: Clock;
  /** Returns a globally unique order id. */
  readonly newOrderId: () => string;
  /** Waits out leases; a real timer where absent. */
  readonly sleep?: Sleep;
  /** Duration of the lease under which an order is issued. */
  readonly leaseMs?: number;
  /** Maximum time from sending an order until it takes effect. */
  readonly maxOrderDelayMs?: number;
  /** Maximum wait for the answer to an order. */
  readonly orderTimeoutMs?: number;
}

/** Outcome of sending an order to its target. */
enum SendOutcome {
  Obeyed = "obeyed",
  RefusedAsOld = "refused_as_old",
  NotSent = "not_sent",
  InDoubt = "in_doubt",
}

interface SendResult {
  readonly outcome: SendOutcome;
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
 * Issues orders under a lease with an increasing fencing number (a fencing
 * token). A target that checks the number rejects a delayed order. For a target
 * that does not, the previous lease and the maximum order delay are waited out
 * first, the order is sent only while its own lease lasts, and the target's
 * state is read before and after.
 */
export class OrderIssuer {
  readonly #options: OrderIssuerOptions;
  readonly #leases: OrderLeases;
  readonly #leaseMs: number;
  readonly #connections = new TargetConnections();

  /** @param options Platform, holder, clock and timing. */
  constructor(options: OrderIssuerOptions) {
    this.#options = options;
    this.#leaseMs = options.leaseMs ?? DEFAULT_LEASE_MS;
    this.#leases = new OrderLeases({
      platform: options.platform,
      clock: options.clock,
      sleep: options.sleep ?? sleepByTimer,
    });
  }

  /**
   * Issues an order, sending it at most once.
   *
   * @param order Order to issue.
   * @returns Outcome of the order.
   */
  async issue(order: EngineOrder): Promise<OrderOutcome> {
    const orderId = this.#options.newOrderId();
    const pools = this.#connections.getOrCreate(order.targetId, order.address);
    const initialState = pools &&
      await this.#readState(pools.controlPool, order);
    if (pools === undefined || initialState === undefined) {
      return { kind: OrderOutcomeKind.TargetUnreachable, orderId };
    }
    const lease = await this.#acquireLease(
      order,
      orderId,
      initialState.fencingNumber,
    );
    return lease.isErr()
      ? leaseRefusedOutcome(orderId, lease.error)
      : await this.#issueUnderLease(lease.value, order, pools.controlPool);
  }

  /** Closes the connections to targets. */
  async stop(): Promise<void> {
    await this.#connections.stop();
  }

  #acquireLease(
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

  async #issueUnderLease(
    lease: OrderLease,
    order: EngineOrder,
    pool: Pool,
  ): Promise<OrderOutcome> {
    const { orderId, fencingNumber } = lease.row;
    const before = await this.#readState(pool, order);
    const details = { orderId, fencingNumber, before };
    if (before === undefined) {
      await this.#leases.settle(lease, OrderState.Settled);
      return { kind: OrderOutcomeKind.TargetUnreachable, ...details };
    }
    const remainingMs = lease.endsAtMs - this.#options.clock.nowMs();
    if (remainingMs <= 0) {
      await this.#leases.settle(lease, OrderState.Settled);
      return { kind: OrderOutcomeKind.LeaseLapsed, ...details };
    }
    const sendResult = await this.#send(lease, pool, remainingMs);
    // The answer of a target that ignores fencing numbers is no proof of its
    // state; only a new read is.
    const answeredState = order.checksFencing ? sendResult.state : undefined;
    const after = await this.#readState(pool, order) ?? answeredState;
    const kind = outcomeKindOf(sendResult, lease.row, after);
    await this.#leases.settle(lease, rowStateAfter(kind));
    return { kind, ...details, after };
  }

  async #send(
    lease: OrderLease,
    pool: Pool,
    remainingMs: number,
  ): Promise<SendResult> {
    const { orderId, fencingNumber, kind, value } = lease.row;
    const body: OrderRequest = { orderId, fencingNumber, kind, value };
    const { orderTimeoutMs = DEFAULT_ORDER_TIMEOUT_MS } = this.#options;
    const answer = await this.#call(pool, {
      method: "POST",
      path: "/v1/orders",
      body: JSON.stringify(body),
    }, Math.min(orderTimeoutMs, remainingMs));
    if (answer.isErr()) {
      const { sent } = answer.error;
      return { outcome: sent ? SendOutcome.InDoubt : SendOutcome.NotSent };
    }
    return sendResultOf(answer.value);
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
  ): Promise<Result<HttpAnswer, HttpCallFault>> {
    return callHttp(pool, request, {
      clock: this.#options.clock,
      timeoutMs,
      maxAnswerBytes: MAX_ANSWER_BYTES,
    });
  }
}

function leaseRefusedOutcome(
  orderId: string,
  refusal: LeaseRefusal,
): OrderOutcome {
  const kind = OUTCOME_BY_FAULT[refusal.fault];
  return { kind, orderId, other: refusal.other };
}

function sendResultOf({ statusCode, body }: HttpAnswer): SendResult {
  const json = parseJson(body.toString("utf8")).unwrapOr(undefined);
  const answer = orderAnswerSchema.safeParse(json);
  if (!answer.success) {
    return { outcome: SendOutcome.InDoubt };
  }
  const { obeyed, state } = answer.data;
  if (statusCode === STATUS_OK && obeyed) {
    return { outcome: SendOutcome.Obeyed, state };
  }
  const isRefused = statusCode === STATUS_CONFLICT && !obeyed;
  return {
    outcome: isRefused ? SendOutcome.RefusedAsOld : SendOutcome.InDoubt,
    state,
  };
}

/**
 * Determines the outcome of sending an order. It counts as obeyed only if the
 * target is in the ordered state and names the order as its last one, whether
 * or not the order was answered.
 */
function outcomeKindOf(
  { outcome }: SendResult,
  order: OrderRow,
  after: EngineState | undefined,
): OrderOutcomeKind {
  if (outcome === SendOutcome.NotSent) {
    return OrderOutcomeKind.TargetUnreachable;
  }
  if (outcome === SendOutcome.RefusedAsOld) {
    return OrderOutcomeKind.RefusedAsOld;
  }
  const isObeyed = after !== undefined && isAsOrdered(after, order) &&
    after.lastOrderId === order.orderId;
  if (isObeyed) {
    return OrderOutcomeKind.Obeyed;
  }
  return outcome === SendOutcome.Obeyed && after !== undefined
    ? OrderOutcomeKind.NotAsOrdered
    : OrderOutcomeKind.InDoubt;
}

function rowStateAfter(kind: OrderOutcomeKind): OrderState {
  return kind === OrderOutcomeKind.InDoubt
    ? OrderState.InDoubt
    : OrderState.Settled;
}
