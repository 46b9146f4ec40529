/** Undoes the registration made by the function that returned it; further calls have no effect. */
export type Disposer = () => void;

/** Merges disposers into one that calls each of them once, in reverse order. */
export function mergeDisposers(...disposers: readonly Disposer[]): Disposer {
  let pendingDisposers = [...disposers];
  return () => {
    const disposersToRun = pendingDisposers;
    pendingDisposers = [];
    for (const dispose of disposersToRun.reverse()) dispose();
  };
}
