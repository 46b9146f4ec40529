/** Schemas that several documents share; their messages are read by operators. */

import * as valibot from "valibot";

/** A text that is not empty. */
export const textSchema = valibot.pipe(
  valibot.string("must be a string"),
  valibot.nonEmpty("must not be empty"),
);

/** Creates the schema of a whole number from `min` to `max`. */
export function createIntegerSchema(min: number, max: number) {
  return valibot.pipe(
    valibot.number("must be a number"),
    valibot.integer("must be a whole number"),
    valibot.minValue(min, `must be at least ${min}`),
    valibot.maxValue(max, `must be at most ${max}`),
  );
}
