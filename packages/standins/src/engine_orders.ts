/** What an engine holds, and the orders that change it. */

import {
  type EngineState,
  type OrderAnswer,
  OrderKind,
  type OrderRequest,
} from "@chestnuthatch/wire/target_protocol";

/** How an engine treats orders. */
export interface EngineOrdersOptions {
  readonly targetId: string;
  readonly model: string;
  /** Whether an order with an old fencing number is refused. */
  readonly checksFencing: boolean;
}

const CHANGE_OF: Record<OrderKind, (value: string) => Partial<EngineState>> = {
  [OrderKind.LoadModel]: (model) => ({ model }),
  [OrderKind.LoadAdapter]: (adapter) => ({ adapter }),
  [OrderKind.SetVersion]: (version) => ({ version }),
  [OrderKind.SetRole]: (role) => ({ role }),
};

/** Takes orders. */
export class EngineOrders {
  readonly #checksFencing: boolean;
  #state: EngineState;

  /** @param options How the engine treats orders. */
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

  /** @returns What the engine holds now. */
  get state(): EngineState {
    return this.#state;
  }

  /**
   * Obeys an order, or refuses it for its old fencing number.
   *
   * @param order The order.
   * @returns Whether it was obeyed, and what the engine holds then.
   */
  take(order: OrderRequest): OrderAnswer {
    if (
      this.#checksFencing && order.fencingNumber < this.#state.fencingNumber
    ) {
      return { obeyed: false, state: this.#state };
    }
    this.#state = {
      ...this.#state,
      ...CHANGE_OF[order.kind](order.value),
      fencingNumber: this.#checksFencing ? order.fencingNumber : 0,
      lastOrderId: order.orderId,
    };
    return { obeyed: true, state: this.#state };
  }
}
