/** Lookup tables from the kind of an item to what handles it. */

/** One handler for each kind. */
export type KindHandlers<T extends { readonly kind: string }> = {
  readonly [K in T["kind"]]: (item: Extract<T, { kind: K }>) => void;
};

/**
 * Hands an item to the handler of its kind.
 *
 * @param handlers The table.
 * @param item The item.
 */
export function handleByKind<T extends { readonly kind: string }>(
  handlers: KindHandlers<T>,
  item: T,
): void {
  const handle = handlers[item.kind as T["kind"]] as (item: T) => void;
  handle(item);
}
