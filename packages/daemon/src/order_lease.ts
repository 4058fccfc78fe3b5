/** Takes and settles the lease under which one order is given. */

import {
  ABSENT_ROW_VERSION,
  type Row,
} from "@chestnuthatch/wire/platform_protocol";
import { err, ok, type Result } from "neverthrow";
import {
  orderKey,
  type OrderRow,
  OrderState,
  readOrderRow,
} from "./order_rows.ts";
import type { PlatformFault, PlatformHttp } from "./platform_http.ts";
import type { Clock } from "./ports.ts";
import type { Sleep } from "./sleep.ts";

/** Why a lease was not taken. */
export enum LeaseFault {
  /** Another order was given meanwhile; its row comes along. */
  HeldElsewhere = "held_elsewhere",
  /** The table did not settle whether the lease is ours. */
  StoreUnavailable = "store_unavailable",
  /** The row is corrupt. */
  RowUnreadable = "row_unreadable",
}

/** A lease not taken. */
export interface LeaseRefusal {
  readonly fault: LeaseFault;
  readonly other?: OrderRow;
}

/** A lease that was taken. */
export interface OrderLease {
  readonly key: string;
  readonly row: OrderRow;
  readonly rowVersion: number;
  /** On this process's clock, counted from before the row was written. */
  readonly endsAtMs: number;
}

/** What is wanted of a lease. */
export interface LeaseRequest {
  readonly targetId: string;
  readonly order: Omit<OrderRow, "fencingNumber" | "state">;
  /** The target's own number, which the lease's must exceed. */
  readonly targetFencingNumber: number;
  /** Waited out besides the former lease, for orders under way. */
  readonly orderDelayMs: number;
}

/** What leases are taken with. */
export interface OrderLeasesOptions {
  readonly platform: PlatformHttp;
  readonly clock: Clock;
  readonly sleep: Sleep;
}

const MAX_TRIES = 6;
const PAUSE_MS = 200;

/** What is to be written, on condition of the version last read. */
interface LeaseWrite {
  readonly key: string;
  readonly row: OrderRow;
  readonly formerVersion: number;
  readonly endsAtMs: number;
}

type LeaseResult = Result<OrderLease, LeaseRefusal>;

/**
 * Leases on targets, kept in the table. A lease whose end is not known from
 * its row is waited out on the own clock, from after its row was read; no two
 * machines' clocks are compared.
 */
export class OrderLeases {
  readonly #options: OrderLeasesOptions;

  /** @param options The table and the time. */
  constructor(options: OrderLeasesOptions) {
    this.#options = options;
  }

  /**
   * Takes the lease on a target with a higher fencing number.
   *
   * @param request What is wanted.
   * @returns The lease, or why it was not taken.
   */
  async acquire(request: LeaseRequest): Promise<LeaseResult> {
    const key = orderKey(request.targetId);
    const read = await this.#read(key);
    if (read.isErr()) {
      return err({ fault: LeaseFault.StoreUnavailable });
    }
    const former = read.value && readOrderRow(read.value);
    if (read.value !== undefined && former === undefined) {
      return err({ fault: LeaseFault.RowUnreadable });
    }
    if (former !== undefined && former.state !== OrderState.Settled) {
      await this.#options.sleep(former.leaseMs + request.orderDelayMs);
    }
    return await this.#write({
      key,
      row: rowAfter(former, request),
      formerVersion: read.value?.version ?? ABSENT_ROW_VERSION,
      endsAtMs: this.#options.clock.nowMs() + request.order.leaseMs,
    });
  }

  /**
   * Writes how the order ended. When this fails the row stays leased, and the
   * next desk waits the lease out.
   *
   * @param lease The lease.
   * @param state How the order ended.
   */
  async settle(lease: OrderLease, state: OrderState): Promise<void> {
    const { key, row, rowVersion } = lease;
    await this.#options.platform.transact({
      conditions: [{ key, version: rowVersion }],
      puts: [{ key, value: JSON.stringify({ ...row, state }) }],
      deletes: [],
    });
  }

  async #write(write: LeaseWrite): Promise<LeaseResult> {
    for (let tries = 0; tries < MAX_TRIES; tries++) {
      const settled = await this.#tryWrite(write) ??
        await this.#readBack(write);
      if (settled !== undefined) {
        return settled;
      }
      await this.#options.sleep(PAUSE_MS);
    }
    return err({ fault: LeaseFault.StoreUnavailable });
  }

  async #tryWrite(write: LeaseWrite): Promise<LeaseResult | undefined> {
    const { key, row, formerVersion } = write;
    const answer = await this.#options.platform.transact({
      conditions: [{ key, version: formerVersion }],
      puts: [{ key, value: JSON.stringify(row) }],
      deletes: [],
    });
    if (answer.isErr()) {
      return undefined;
    }
    const { committed, rows, conflicts } = answer.value;
    const found = (committed ? rows : conflicts).find((it) => it.key === key);
    return found && judge(write, found);
  }

  async #readBack(write: LeaseWrite): Promise<LeaseResult | undefined> {
    const read = await this.#read(write.key);
    const row = read.unwrapOr(undefined);
    return row === undefined || row.version === write.formerVersion
      ? undefined
      : judge(write, row);
  }

  async #read(key: string): Promise<Result<Row | undefined, PlatformFault>> {
    const answer = await this.#options.platform.read([key]);
    return answer.map(({ rows }) => rows.find((row) => row.key === key));
  }
}

function rowAfter(
  former: OrderRow | undefined,
  request: LeaseRequest,
): OrderRow {
  const highest = Math.max(
    former?.fencingNumber ?? 0,
    request.targetFencingNumber,
  );
  return {
    ...request.order,
    fencingNumber: highest + 1,
    state: OrderState.Leased,
  };
}

/** The order's id tells whose write a row comes from, however it was answered. */
function judge(write: LeaseWrite, found: Row): LeaseResult {
  const other = readOrderRow(found);
  if (other?.orderId !== write.row.orderId) {
    return err({ fault: LeaseFault.HeldElsewhere, other });
  }
  return ok({
    key: write.key,
    row: write.row,
    rowVersion: found.version,
    endsAtMs: write.endsAtMs,
  });
}
