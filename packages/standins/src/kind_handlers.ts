/** Lookup tables from the `kind` of an item to its handler. */

/** One handler for each `kind` of a discriminated union. */
export type KindHandlers<T extends { readonly kind: string }> = {
  readonly [K in T["kind"]]: (item: Extract<T, { kind: K }>) => void;
};

/**
 * Calls the handler for an item's kind.
 *
 * @param handlers The handlers by kind.
 * @param item The item.
 */
export function handleByKind<T extends { readonly kind: string }>(
  handlers: KindHandlers<T>,
  item: T,
): void {
  const handle = handlers[item.kind as T["kind"]] as (item: T) => void;
  handle(item);
}
