/** Acquires and settles the lease under which an order is issued. */

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

/** Reasons why a lease was not acquired. */
export enum LeaseFault {
  /** Another order took the lease first. */
  HeldElsewhere = "held_elsewhere",
  /** The table did not confirm whether the lease was written. */
  StoreUnavailable = "store_unavailable",
  /** The order row of the target is corrupt. */
  RowUnreadable = "row_unreadable",
}

/** Failure to acquire a lease. */
export interface LeaseRefusal {
  readonly fault: LeaseFault;
  /** Order row found instead, if the lease is held elsewhere. */
  readonly other?: OrderRow;
}

/** An acquired lease on a target. */
export interface OrderLease {
  /** Key of the order row. */
  readonly key: string;
  /** Row as it was written. */
  readonly row: OrderRow;
  /** Version of the row in the table. */
  readonly rowVersion: number;
  /** End on this process's clock, counted from before the row was written. */
  readonly endsAtMs: number;
}

/** Order and target for which a lease is acquired. */
export interface LeaseRequest {
  readonly targetId: string;
  readonly order: Omit<OrderRow, "fencingNumber" | "state">;
  /** Fencing number of the target, which that of the lease must exceed. */
  readonly targetFencingNumber: number;
  /** Waited out in addition to the previous lease, for orders in flight. */
  readonly orderDelayMs: number;
}

/** Platform client, clock and sleep function of {@link OrderLeases}. */
export interface OrderLeasesOptions {
  readonly platform: PlatformHttp;
  readonly clock: Clock;
  readonly sleep: Sleep;
}

const MAX_WRITE_ATTEMPTS = 6;
const RETRY_DELAY_MS = 200;

/** A lease row to be written if the row still has the version last read. */
interface LeaseWrite {
  readonly key: string;
  readonly row: OrderRow;
  readonly previousVersion: number;
  readonly endsAtMs: number;
}

type LeaseResult = Result<OrderLease, LeaseRefusal>;

/**
 * Acquires leases on targets, stored in the platform's table. An unsettled
 * lease is waited out in full on this process's clock, from after its row was
 * read, so that the clocks of different hosts are never compared.
 */
export class OrderLeases {
  readonly #options: OrderLeasesOptions;

  /** @param options Platform client, clock and sleep function. */
  constructor(options: OrderLeasesOptions) {
    this.#options = options;
  }

  /**
   * Acquires the lease on a target with a higher fencing number, after waiting
   * out an unsettled previous lease.
   *
   * @param request Order and target for which the lease is acquired.
   * @returns The lease, or why it was not acquired.
   */
  async acquire(request: LeaseRequest): Promise<LeaseResult> {
    const key = orderKey(request.targetId);
    const read = await this.#read(key);
    if (read.isErr()) {
      return err({ fault: LeaseFault.StoreUnavailable });
    }
    const previous = read.value && readOrderRow(read.value);
    if (read.value !== undefined && previous === undefined) {
      return err({ fault: LeaseFault.RowUnreadable });
    }
    if (previous !== undefined && previous.state !== OrderState.Settled) {
      await this.#options.sleep(previous.leaseMs + request.orderDelayMs);
    }
    return await this.#write({
      key,
      row: nextOrderRow(previous, request),
      previousVersion: read.value?.version ?? ABSENT_ROW_VERSION,
      endsAtMs: this.#options.clock.nowMs() + request.order.leaseMs,
    });
  }

  /**
   * Writes the final state of the order. If the write fails, the row stays
   * leased and the next issuer waits out the lease.
   *
   * @param lease Lease under which the order was issued.
   * @param state Final state of the order.
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
    for (let attempts = 0; attempts < MAX_WRITE_ATTEMPTS; attempts++) {
      const result = await this.#tryWrite(write) ??
        await this.#readBack(write);
      if (result !== undefined) {
        return result;
      }
      await this.#options.sleep(RETRY_DELAY_MS);
    }
    return err({ fault: LeaseFault.StoreUnavailable });
  }

  async #tryWrite(write: LeaseWrite): Promise<LeaseResult | undefined> {
    const { key, row, previousVersion } = write;
    const answer = await this.#options.platform.transact({
      conditions: [{ key, version: previousVersion }],
      puts: [{ key, value: JSON.stringify(row) }],
      deletes: [],
    });
    if (answer.isErr()) {
      return undefined;
    }
    const { committed, rows, conflicts } = answer.value;
    const found = (committed ? rows : conflicts).find((candidate) =>
      candidate.key === key
    );
    return found && leaseResultOf(write, found);
  }

  async #readBack(write: LeaseWrite): Promise<LeaseResult | undefined> {
    const read = await this.#read(write.key);
    const row = read.unwrapOr(undefined);
    return row === undefined || row.version === write.previousVersion
      ? undefined
      : leaseResultOf(write, row);
  }

  async #read(key: string): Promise<Result<Row | undefined, PlatformFault>> {
    const answer = await this.#options.platform.read([key]);
    return answer.map(({ rows }) => rows.find((row) => row.key === key));
  }
}

function nextOrderRow(
  previous: OrderRow | undefined,
  request: LeaseRequest,
): OrderRow {
  const highestFencingNumber = Math.max(
    previous?.fencingNumber ?? 0,
    request.targetFencingNumber,
  );
  return {
    ...request.order,
    fencingNumber: highestFencingNumber + 1,
    state: OrderState.Leased,
  };
}

/** Checks by the order id whether this process wrote the row that was found. */
function leaseResultOf(write: LeaseWrite, found: Row): LeaseResult {
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
