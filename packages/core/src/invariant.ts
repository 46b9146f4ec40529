/** Assertions for conditions that only a programming error can violate. */

export class InvariantError extends Error {
  override readonly name = "InvariantError";
}

/** Throws an {@linkcode InvariantError} with `message` if `condition` is false. */
export function assertInvariant(
  condition: boolean,
  message: string,
): asserts condition {
  if (!condition) throw new InvariantError(message);
}
