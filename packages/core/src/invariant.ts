/** Checks of conditions that only a programming error can break. */

/** Thrown when an invariant does not hold. */
export class InvariantError extends Error {
  override readonly name = "InvariantError";
}

/** Throws {@linkcode InvariantError} with a fixed `message` unless `condition` holds. */
export function assertInvariant(
  condition: boolean,
  message: string,
): asserts condition {
  if (!condition) throw new InvariantError(message);
}
