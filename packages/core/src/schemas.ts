/** Schemas shared by several kinds of documents; operators see their error messages. */

import * as valibot from "valibot";

/** Accepts non-empty strings. */
export const nonEmptyStringSchema = valibot.pipe(
  valibot.string("must be a string"),
  valibot.nonEmpty("must not be empty"),
);

/** Creates a schema for integers from `min` to `max`, inclusive. */
export function createIntegerSchema(min: number, max: number) {
  return valibot.pipe(
    valibot.number("must be a number"),
    valibot.integer("must be a whole number"),
    valibot.minValue(min, `must be at least ${min}`),
    valibot.maxValue(max, `must be at most ${max}`),
  );
}
