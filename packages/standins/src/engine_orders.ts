/** State of an engine that orders change: model, adapter, version and role. */

import {
  type EngineState,
  type OrderAnswer,
  OrderKind,
  type OrderRequest,
} from "@chestnuthatch/wire/target_protocol";

/** Initial state of an engine, and whether it checks fencing numbers. */
export interface EngineOrdersOptions {
  readonly targetId: string;
  readonly model: string;
  /** Whether an order with an outdated fencing number is refused. */
  readonly checksFencing: boolean;
}

const STATE_CHANGE_BY_ORDER_KIND: Record<
  OrderKind,
  (value: string) => Partial<EngineState>
> = {
  [OrderKind.LoadModel]: (model) => ({ model }),
  [OrderKind.LoadAdapter]: (adapter) => ({ adapter }),
  [OrderKind.SetVersion]: (version) => ({ version }),
  [OrderKind.SetRole]: (role) => ({ role }),
};

/** Applies orders to the state of one engine. */
export class EngineOrders {
  readonly #checksFencing: boolean;
  #state: EngineState;

  /** @param options Initial state, and whether fencing numbers are checked. */
  constructor(options: EngineOrdersOptions) {
    this.#checksFencing = options.checksFencing;
    this.#state = {
      targetId: options.targetId,
      model: options.model,
      adapter: "",
      version: "",
      role: "",
      fencingNumber: 0,
      lastOrderId: "",
    };
  }

  /** @returns The current state. */
  get state(): EngineState {
    return this.#state;
  }

  /**
   * Applies an order, or refuses it if its fencing number is lower than that
   * of the last order obeyed.
   *
   * @param order The order.
   * @returns Whether it was obeyed, and the state afterwards.
   */
  apply(order: OrderRequest): OrderAnswer {
    if (
      this.#checksFencing && order.fencingNumber < this.#state.fencingNumber
    ) {
      return { obeyed: false, state: this.#state };
    }
    this.#state = {
      ...this.#state,
      ...STATE_CHANGE_BY_ORDER_KIND[order.kind](order.value),
      fencingNumber: this.#checksFencing ? order.fencingNumber : 0,
      lastOrderId: order.orderId,
    };
    return { obeyed: true, state: this.#state };
  }
}
