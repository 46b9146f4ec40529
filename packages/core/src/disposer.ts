/** Undoes the registration made by the function that returned it; further calls have no effect. */
export type Disposer = () => void;

/** Merges disposers into one that calls each of them once, in reverse order. */
export function mergeDisposers(...disposers: readonly Disposer[]): Disposer {
  let pending = [...disposers];
  return () => {
    const current = pending;
    pending = [];
    for (const dispose of current.reverse()) dispose();
  };
}
