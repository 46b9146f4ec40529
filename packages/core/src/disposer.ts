/** Disposers undo a registration. */

/** Undoes what the function that returned it has registered; further calls do nothing. */
export type Disposer = () => void;

/** Merges disposers into one that runs them once, last registered first. */
export function mergeDisposers(...disposers: readonly Disposer[]): Disposer {
  let pending = [...disposers];
  return () => {
    const current = pending;
    pending = [];
    for (const dispose of current.reverse()) dispose();
  };
}
